//! Inputs and actions of the dispatcher.

use {
    chestnutrun_types::{
        AgentId, AgentUpdate, Assignment, BestEffortJob, DecisionEvent, EndpointInfo, Incarnation,
        JobId, Resync, Revocation, Route,
    },
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of a caller's request within its entry.
pub type CallerId = u64;

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller that waits.
    pub caller: CallerId,
    /// Route of the request.
    pub route: Arc<Route>,
    /// The job.
    pub job: Rc<BestEffortJob>,
    /// Moment after which the caller no longer waits.
    pub deadline: Instant,
}

/// Why a job was refused; nothing of it has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedFor {
    /// Endpoints are busy for too long.
    Overload,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// No endpoint of the service can ever hold one of the tasks.
    NeverFits,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task ran to its end.
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// Nothing ran, and nothing will; with the time to come back after.
    Refused(RefusedFor, Duration),
    /// Time ran out; parts may have run, and nothing runs any more.
    Expired,
    /// The job was cancelled.
    Cancelled,
}

impl JobOutcome {
    /// Returns the name of the outcome, as it is written down and counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Refused(RefusedFor::Overload, _) => "refused-overload",
            Self::Refused(RefusedFor::NoEndpoint, _) => "refused-no-endpoint",
            Self::Refused(RefusedFor::NeverFits, _) => "refused-never-fits",
            Self::Expired => "expired",
            Self::Cancelled => "cancelled",
        }
    }
}

/// What the dispatcher takes.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// A caller submits a job.
    Submit(Submission),
    /// A caller went away.
    Gone(CallerId),
    /// A caller cancels a job.
    Cancel(JobId),
    /// A link to a run of an agent opened.
    AgentUp(AgentId, Incarnation, Resync),
    /// The link to an agent closed.
    AgentDown(AgentId),
    /// The endpoint of an agent changed.
    Endpoint(AgentId, Option<EndpointInfo>),
    /// An agent tells of room and of ended tasks.
    Update(AgentId, AgentUpdate),
    /// Every job that is held must have its answer by this moment.
    AnswerBy(Instant),
    /// Time passed.
    Tick,
}

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Tell a caller how its job ended.
    Answer(CallerId, JobId, JobOutcome),
    /// Have an agent start tasks.
    Assign(AgentId, Assignment),
    /// Have an agent drop or stop tasks.
    Revoke(AgentId, Revocation),
    /// Write down a decision.
    Note(DecisionEvent),
}
