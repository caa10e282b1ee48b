//! The clock reading that is handed to decisions.

use {
    crate::Incarnation,
    rustix::time::{ClockId, Timespec, clock_gettime},
    std::{
        sync::OnceLock,
        time::{Duration, Instant, SystemTime},
    },
};

/// One reading of both clocks, taken by a front end.
///
/// Leases and silences are judged by `instant`; deadlines that travel between
/// processes are judged by `wall`.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic clock of this process; it also counts the time for which the
    /// worker was suspended.
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

    /// Returns the number of a run that begins now: the wall clock, in
    /// nanoseconds since the epoch.
    #[must_use]
    pub fn incarnation(self) -> Incarnation {
        let since_epoch = self.wall.duration_since(SystemTime::UNIX_EPOCH);
        let nanoseconds = since_epoch.unwrap_or_default().as_nanos();
        Incarnation::try_from(nanoseconds).unwrap_or_default()
    }

    /// Returns the reading that is `by` later on both clocks.
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
/// `Instant` stands still while a worker is suspended; a lease at another
/// worker does not.
fn suspended() -> Duration {
    static AT_FIRST: OnceLock<Duration> = OnceLock::new();
    let lead = lead_of_boot_clock();
    lead.saturating_sub(*AT_FIRST.get_or_init(|| lead))
}

/// Returns by how much the clock that counts suspension leads the other one.
fn lead_of_boot_clock() -> Duration {
    let steady = since_boot(clock_gettime(ClockId::Monotonic));
    let boot = since_boot(clock_gettime(ClockId::Boottime));
    boot.saturating_sub(steady)
}

fn since_boot(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
