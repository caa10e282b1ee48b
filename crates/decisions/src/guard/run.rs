//! A task that an entry assigned.

use {
    crate::timing::{STALL_DIVISOR, STALL_LIMIT},
    chestnutrun_types::{
        AssignedTask, AssignmentId, EndKind, EntryId, Incarnation, RunNumber, TaskEnd, TaskId,
        TaskPosition,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Progress of a task from its assignment to the answer of its stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The task waits for room; it is returned if it has not started by this
    /// moment.
    Waiting(Instant),
    /// The start order was sent.
    Starting,
    /// The endpoint runs the task.
    Running,
    /// The stop order was sent and has no successful answer yet.
    Stopping,
    /// The stop was answered at this moment; the run is over once a list that was
    /// requested later does not show it.
    StopAnswered(Instant),
}

/// Key of an assigned task at the agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct RunKey {
    pub(crate) entry: EntryId,
    /// Incarnation of the entry; each one numbers its assignments anew.
    pub(crate) incarnation: Incarnation,
    pub(crate) assignment: AssignmentId,
    pub(crate) at: TaskPosition,
}

/// A task that an entry assigned, waiting or started.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) key: RunKey,
    pub(crate) task: TaskId,
    pub(crate) assigned: AssignedTask,
    /// Whether the run may share the endpoint only with runs of its job.
    pub(crate) is_alone: bool,
    /// Priority of the job's route; 0 is the most urgent one.
    pub(crate) priority: u32,
    pub(crate) payload: Arc<str>,
    pub(crate) phase: Phase,
    /// Number of the start; 0 before the first one.
    pub(crate) number: RunNumber,
    pub(crate) assigned_at: Instant,
    /// When the start order was sent.
    pub(crate) started_at: Option<Instant>,
    /// Last listed progress.
    pub(crate) percent: u32,
    /// When the progress last changed.
    pub(crate) progressed_at: Option<Instant>,
    /// When the stop order was last sent.
    pub(crate) stop_sent_at: Option<Instant>,
    /// When a stop is sent again that was refused or whose connection broke.
    pub(crate) resend_stop_at: Option<Instant>,
    /// Whether the endpoint crashed while the run was there; the run may still be
    /// stopped at the next incarnation.
    pub(crate) has_crashed: bool,
    /// Kind of end to report once the run is no longer listed.
    pub(crate) end_kind: EndKind,
    /// When the run must be over, whether or not its stop is answered: its entry gave it up
    /// or was lost, and another entry may start the task. None while its entry holds it.
    pub(crate) over_by: Option<Instant>,
}

impl Run {
    /// Whether the run may hold room at the endpoint.
    pub(crate) fn is_at_endpoint(&self) -> bool {
        !matches!(self.phase, Phase::Waiting(_))
    }

    /// Whether the endpoint answered the start, or listed the run.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.progressed_at.is_some()
    }

    /// Whether a stop was ordered for the run.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping | Phase::StopAnswered(_))
    }

    /// Records that the entry no longer holds the run, which must be over by this moment.
    pub(crate) fn release(&mut self, over_by: Instant) {
        self.over_by = Some(self.over_by.map_or(over_by, |at| at.min(over_by)));
    }

    /// Returns when a delayed stop is sent again; none unless the run is stopping.
    pub(crate) fn resend_stop_at(&self) -> Option<Instant> {
        self.resend_stop_at
            .filter(|_| self.phase == Phase::Stopping)
    }

    /// Returns when the run counts as stalled unless it shows progress; none before it
    /// shows any.
    pub(crate) fn stalls_at(&self) -> Option<Instant> {
        let limit = STALL_LIMIT.max(self.assigned.expected / STALL_DIVISOR);
        self.progressed_at.map(|at| at + limit)
    }

    /// Returns the time since the start was sent; zero without a start.
    pub(crate) fn run_time(&self, now: Instant) -> Duration {
        let started_at = self.started_at.unwrap_or(now);
        now.saturating_duration_since(started_at)
    }

    /// Returns the end of the task as it is reported to the entry.
    pub(crate) fn task_end(&self, now: Instant, kind: EndKind) -> TaskEnd {
        TaskEnd {
            assignment: self.key.assignment,
            at: self.key.at,
            run: self.number,
            kind,
            ran: self.run_time(now),
        }
    }

    /// Records the progress shown by a list.
    pub(crate) fn record_progress(&mut self, now: Instant, percent: u32) {
        if self.progressed_at.is_none() || percent != self.percent {
            self.percent = percent;
            self.progressed_at = Some(now);
        }
    }
}
