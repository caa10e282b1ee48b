//! The log on standard error while nobody reads it: a full pipe blocked the process.

use {
    chestnutrun_observe::LogBuffer,
    rstest::rstest,
    std::io::{Read, pipe},
};

/// More lines than a pipe of 64 KiB and the buffer hold together.
const LINES: usize = 4_000;

const LINE: &[u8] = b"a line of the log with some forty bytes\n";

#[rstest]
fn lines_are_left_out_and_told_of_while_a_pipe_is_not_read() {
    let (mut reader, writer) = pipe().expect("a pipe opens");
    let mut log = LogBuffer::new();
    for _ in 0..LINES {
        log.add(LINE);
        log.flush(&writer);
    }
    let left_out = log.left_out();
    assert!(left_out > 0, "no line was left out");
    let mut text = Vec::new();
    let mut buf = [0; 4_096];
    while !text.ends_with(b"not read\n") {
        let read = reader.read(&mut buf).expect("the pipe is read");
        text.extend(&buf[..read]);
        log.flush(&writer);
    }
    let text = String::from_utf8(text).expect("whole lines");
    let whole = text
        .lines()
        .filter(|line| line.as_bytes() == &LINE[..LINE.len() - 1]);
    assert_eq!(whole.count() as u64 + left_out, LINES as u64);
    let told = format!("left out {left_out} log lines while standard error was not read");
    assert_eq!(text.lines().last(), Some(&*told));
}

#[rstest]
fn a_closed_pipe_empties_the_buffer() {
    let (reader, writer) = pipe().expect("a pipe opens");
    drop(reader);
    let mut log = LogBuffer::new();
    for _ in 0..LINES {
        log.add(LINE);
        log.flush(&writer);
    }
    assert_eq!(log.left_out(), 0);
}

#[rstest]
fn pieces_of_a_line_are_written_together() {
    let (mut reader, writer) = pipe().expect("a pipe opens");
    let mut log = LogBuffer::new();
    for piece in ["12:00 ", "[WARN] ", "text", "\n", "next"] {
        log.add(piece.as_bytes());
    }
    log.flush(&writer);
    drop(writer);
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("the pipe is read");
    assert_eq!(text, "12:00 [WARN] text\n");
}
