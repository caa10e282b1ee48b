//! The order in which waiting jobs get room.

use {
    crate::placement::{CallerId, held_job::HeldJob},
    std::time::Instant,
};

/// What decides when a waiting job gets room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    /// Whether no task of the job may have run, or the work that was done for it does not
    /// count since an endpoint crashed under it.
    is_unstarted: bool,
    /// Whether an endpoint crashed under the job.
    is_suspect: bool,
    priority: u32,
    /// Latest start for an answer within the route's target.
    start_by: Instant,
    /// Latest start for an answer before the caller's deadline.
    last_start: Instant,
}

/// Sort key of a waiting job; the smallest gets room first.
pub(crate) type TurnKey = (bool, u32, bool, Instant, CallerId);

impl Turn {
    pub(crate) fn new(job: &HeldJob) -> Self {
        Self {
            is_unstarted: job.is_suspect || !job.may_have_run(),
            is_suspect: job.is_suspect,
            priority: job.route.priority,
            start_by: job.start_by(),
            last_start: job.last_start(),
        }
    }

    /// Returns the sort key at a moment.
    ///
    /// A job that has begun comes first: until it ends, the work done for it is of use to
    /// nobody, and its caller cannot be told that it has not run. Then the route's
    /// priority decides. Within one, jobs that can still meet the target come first, so
    /// that under overload not every job misses it; each group starts with the job that
    /// has the least time left. A job under which an endpoint crashed is neither begun nor
    /// before others of its priority: it may crash the next endpoint, and needs a whole one.
    pub(crate) fn key(&self, now: Instant, caller: CallerId) -> TurnKey {
        (
            self.is_unstarted,
            self.priority,
            self.is_suspect || self.misses_target(now),
            self.latest_start(now),
            caller,
        )
    }

    /// Returns the latest start for the target if it can still be met, else for the
    /// caller's deadline.
    pub(crate) fn latest_start(&self, now: Instant) -> Instant {
        if self.misses_target(now) {
            self.last_start
        } else {
            self.start_by
        }
    }

    fn misses_target(&self, now: Instant) -> bool {
        self.start_by < now
    }
}
