//! Prints lines to standard output.

use std::{
    fmt::Display,
    io::{Write, stdout},
};

/// Prints a line to standard output. Errors are ignored, since the reader may
/// have closed the pipe.
pub(crate) fn show_line(line: impl Display) {
    let _ = writeln!(stdout(), "{line}");
}
