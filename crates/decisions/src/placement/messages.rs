//! Inputs and actions of the dispatcher.

use {
    chestnutrun_types::{
        AgentId, AgentUpdate, Assignment, BestEffortJob, CancelledJob, ClassDemand, DecisionEvent,
        EndpointInfo, Incarnation, JobId, Resync, Revocation, Route,
    },
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number of a caller's request, unique within its entry.
pub type CallerId = u64;

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller that waits for the answer.
    pub caller: CallerId,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// The job.
    pub job: Rc<BestEffortJob>,
    /// Moment after which the caller no longer waits.
    pub deadline: Instant,
}

/// Why a job was refused before any of its tasks ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The endpoints have no room in time.
    Overload,
    /// The entry has no link to an agent with an endpoint.
    NoEndpoint,
    /// No endpoint of the service can ever hold one of the tasks.
    NeverFits,
    /// The job runs for longer than its caller waits.
    NoTime,
}

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobOutcome {
    /// Every task ran to its end.
    Completed,
    /// A task failed as often as the route allows.
    Failed,
    /// No task ran and none will; the caller may submit the job again after this
    /// time.
    Refused(RefusalReason, Duration),
    /// The deadline passed; some tasks may have run, and the rest are revoked.
    Expired,
    /// The job was cancelled; some tasks may have run, and none will start.
    Cancelled,
    /// The job was cancelled before any of its tasks could run, and none will.
    CancelledUnstarted,
    /// Another job is held under the same id; this one does not run.
    IdInUse,
}

impl JobOutcome {
    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Refused(RefusalReason::Overload, _) => "refused-overload",
            Self::Refused(RefusalReason::NoEndpoint, _) => "refused-no-endpoint",
            Self::Refused(RefusalReason::NeverFits, _) => "refused-never-fits",
            Self::Refused(RefusalReason::NoTime, _) => "refused-no-time",
            Self::Expired => "expired",
            Self::Cancelled => "cancelled",
            Self::CancelledUnstarted => "cancelled-unstarted",
            Self::IdInUse => "id-in-use",
        }
    }
}

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// A caller submits a job, which may be held already.
    Submit(Submission),
    /// A caller disconnected before its answer.
    CallerDisconnected(CallerId),
    /// A caller cancels a job, which another request may have submitted.
    Cancel(JobId),
    /// Jobs were cancelled at another entry.
    CancelledElsewhere(Vec<CancelledJob>),
    /// An agent opened a link and sent its first message there.
    AgentUp(AgentId, Incarnation, Resync),
    /// The link to an agent closed, or a new one replaces it.
    AgentDown(AgentId),
    /// The endpoint of an agent changed; none if it cannot be used.
    EndpointChanged(AgentId, Option<EndpointInfo>),
    /// An agent reports free room and ended tasks.
    Update(AgentId, AgentUpdate),
    /// Every held job must be answered by this moment.
    AnswerAllBy(Instant),
    /// Time passed; late jobs expire or are refused.
    Tick,
}

/// An action that the dispatcher asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchAction {
    /// Answers a caller with the outcome of its job.
    Answer(CallerId, JobId, JobOutcome),
    /// Assigns tasks to an agent, which starts them.
    Assign(AgentId, Assignment),
    /// Takes assignments back: the agent drops or stops their tasks.
    Revoke(AgentId, Revocation),
    /// Tells an agent its part of this entry's demand.
    TellDemand(AgentId, Vec<ClassDemand>),
    /// Tells the linked entries that a job was cancelled.
    SpreadCancel(CancelledJob),
    /// Records a decision in the structured log.
    Record(DecisionEvent),
}
