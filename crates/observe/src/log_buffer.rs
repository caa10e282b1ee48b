//! Lines of the log that wait until standard error accepts them.

use {
    crate::ready_writer::write_while_ready,
    std::{collections::VecDeque, os::fd::AsFd},
};

/// Buffer size, in bytes, from which on further lines are left out: as many as a pipe
/// holds, so that a reader who returns gets the lines of a usual incident.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Longest line, in bytes; the rest of a longer one is left out.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Lines of the log that wait until the descriptor accepts them. No call blocks.
#[derive(Debug, Default)]
pub struct LogBuffer {
    buffered: VecDeque<u8>,
    /// The line that is not complete yet.
    line: Vec<u8>,
    /// Lines left out since the start of the process.
    left_out: u64,
    /// Part of `left_out` that no line has told of.
    untold: u64,
}

impl LogBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds text; each line end completes a line, which is left out if the buffer is
    /// full.
    pub fn add(&mut self, text: &[u8]) {
        for part in text.split_inclusive(|byte| *byte == b'\n') {
            let is_complete = part.ends_with(b"\n");
            let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
            let text = part.strip_suffix(b"\n").unwrap_or(part);
            self.line.extend(text.iter().take(room));
            if is_complete {
                self.end_line();
            }
        }
    }

    /// Writes what the descriptor accepts without blocking, and tells of the lines that
    /// were left out once there is room.
    pub fn flush(&mut self, out: impl AsFd) {
        write_while_ready(&out, &mut self.buffered);
        if self.untold > 0 && self.buffered.is_empty() {
            let untold = std::mem::take(&mut self.untold);
            let text = format!("left out {untold} log lines while standard error was not read\n");
            self.buffered.extend(text.as_bytes());
            write_while_ready(&out, &mut self.buffered);
        }
    }

    /// Returns how many lines were left out since the start of the process.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    fn end_line(&mut self) {
        if self.buffered.len() + self.line.len() < MAX_BUFFERED_BYTES {
            self.buffered.extend(&self.line);
            self.buffered.push_back(b'\n');
        } else {
            self.left_out += 1;
            self.untold += 1;
        }
        self.line.clear();
    }
}
