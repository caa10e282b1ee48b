//! Sets up the log on standard error, which never blocks the process.

use {
    crate::log_buffer::LogBuffer,
    log::LevelFilter,
    simplelog::{ConfigBuilder, WriteLogger},
    std::{
        io::{self, Write, stderr},
        panic,
        sync::{LazyLock, Mutex, PoisonError},
    },
};

/// Lines that standard error has not accepted yet. The log of a process is one, like its
/// standard error.
static BUFFER: LazyLock<Mutex<LogBuffer>> = LazyLock::new(Mutex::default);

/// Sets up the log on standard error, one line for each message. Panics are logged too.
///
/// The process calls [`flush_logs`] repeatedly, since a line may be buffered while
/// standard error is not read. A second call changes nothing.
pub fn start_logs(level: LevelFilter) {
    let conf = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("chestnutrun")
        .build();
    // Fails only if a logger is already set.
    if WriteLogger::init(level, conf, BufferedStderr).is_ok() {
        panic::set_hook(Box::new(|panic| report_error(&panic.to_string())));
    }
}

/// Writes the buffered lines that standard error accepts without blocking.
pub fn flush_logs() {
    with_buffer(|buffer| buffer.flush(stderr()));
}

/// Returns how many lines were left out because standard error was not read.
#[must_use]
pub fn left_out_log_lines() -> u64 {
    with_buffer(|buffer| buffer.left_out())
}

/// Writes a line to standard error without blocking, also before the log is set up.
pub fn report_error(text: &str) {
    with_buffer(|buffer| {
        buffer.add(text.as_bytes());
        buffer.add(b"\n");
        buffer.flush(stderr());
    });
}

fn with_buffer<T>(act: impl FnOnce(&mut LogBuffer) -> T) -> T {
    // No call panics halfway through a change.
    let mut buffer = BUFFER.lock().unwrap_or_else(PoisonError::into_inner);
    act(&mut buffer)
}

/// Buffers what the logger writes, piece by piece.
struct BufferedStderr;

impl Write for BufferedStderr {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        with_buffer(|buffer| {
            buffer.add(text);
            if text.ends_with(b"\n") {
                buffer.flush(stderr());
            }
        });
        Ok(text.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        flush_logs();
        Ok(())
    }
}
