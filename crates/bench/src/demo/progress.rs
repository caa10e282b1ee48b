//! Shows the progress of the demo.

use {
    crate::demo::{JobResult, Verdict},
    indicatif::{ProgressBar, ProgressStyle},
    std::{
        io::{IsTerminal, stderr},
        time::{Duration, Instant},
    },
};

/// Interval between progress lines if standard error is not a terminal.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Shows how many jobs are answered, as a bar or as lines.
#[derive(Debug)]
pub(crate) struct Progress {
    bar: ProgressBar,
    jobs: usize,
    answered: usize,
    not_completed: usize,
    /// When to write the next line; none on a terminal.
    next_line: Option<Instant>,
}

impl Progress {
    /// Creates a progress display for `jobs` jobs.
    pub(crate) fn new(jobs: usize) -> Self {
        let bar = ProgressBar::new(u64::try_from(jobs).unwrap_or(u64::MAX));
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs {msg}") {
            bar.set_style(style);
        }
        let next_line = (!stderr().is_terminal()).then(|| Instant::now() + LINE_INTERVAL);
        Self {
            bar,
            jobs,
            answered: 0,
            not_completed: 0,
            next_line,
        }
    }

    /// Records one more answered job and updates the display.
    pub(crate) fn record_answer(&mut self, result: &JobResult) {
        self.answered += 1;
        if result.verdict != Verdict::Completed {
            self.not_completed += 1;
            self.bar
                .set_message(format!("{} not completed", self.not_completed));
        }
        self.bar.inc(1);
        if self.next_line.is_some_and(|at| Instant::now() >= at) {
            eprintln!(
                "{}/{} jobs answered, {} not completed",
                self.answered, self.jobs, self.not_completed
            );
            self.next_line = Some(Instant::now() + LINE_INTERVAL);
        }
    }

    /// Stops updating and leaves the final state on the screen.
    pub(crate) fn close(self) {
        self.bar.finish();
    }
}
