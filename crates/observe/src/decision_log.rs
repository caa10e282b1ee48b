//! The log of decisions: JSON lines on standard output, bounded, never waited
//! for.

use {
    crate::ProcessId,
    chestnutrun_types::{DecisionEvent, Now},
    rustix::event::{PollFd, PollFlags, Timespec, poll},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        fmt,
        io::{Write, stdout},
        time::{Duration, Instant, SystemTime},
    },
};

/// Most lines a second of what went well: about twice what an entry of the
/// users' sites decides at the crest.
const MAX_COMMON_LINES: u32 = 600;

/// Most lines a second of all kinds.
const MAX_LINES: u32 = 1_500;

/// Most bytes that wait to be written.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Bytes that a pipe takes at once where it is ready to be written to.
const PIPE_CHUNK_BYTES: usize = 4_096;

/// One line of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogLine {
    /// Microseconds since 1970, by the clock of the worker.
    pub at_us: u64,
    /// Name of the process.
    pub process: ProcessId,
    /// Position among the lines of this run of the process, from 1; a gap
    /// tells of lines that were left out.
    pub sequence: u64,
    /// The decision.
    #[serde(flatten)]
    pub note: DecisionEvent,
}

/// The log of one process.
pub struct DecisionLog {
    process: ProcessId,
    sequence: u64,
    buffered: VecDeque<u8>,
    second_began: Option<Instant>,
    common_lines: u32,
    lines: u32,
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
    /// Starts the log of a process.
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

    /// Adds a line, unless that would be too many.
    pub fn add(&mut self, now: Now, note: DecisionEvent) {
        self.count_second(now);
        self.sequence += 1;
        let is_common = !note.is_remarkable();
        let is_over =
            self.lines >= MAX_LINES || (is_common && self.common_lines >= MAX_COMMON_LINES);
        if is_over || self.buffered.len() >= MAX_BUFFERED_BYTES {
            self.left_out += 1;
            return;
        }
        self.lines += 1;
        self.common_lines += u32::from(is_common);
        self.push(now, note);
    }

    /// Writes what standard output takes at once; the rest stays buffered.
    pub fn flush(&mut self) {
        let out = stdout();
        while !self.buffered.is_empty() && is_writable(&out) {
            let (chunk, _) = self.buffered.as_slices();
            let chunk = &chunk[..chunk.len().min(PIPE_CHUNK_BYTES)];
            let written = match out.lock().write(chunk) {
                Ok(written) if written > 0 => written,
                // Nobody reads any more; there is nowhere to tell of it.
                Ok(_) | Err(_) => self.buffered.len(),
            };
            self.buffered.drain(..written);
        }
        // The standard library buffers up to the last line end.
        let _ = out.lock().flush();
    }

    /// Writes what is left and ends the log.
    pub fn close(mut self) {
        self.flush();
    }

    fn count_second(&mut self, now: Now) {
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

    fn push(&mut self, now: Now, note: DecisionEvent) {
        let line = LogLine {
            at_us: micros(now.wall),
            process: self.process.clone(),
            sequence: self.sequence,
            note,
        };
        match serde_json::to_vec(&line) {
            Ok(buf) => {
                self.buffered.extend(buf);
                self.buffered.push_back(b'\n');
            }
            Err(error) => log::error!("line of the log has no encoding: {error}"),
        }
    }
}

fn is_writable(out: &std::io::Stdout) -> bool {
    let mut fds = [PollFd::new(out, PollFlags::OUT)];
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    matches!(poll(&mut fds, Some(&at_once)), Ok(ready) if ready > 0)
}

fn micros(of: SystemTime) -> u64 {
    let since_epoch = of
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
