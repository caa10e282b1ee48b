//! Counts connections that were closed and requests that were refused to keep to the
//! limits, and logs them at a bounded rate.

use {
    chestnutrun_types::Now,
    std::{
        cell::RefCell,
        fmt::Write,
        time::{Duration, Instant},
    },
};

/// Shortest time between two log lines on one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed or a request refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosingCause {
    /// All connections of the limit are open; this one made no progress for longest.
    NoPlace,
    /// A body made no progress while others waited for its bytes.
    StalledBody,
    /// A body waited for bytes until its time was over.
    NoBytes,
    /// A body did not arrive in time.
    SlowBody,
    /// A body is longer than the limit.
    LongBody,
    /// A line between the pieces of a chunked body is too long.
    LongLine,
    /// A head is too long or has too many headers.
    LargeHead,
    /// A head did not arrive in time.
    SlowHead,
    /// A peer of a link did not prove that it belongs to the site.
    NoHandshake,
}

/// All causes with their names in logs and metrics.
const CAUSES: [(ClosingCause, &str); 9] = [
    (ClosingCause::NoPlace, "no-place"),
    (ClosingCause::StalledBody, "stalled-body"),
    (ClosingCause::NoBytes, "no-bytes"),
    (ClosingCause::SlowBody, "slow-body"),
    (ClosingCause::LongBody, "long-body"),
    (ClosingCause::LongLine, "long-line"),
    (ClosingCause::LargeHead, "large-head"),
    (ClosingCause::SlowHead, "slow-head"),
    (ClosingCause::NoHandshake, "no-handshake"),
];

#[derive(Clone, Copy, Debug, Default)]
struct Closing {
    total: u64,
    logged: u64,
    log_after: Option<Instant>,
}

/// Closings by cause.
#[derive(Debug, Default)]
pub(crate) struct Closings(RefCell<[Closing; CAUSES.len()]>);

impl Closings {
    pub(crate) fn record(&self, cause: ClosingCause) {
        let mut closings = self.0.borrow_mut();
        let known = CAUSES.iter().zip(closings.iter_mut());
        for ((_, name), closing) in known.filter(|((known, _), _)| *known == cause) {
            closing.total += 1;
            let now = Now::read().instant;
            if closing.log_after.is_some_and(|at| now < at) {
                continue;
            }
            log::warn!(
                "clients closed or refused, cause={name}: {} since the last line",
                closing.total - closing.logged
            );
            closing.logged = closing.total;
            closing.log_after = Some(now + LOG_INTERVAL);
        }
    }

    /// Returns a line of metrics for each cause.
    pub(crate) fn metrics(&self, listener: &str) -> String {
        let mut text = String::new();
        for ((_, cause), closing) in CAUSES.iter().zip(self.0.borrow().iter()) {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "chestnutrun_client_closings_total{{cause=\"{cause}\",listener=\"{listener}\"}} {}",
                closing.total
            );
        }
        text
    }
}
