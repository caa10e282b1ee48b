//! One task that an entry assigned.

use {
    chestnutrun_types::{
        AssignedTask, AssignmentId, EndKind, EntryId, Incarnation, RunNumber, TaskEnd, TaskId,
        TaskPosition,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Where a task stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// It waits for room until a moment.
    Waiting(Instant),
    /// Its start was sent.
    Starting,
    /// It runs.
    Running,
    /// Its stop was sent and has no answer yet.
    Stopping,
    /// Its stop was answered at this moment; a later list tells that it is gone.
    StopAnswered(Instant),
}

/// What names an assigned task at the agent.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct RunKey {
    pub(crate) entry: EntryId,
    /// Run of the entry: each counts its assignments anew.
    pub(crate) incarnation: Incarnation,
    pub(crate) assignment: AssignmentId,
    pub(crate) at: TaskPosition,
}

/// One task that an entry assigned.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) key: RunKey,
    pub(crate) task: TaskId,
    pub(crate) assigned: AssignedTask,
    pub(crate) payload: Arc<str>,
    pub(crate) phase: Phase,
    /// Number of the start; 0 while it waits.
    pub(crate) number: RunNumber,
    pub(crate) assigned_at: Instant,
    /// When its start was sent.
    pub(crate) started_at: Option<Instant>,
    /// Progress at the last change, and when that was seen.
    pub(crate) percent: u32,
    pub(crate) progressed_at: Option<Instant>,
    /// When its stop was sent last.
    pub(crate) stop_sent_at: Option<Instant>,
    /// When a stop that was refused is sent again.
    pub(crate) stop_again_at: Option<Instant>,
    /// How it is told to have ended once it is gone.
    pub(crate) end_as: EndKind,
}

impl Run {
    /// Whether it may hold room at the endpoint.
    pub(crate) fn is_at_endpoint(&self) -> bool {
        !matches!(self.phase, Phase::Waiting(_))
    }

    /// Whether the endpoint is to end it.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping | Phase::StopAnswered(_))
    }

    /// Returns when its stop is to be sent again, where it was put off.
    pub(crate) fn stop_again_at(&self) -> Option<Instant> {
        self.stop_again_at.filter(|_| self.phase == Phase::Stopping)
    }

    /// Returns how long it has run.
    pub(crate) fn ran(&self, now: Instant) -> Duration {
        let started_at = self.started_at.unwrap_or(now);
        now.saturating_duration_since(started_at)
    }

    /// Returns what its entry is told at its end.
    pub(crate) fn end(&self, now: Instant, kind: EndKind) -> TaskEnd {
        TaskEnd {
            assignment: self.key.assignment,
            at: self.key.at,
            run: self.number,
            kind,
            ran: self.ran(now),
        }
    }

    /// Notes the progress that a list shows.
    pub(crate) fn note_progress(&mut self, now: Instant, percent: u32) {
        if self.progressed_at.is_none() || percent != self.percent {
            self.percent = percent;
            self.progressed_at = Some(now);
        }
    }
}
