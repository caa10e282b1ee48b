//! The clock reading that front ends pass to the decision code.

use {
    crate::Incarnation,
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::{
        sync::OnceLock,
        time::{Duration, Instant, SystemTime},
    },
};

/// One reading of the monotonic clock and the wall clock, taken by a front end.
///
/// Leases and timeouts are compared with `instant`, deadlines that processes
/// send each other with `wall`.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic clock of this process, plus the time for which the worker was
    /// suspended.
    pub instant: Instant,
    /// Wall clock of this worker.
    pub wall: SystemTime,
}

impl Now {
    /// Reads both clocks.
    #[must_use]
    pub fn read() -> Self {
        Self {
            instant: Instant::now() + suspended(),
            wall: SystemTime::now(),
        }
    }

    /// Returns the incarnation of a process that starts at this moment: the wall
    /// clock, in nanoseconds since the Unix epoch.
    #[must_use]
    pub fn incarnation(self) -> Incarnation {
        let since_epoch = self.wall.duration_since(SystemTime::UNIX_EPOCH);
        let nanoseconds = since_epoch.unwrap_or_default().as_nanos();
        Incarnation::try_from(nanoseconds).unwrap_or_default()
    }

    /// Returns a reading with both clocks advanced by `by`.
    #[must_use]
    pub fn later(self, by: Duration) -> Self {
        Self {
            instant: self.instant + by,
            wall: self.wall + by,
        }
    }
}

/// Returns for how long the worker was suspended since the first call.
///
/// `Instant` does not advance while a worker is suspended, but leases that other
/// workers granted expire in that time.
fn suspended() -> Duration {
    static AT_FIRST_CALL: OnceLock<Duration> = OnceLock::new();
    let total = suspended_since_boot();
    total.saturating_sub(*AT_FIRST_CALL.get_or_init(|| total))
}

/// Returns for how long the worker was suspended since boot: the difference
/// between `CLOCK_BOOTTIME` and `CLOCK_MONOTONIC`.
fn suspended_since_boot() -> Duration {
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    let boot = to_duration(clock_gettime(ClockId::Boottime));
    boot.saturating_sub(monotonic)
}

fn to_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
