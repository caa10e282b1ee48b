//! An entry's view of one agent and its endpoint.

use {
    chestnutrun_types::{AgentUpdate, AssignmentId, EndpointInfo, Incarnation, Reserve, Resources},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Room and number of tasks that one assignment reserves at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Claim {
    assignment: AssignmentId,
    room: Resources,
    tasks: u16,
}

/// An entry's view of one agent and its endpoint.
#[derive(Debug)]
pub(crate) struct EndpointView {
    pub(crate) incarnation: Incarnation,
    /// When the link closed; none while it is open.
    pub(crate) unlinked_at: Option<Instant>,
    pub(crate) info: Option<EndpointInfo>,
    reported: AgentUpdate,
    reported_at: Option<Instant>,
    /// Claims of assignments that the agent's last update does not include.
    claims: VecDeque<Claim>,
}

impl EndpointView {
    pub(crate) fn new(incarnation: Incarnation, info: Option<EndpointInfo>) -> Self {
        Self {
            incarnation,
            unlinked_at: None,
            info,
            reported: AgentUpdate::default(),
            reported_at: None,
            claims: VecDeque::new(),
        }
    }

    /// Stores the room that an agent reports, and drops the claims that the
    /// report includes.
    pub(crate) fn update(&mut self, now: Instant, update: &AgentUpdate) {
        self.reported_at = Some(now);
        while self
            .claims
            .front()
            .is_some_and(|claim| claim.assignment <= update.last_assignment)
        {
            self.claims.pop_front();
        }
        self.reported = AgentUpdate {
            ends: Vec::new(),
            crashes: Vec::new(),
            demand: Vec::new(),
            ..*update
        };
    }

    /// Reserves room for an assignment that is sent to the agent.
    pub(crate) fn claim(&mut self, assignment: AssignmentId, room: Resources, tasks: u16) {
        self.claims.push_back(Claim {
            assignment,
            room,
            tasks,
        });
    }

    /// Marks the link as closed, and forgets the claims and the last update.
    pub(crate) fn unlink(&mut self, now: Instant) {
        self.unlinked_at.get_or_insert(now);
        self.claims.clear();
        self.reported = AgentUpdate::default();
    }

    /// Returns the reported free room minus this entry's claims.
    pub(crate) fn free(&self) -> Resources {
        let claimed = self.claims.iter().map(|claim| claim.room);
        claimed.fold(self.reported.free, Resources::minus)
    }

    /// Returns the part of the free room that is kept for urgent tasks.
    pub(crate) fn reserve(&self) -> Reserve {
        self.reported.reserve
    }

    /// Returns how many further tasks may be assigned to the endpoint now.
    pub(crate) fn most_tasks(&self) -> u16 {
        let claimed = self.claims.iter().map(|claim| claim.tasks);
        claimed.fold(self.reported.most_tasks, u16::saturating_sub)
    }

    /// Returns the age of the agent's last update; zero if there was none.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let reported_at = self.reported_at.unwrap_or(now);
        now.saturating_duration_since(reported_at)
    }

    /// Returns the ratio of the observed run time to the expected one.
    pub(crate) fn slowness(&self) -> f32 {
        self.reported.slowness.max(f32::MIN_POSITIVE)
    }

    /// Returns the endpoint if the agent is linked and has one.
    pub(crate) fn usable(&self) -> Option<&EndpointInfo> {
        self.info.as_ref().filter(|_| self.unlinked_at.is_none())
    }
}
