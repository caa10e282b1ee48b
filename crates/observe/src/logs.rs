//! Sets up the log on standard error.

use {
    log::LevelFilter,
    simplelog::{ConfigBuilder, WriteLogger},
    std::io::stderr,
};

/// Sets up the log on standard error, one line for each message.
///
/// A second call changes nothing.
pub fn start_logs(level: LevelFilter) {
    let conf = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("chestnutrun")
        .build();
    // Fails only if a logger is already set.
    let _ = WriteLogger::init(level, conf, stderr());
}
