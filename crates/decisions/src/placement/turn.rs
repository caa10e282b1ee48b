//! The order in which waiting jobs get room.

use {
    crate::placement::{CallerId, held_job::HeldJob},
    std::time::Instant,
};

/// What decides when a waiting job gets room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turn {
    /// Whether no task of the job may have run.
    is_unstarted: bool,
    priority: u32,
    /// Whether the job starts in time only before all that have more time.
    is_due: bool,
    /// Latest start for an answer within the route's target.
    start_by: Instant,
    /// Latest start for an answer before the caller's deadline.
    last_start: Instant,
}

/// Groups of waiting jobs of one priority, in the order in which they get room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Group {
    /// Jobs that missed the target and start in time only before all that have more time.
    Due,
    /// Jobs that can still meet the target.
    InTarget,
    /// Jobs that missed the target.
    Late,
}

/// Sort key of a waiting job; the smallest gets room first.
pub(crate) type TurnKey = (bool, u32, Group, Instant, CallerId);

impl Turn {
    pub(crate) fn new(job: &HeldJob) -> Self {
        Self {
            is_unstarted: !job.may_have_run(),
            priority: job.route.priority,
            is_due: job.is_due,
            start_by: job.start_by(),
            last_start: job.last_start(),
        }
    }

    /// Returns the sort key at a moment.
    ///
    /// A job that has begun comes first: until it ends, the work done for it is of use to
    /// nobody, and its caller cannot be told that it has not run. Then the route's
    /// priority decides. Within one, jobs come first that otherwise start too late, then
    /// those that can still meet the target, so that under overload not every job misses
    /// it; each group starts with the job that has the least time left.
    pub(crate) fn key(&self, now: Instant, caller: CallerId) -> TurnKey {
        (
            self.is_unstarted,
            self.priority,
            self.group(now),
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

    fn group(&self, now: Instant) -> Group {
        if !self.misses_target(now) {
            Group::InTarget
        } else if self.is_due {
            Group::Due
        } else {
            Group::Late
        }
    }

    fn misses_target(&self, now: Instant) -> bool {
        self.start_by < now
    }
}
