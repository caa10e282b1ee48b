//! The decision log: JSON lines on standard output. The rate and the buffer are
//! bounded, and a process never waits for its reader.

use {
    crate::{ProcessId, ready_writer::write_while_ready},
    chestnutrun_types::{DecisionEvent, Now},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        fmt,
        io::stdout,
        time::{Duration, Instant, SystemTime},
    },
};

/// Maximum lines a second for routine events: about twice what an entry of the
/// users' sites writes at peak load.
const MAX_COMMON_LINES: u32 = 600;

/// Maximum lines a second for all events together.
const MAX_LINES: u32 = 1_500;

/// Buffer size, in bytes, from which on further lines are left out.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// One line of the decision log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogLine {
    /// Wall clock of the worker, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Name of the process.
    pub process: ProcessId,
    /// Number of the line since the process started, from 1. A gap means that
    /// lines were left out.
    pub sequence: u64,
    /// The logged event, whose fields are inlined beside those above.
    #[serde(flatten)]
    pub event: DecisionEvent,
}

/// Writes the decision log of one process.
pub struct DecisionLog {
    process: ProcessId,
    sequence: u64,
    buffered: VecDeque<u8>,
    /// Start of the second in which `common_lines` and `lines` are counted.
    second_began: Option<Instant>,
    common_lines: u32,
    lines: u32,
    /// Number of lines left out since the last `lines-left-out` line.
    left_out: u64,
}

impl fmt::Debug for DecisionLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DecisionLog")
            .field("process", &self.process)
            .field("sequence", &self.sequence)
            .finish_non_exhaustive()
    }
}

impl DecisionLog {
    /// Creates the log of a process.
    pub fn new(process: impl Into<ProcessId>) -> Self {
        Self {
            process: process.into(),
            sequence: 0,
            buffered: VecDeque::new(),
            second_began: None,
            common_lines: 0,
            lines: 0,
            left_out: 0,
        }
    }

    /// Buffers a line, or leaves it out if a limit is reached.
    pub fn add(&mut self, now: Now, event: DecisionEvent) {
        self.advance_second(now);
        self.sequence += 1;
        let is_common = !event.is_remarkable();
        let is_over_limit =
            self.lines >= MAX_LINES || (is_common && self.common_lines >= MAX_COMMON_LINES);
        if is_over_limit || self.buffered.len() >= MAX_BUFFERED_BYTES {
            self.left_out += 1;
            return;
        }
        self.lines += 1;
        self.common_lines += u32::from(is_common);
        self.push(now, event);
    }

    /// Writes what standard output accepts without blocking; the rest stays
    /// buffered.
    pub fn flush(&mut self) {
        write_while_ready(stdout(), &mut self.buffered);
    }

    /// Writes what standard output still accepts and ends the log.
    pub fn close(mut self) {
        self.flush();
    }

    /// Resets the limits once the current second is over, and reports the number of
    /// lines left out.
    fn advance_second(&mut self, now: Now) {
        let is_over = self
            .second_began
            .is_none_or(|began| began + Duration::from_secs(1) <= now.instant);
        if !is_over {
            return;
        }
        self.second_began = Some(now.instant);
        (self.lines, self.common_lines) = (0, 0);
        if self.left_out > 0 {
            let count = std::mem::take(&mut self.left_out);
            self.push(now, DecisionEvent::LinesLeftOut { count });
        }
    }

    fn push(&mut self, now: Now, event: DecisionEvent) {
        let line = LogLine {
            at_us: unix_micros(now.wall),
            process: self.process.clone(),
            sequence: self.sequence,
            event,
        };
        match serde_json::to_vec(&line) {
            Ok(buf) => {
                self.buffered.extend(buf);
                self.buffered.push_back(b'\n');
            }
            Err(error) => log::error!("left out a decision event that cannot be encoded: {error}"),
        }
    }
}

fn unix_micros(time: SystemTime) -> u64 {
    let since_epoch = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
