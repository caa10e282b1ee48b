//! Writes to a descriptor only while it accepts bytes without blocking.

use {
    rustix::{
        event::{PollFd, PollFlags, Timespec, poll},
        io::{Errno, write},
    },
    std::{collections::VecDeque, os::fd::AsFd},
};

/// Largest single write, in bytes: a pipe that is ready for writing accepts this
/// many without blocking.
const PIPE_CHUNK_BYTES: usize = 4_096;

/// Writes the front of a buffer for as long as the descriptor accepts bytes without
/// blocking.
///
/// The descriptor stays in blocking mode, which it shares with other processes.
pub(crate) fn write_while_ready(out: impl AsFd, buffered: &mut VecDeque<u8>) {
    while !buffered.is_empty() && is_writable(&out) {
        let (chunk, _) = buffered.as_slices();
        let chunk = &chunk[..chunk.len().min(PIPE_CHUNK_BYTES)];
        let written = match write(&out, chunk) {
            Ok(written) if written > 0 => written,
            Err(Errno::INTR) => 0,
            // Another process took the room, or made the descriptor non-blocking.
            Err(Errno::AGAIN) => return,
            // The reader closed the pipe: the buffer is dropped, because neither its
            // lines nor a report of their loss can be written.
            Ok(_) | Err(_) => buffered.len(),
        };
        buffered.drain(..written);
    }
}

fn is_writable(out: impl AsFd) -> bool {
    let mut fds = [PollFd::new(&out, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    matches!(poll(&mut fds, Some(&no_wait)), Ok(ready) if ready > 0)
}
