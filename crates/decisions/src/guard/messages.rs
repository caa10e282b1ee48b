//! Inputs and actions of the guard, and the orders to the endpoint.

use {
    crate::{evacuation::ZoneGate, guard::EndpointTime},
    chestnutrun_types::{
        AgentUpdate, Assignment, DecisionEvent, EndpointId, EndpointInfo, EntryId, Incarnation,
        Resync, Revocation, RunNumber, TaskId, ZoneId,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Token of an order; an endpoint that has received a higher token refuses it.
pub type FencingToken = u64;

/// Position in an endpoint's list of ended runs, from 1.
pub type EndNumber = u64;

/// State that an endpoint announces.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Identity, labels and capacity of the endpoint.
    pub info: EndpointInfo,
    /// The endpoint's clock when it sent the announcement.
    pub clock: EndpointTime,
    /// Sequence number, since announcements may arrive late or out of order.
    pub sequence: u64,
    /// Whether the endpoint is shutting down.
    pub leaving: bool,
}

/// Inputs of the guard.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardInput {
    /// The endpoint announced itself.
    Announced(Announcement),
    /// The endpoint reported its end.
    EndpointEnded(EndpointId),
    /// A link to an incarnation of an entry in an availability zone opened.
    LinkUp(EntryId, Incarnation, ZoneId),
    /// The link to an entry closed.
    LinkDown(EntryId),
    /// The link to an entry will be closed once none of its tasks is left.
    Withdraw(EntryId),
    /// The link to an entry stays open after all.
    Restore(EntryId),
    /// A probe proved that an entry was alive at this moment or later.
    Proven(EntryId, Instant),
    /// An entry assigns tasks.
    Assign(EntryId, Assignment),
    /// An entry revokes assignments.
    Revoke(EntryId, Revocation),
    /// The endpoint answered a start.
    Started(Incarnation, RunNumber, Answer<()>),
    /// The endpoint answered a stop.
    Stopped(Incarnation, RunNumber, Answer<()>),
    /// The endpoint answered a list order, or the order failed.
    Listed(Incarnation, ListOrder, Answer<ListReply>),
    /// The zones in which tasks may start changed.
    ZonesChanged(ZoneGate),
    /// The agent must shut down.
    Leave,
    /// Time passed.
    Tick,
}

/// Why an endpoint did not carry out an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// The endpoint has received a higher token.
    StaleToken,
    /// A run with the same number or a higher one was already stopped or ended.
    OldRun,
    /// The lease that the order carries had already ended.
    LeaseOver,
    /// The endpoint has too little free room.
    NoRoom,
    /// The endpoint is unhealthy; it did not carry out the order.
    Unhealthy,
    /// No connection to the endpoint was made, so that the order was not sent.
    Unreachable,
    /// Another endpoint answered at the address: the order named one that is not there.
    OtherIncarnation,
    /// This incarnation of the endpoint answered, which has the id that the order named
    /// and was not the one that the order was for.
    AnsweredBy(Incarnation),
    /// The endpoint rejected the order as invalid.
    Invalid,
}

impl OrderFault {
    /// Returns the name of the fault in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleToken => "stale-token",
            Self::OldRun => "old-run",
            Self::LeaseOver => "lease-over",
            Self::NoRoom => "no-room",
            Self::Unhealthy => "unwell",
            Self::Unreachable => "unreachable",
            Self::OtherIncarnation => "other-incarnation",
            Self::AnsweredBy(_) => "answered-by-other",
            Self::Invalid => "invalid",
        }
    }
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<T> {
    /// The endpoint carried out the order at this time of its clock.
    Done(EndpointTime, T),
    /// The order was not carried out; with the endpoint's clock if known.
    Refused(Option<EndpointTime>, OrderFault),
    /// No answer arrived; the order may have been carried out, or may be later.
    Unknown,
}

/// How a run ended, as the endpoint lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run completed.
    Done,
    /// The run failed.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The lease lapsed, or something that the run depended on ended.
    Lapsed,
}

/// A run in progress, as the endpoint lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// Progress in percent.
    pub percent: u32,
}

/// A run that ended, as the endpoint lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Position in the endpoint's list of ended runs.
    pub number: EndNumber,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// How the run ended.
    pub how: RunEnd,
}

/// Runs in progress and ended runs of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListReply {
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ended runs with numbers above [`ListOrder::last_processed_end`].
    pub ended: Vec<ListedEnd>,
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint that receives the order.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// Input of the task.
    pub payload: Arc<str>,
    /// End of the lease, on the endpoint's clock.
    pub until: EndpointTime,
    /// Fencing token of the agent.
    pub token: FencingToken,
    /// Moment after which the agent no longer waits for the answer.
    pub answer_by: Instant,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// The endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint that receives the order.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// Fencing token of the agent.
    pub token: FencingToken,
    /// Moment after which the agent no longer waits for the answer.
    pub answer_by: Instant,
}

/// Order to list running and ended runs, which also renews the lease.
#[derive(Clone, Debug, PartialEq)]
pub struct ListOrder {
    /// The endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint that receives the order.
    pub incarnation: Incarnation,
    /// End of the lease, on the endpoint's clock; none leaves the lease unchanged.
    pub until: Option<EndpointTime>,
    /// Number of the last processed end; the reply lists only later ones.
    pub last_processed_end: EndNumber,
    /// How long the endpoint may wait for an end before it answers.
    pub wait: Duration,
    /// Fencing token of the agent.
    pub token: FencingToken,
    /// When the order was made.
    pub sent_at: Instant,
    /// Moment after which the agent no longer waits for the answer.
    pub answer_by: Instant,
}

/// A message to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardMessage {
    /// Live and recently ended tasks of the entry, sent when a link opens.
    Resync(Resync),
    /// The endpoint changed; none while no endpoint is usable.
    Endpoint(Option<EndpointInfo>),
    /// Free room, task limit and ended tasks.
    Update(AgentUpdate),
}

/// Actions that the guard requests from its front end.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardAction {
    /// Send a message to an entry.
    Send(EntryId, GuardMessage),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// List the runs and renew their lease.
    List(ListOrder),
    /// Write a decision to the log.
    Record(DecisionEvent),
}
