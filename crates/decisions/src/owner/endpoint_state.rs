//! State of one endpoint at an owner.

use {
    crate::{
        owner::{AgentStage, Health},
        policy::EndpointSlots,
    },
    chestnutrun_types::{AgentHello, Incarnation, TaskRef},
    indexmap::IndexSet,
    std::time::Instant,
};

/// State of one endpoint and its agent, as the owner knows it.
#[derive(Debug)]
pub struct EndpointState {
    /// The newest announcement of the agent.
    pub hello: AgentHello,
    /// Stage of the agent's link to the owner.
    pub stage: AgentStage,
    /// Whether operators drained the endpoint.
    pub draining: bool,
    /// When the owner gives up a disconnected agent; none while it is linked.
    pub lost_at: Option<Instant>,
    /// When starts may be sent again after the agent refused one.
    pub retry_at: Option<Instant>,
    /// Tasks that were sent to the agent and have not ended.
    pub started: IndexSet<TaskRef>,
    /// Recent failures of tasks at the endpoint.
    pub health: Health,
}

impl EndpointState {
    /// Creates the state of an agent that just linked.
    #[must_use]
    pub fn new(hello: AgentHello, draining: bool) -> Self {
        Self {
            hello,
            stage: AgentStage::Linked,
            draining,
            lost_at: None,
            retry_at: None,
            started: IndexSet::new(),
            health: Health::default(),
        }
    }

    /// Whether `incarnation` is the known run of the agent.
    #[must_use]
    pub fn is_same_run(&self, incarnation: Incarnation) -> bool {
        self.hello.incarnation == incarnation
    }

    /// Returns the slots that the policy may use at the moment `at`.
    #[must_use]
    pub fn slots(&self, at: Instant) -> EndpointSlots {
        let leased = self.stage == AgentStage::Leased;
        let accepting = !self.draining && !self.hello.leaving;
        let pause_is_over = self.retry_at.is_none_or(|retry_at| at >= retry_at);
        let allowed = self.health.max_tasks(at, self.hello.slots);
        EndpointSlots {
            total: allowed,
            taken: u32::try_from(self.started.len()).unwrap_or(u32::MAX),
            usable: leased && accepting && pause_is_over && allowed > 0,
            suspect: self.health.is_suspect(),
        }
    }
}
