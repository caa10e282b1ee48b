//! What an entry knows of one agent and its endpoint.

use {
    chestnutrun_types::{AgentUpdate, AssignmentId, EndpointInfo, Incarnation, Resources},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// What an entry claimed with one assignment.
#[derive(Clone, Copy, Debug)]
struct Claim {
    assignment: AssignmentId,
    room: Resources,
    tasks: u16,
}

/// What an entry knows of one agent and its endpoint.
#[derive(Debug)]
pub(crate) struct EndpointView {
    pub(crate) incarnation: Incarnation,
    pub(crate) is_linked: bool,
    pub(crate) info: Option<EndpointInfo>,
    told: AgentUpdate,
    told_at: Option<Instant>,
    /// Claims that the agent's last update does not take into account.
    claims: VecDeque<Claim>,
}

impl EndpointView {
    pub(crate) fn new(incarnation: Incarnation, info: Option<EndpointInfo>) -> Self {
        Self {
            incarnation,
            is_linked: true,
            info,
            told: AgentUpdate::default(),
            told_at: None,
            claims: VecDeque::new(),
        }
    }

    /// Takes what the agent tells of its room.
    pub(crate) fn update(&mut self, now: Instant, update: &AgentUpdate) {
        self.told_at = Some(now);
        while self
            .claims
            .front()
            .is_some_and(|claim| claim.assignment <= update.last_assignment)
        {
            self.claims.pop_front();
        }
        self.told = AgentUpdate {
            ends: Vec::new(),
            ..*update
        };
    }

    /// Notes an assignment that is on its way.
    pub(crate) fn claim(&mut self, assignment: AssignmentId, room: Resources, tasks: u16) {
        self.claims.push_back(Claim {
            assignment,
            room,
            tasks,
        });
    }

    /// Forgets claims, since the link that they went over is gone.
    pub(crate) fn unlink(&mut self) {
        self.is_linked = false;
        self.claims.clear();
        self.told = AgentUpdate::default();
    }

    /// Returns the room that neither the agent nor this entry has given away.
    pub(crate) fn free(&self) -> Resources {
        let claimed = self.claims.iter().map(|claim| claim.room);
        claimed.fold(self.told.free, Resources::minus)
    }

    /// Returns how many tasks the endpoint takes now.
    pub(crate) fn most_tasks(&self) -> u16 {
        let claimed = self.claims.iter().map(|claim| claim.tasks);
        claimed.fold(self.told.most_tasks, u16::saturating_sub)
    }

    /// Returns how old the knowledge of the room is.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let told_at = self.told_at.unwrap_or(now);
        now.saturating_duration_since(told_at)
    }

    /// Returns the observed run time over the expected one.
    pub(crate) fn slowness(&self) -> f32 {
        self.told.slowness.max(f32::MIN_POSITIVE)
    }

    /// Returns the endpoint where it can be used.
    pub(crate) fn usable(&self) -> Option<&EndpointInfo> {
        self.info.as_ref().filter(|_| self.is_linked)
    }
}
