//! The report that the demo prints at its end.

use {
    crate::demo::{
        JobResult, Judgement, KindProfile, Opening, PlannedJob, Verdict, messages::Messages,
        usage::Usage,
    },
    hdrhistogram::Histogram,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Upper limit of the histograms, in microseconds; longer times are recorded as this
/// value.
const LONGEST_MICROSECONDS: u64 = 600_000_000;

/// Significant decimal digits of the histograms.
const PRECISION_DIGITS: u8 = 3;

/// Contents of the report.
#[derive(Debug)]
pub(crate) struct Report {
    /// Planned jobs.
    pub(crate) opening: Opening,
    /// Result of each job.
    pub(crate) results: Vec<JobResult>,
    /// Findings from the answers and the endpoints' logs.
    pub(crate) judgement: Judgement,
    /// Messages that the processes sent during the opening.
    pub(crate) messages: Messages,
    /// Memory and processor time of each process.
    pub(crate) usage: Vec<Usage>,
    /// Overheads of runs that were sent directly to an endpoint.
    pub(crate) endpoint_alone: Vec<Duration>,
    /// Kinds of tasks that the callers sent.
    pub(crate) kinds: &'static [KindProfile],
}

impl Report {
    /// Pairs each planned job with its result.
    fn jobs(&self) -> impl Iterator<Item = (&PlannedJob, &JobResult)> {
        let planned = |result: &JobResult| &self.opening.jobs[result.number];
        self.results
            .iter()
            .map(move |result| (planned(result), result))
    }

    fn count(&self, verdict: Verdict) -> usize {
        self.results.iter().filter(|r| r.verdict == verdict).count()
    }

    fn write_counts(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let judgement = &self.judgement;
        let again = self
            .results
            .iter()
            .filter(|r| r.resubmission_verdict.is_some())
            .count();
        writeln!(f, "jobs                 {}", self.opening.jobs.len())?;
        writeln!(f, "  resubmitted        {again}, at another entry")?;
        writeln!(f, "  completed          {}", self.count(Verdict::Completed))?;
        writeln!(f, "  failed as a whole  {}", self.count(Verdict::Failed))?;
        writeln!(f, "  refused, not run   {}", self.count(Verdict::Refused))?;
        writeln!(
            f,
            "  unavailable        {}",
            self.count(Verdict::Unavailable)
        )?;
        writeln!(f, "tasks                {}", judgement.tasks)?;
        writeln!(f, "  started once       {}", judgement.started_once)?;
        writeln!(f, "  started repeatedly {}", judgement.started_repeatedly)
    }

    fn write_times(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nresponse time beyond the job's own run time, in ms")?;
        writeln!(
            f,
            "  {:<16}{:>8}{:>10}{:>10}",
            "kind", "jobs", "median", "p99"
        )?;
        for kind in self.kinds {
            let of_kind = |job: &PlannedJob| job.kind.kind == kind.kind;
            self.write_overhead(f, kind.kind, of_kind)?;
        }
        self.write_overhead(f, "at half load", |job| job.at_half_load)?;
        write_line(f, "endpoint alone", &self.endpoint_alone())?;
        let late = self.histogram(|_| true, |_, result| result.sent_late.as_micros());
        write_line(f, "sent late", &late)?;
        writeln!(f, "\nresponse time as a multiple of the job's own run time")?;
        writeln!(
            f,
            "  {:<16}{:>8}{:>10}{:>10}",
            "kind", "jobs", "median", "p99"
        )?;
        for kind in self.kinds {
            let ratios = self.histogram(
                |job| job.kind.kind == kind.kind,
                |job, result| 1_000 * result.response_time.as_micros() / job.ideal().as_micros(),
            );
            write_line(f, kind.kind, &ratios)?;
        }
        Ok(())
    }

    /// Returns the overhead that the endpoint alone adds, without the dispatcher.
    fn endpoint_alone(&self) -> Histogram<u64> {
        let mut histogram = histogram();
        for overhead in &self.endpoint_alone {
            histogram.saturating_record(u64::try_from(overhead.as_micros()).unwrap_or(u64::MAX));
        }
        histogram
    }

    /// Writes a line with the overhead of the chosen jobs: their response time minus
    /// their run time.
    fn write_overhead(
        &self,
        f: &mut Formatter<'_>,
        name: &str,
        is_chosen: impl Fn(&PlannedJob) -> bool,
    ) -> fmt::Result {
        let overhead = |job: &PlannedJob, result: &JobResult| {
            result.response_time.saturating_sub(job.ideal()).as_micros()
        };
        write_line(f, name, &self.histogram(is_chosen, overhead))
    }

    /// Collects `value` of the chosen jobs that completed.
    fn histogram(
        &self,
        is_chosen: impl Fn(&PlannedJob) -> bool,
        value: impl Fn(&PlannedJob, &JobResult) -> u128,
    ) -> Histogram<u64> {
        let mut histogram = histogram();
        let completed = self.jobs().filter(|(_, r)| r.verdict == Verdict::Completed);
        for (job, result) in completed.filter(|(job, _)| is_chosen(job)) {
            let value = u64::try_from(value(job, result)).unwrap_or(u64::MAX);
            histogram.saturating_record(value);
        }
        histogram
    }

    fn write_messages(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let tasks = self.judgement.tasks.max(1);
        let messages = self.messages;
        let per_task = hundredths(messages.work, tasks);
        writeln!(
            f,
            "\nmessages per task    {per_task}, resubmissions included"
        )?;
        writeln!(f, "  wasted             {}", messages.wasted)?;
        writeln!(f, "  upkeep             {} in total", messages.upkeep)
    }

    fn write_usage(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<16}{:>12}{:>16}",
            "process", "memory MB", "processor ms"
        )?;
        for usage in &self.usage {
            let megabytes = hundredths(usage.used.memory_kilobytes, 1_024);
            let processor = usage.used.processor.as_millis();
            writeln!(f, "{:<16}{megabytes:>12}{processor:>16}", usage.process)?;
        }
        Ok(())
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.write_counts(f)?;
        self.write_times(f)?;
        self.write_messages(f)?;
        self.write_usage(f)?;
        for violation in &self.judgement.violations {
            writeln!(f, "BROKEN: {violation}")?;
        }
        match self.judgement.violations.len() {
            0 => writeln!(f, "\nevery promise held"),
            count => writeln!(f, "\n{count} promises were broken"),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MICROSECONDS, PRECISION_DIGITS)
        .expect("the bounds of the histogram are valid")
}

/// Writes count, median and 99th percentile of values in thousandths.
fn write_line(f: &mut Formatter<'_>, name: &str, thousandths: &Histogram<u64>) -> fmt::Result {
    let format_value = |value: u64| {
        let length = Duration::from_micros(value);
        format!(
            "{}.{:02}",
            length.as_millis(),
            length.subsec_micros() % 1_000 / 10
        )
    };
    let median = format_value(thousandths.value_at_quantile(0.5));
    let p99 = format_value(thousandths.value_at_quantile(0.99));
    writeln!(
        f,
        "  {name:<16}{:>8}{median:>10}{p99:>10}",
        thousandths.len()
    )
}

/// Returns `value / by` with two decimal places.
fn hundredths(value: u64, by: usize) -> String {
    let by = u64::try_from(by).unwrap_or(1);
    let whole = 100 * value / by;
    format!("{}.{:02}", whole / 100, whole % 100)
}
