//! Inputs and actions of the guard.

use {
    crate::guard::EndpointTime,
    chestnutrun_types::{
        AgentUpdate, Assignment, DecisionEvent, EndpointId, EndpointInfo, EntryId, Incarnation,
        Resync, Revocation, RunNumber, TaskId, ZoneId,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Orders of a lower token are refused by an endpoint that saw a higher one.
pub type FencingToken = u64;

/// Position of an end in the list of an endpoint's ends, from 1.
pub type EndNumber = u64;

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The endpoint.
    pub info: EndpointInfo,
    /// Its clock.
    pub clock: EndpointTime,
    /// Position among its announcements, which may arrive late.
    pub sequence: u64,
    /// Whether it leaves.
    pub leaving: bool,
}

/// What the guard takes.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardInput {
    /// The endpoint announced itself.
    Announced(Announcement),
    /// The endpoint said that it ended.
    Ended(EndpointId),
    /// A link to a run of an entry opened.
    LinkUp(EntryId, Incarnation, ZoneId),
    /// The link to an entry closed.
    LinkDown(EntryId),
    /// An entry was alive at a moment.
    Proven(EntryId, Instant),
    /// An entry assigns tasks.
    Assign(EntryId, Assignment),
    /// An entry takes assignments back.
    Revoke(EntryId, Revocation),
    /// The endpoint answered a start.
    Started(Incarnation, RunNumber, Answer<()>),
    /// The endpoint answered a stop.
    Stopped(Incarnation, RunNumber, Answer<()>),
    /// The endpoint answered a list order, or did not; with the moment at
    /// which the order was sent.
    Listed(Incarnation, ListOrder, Answer<ListReply>),
    /// The agent is told to stop.
    Leave,
    /// Time passed.
    Tick,
}

/// Why an endpoint did not carry out an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderFault {
    /// A higher token was used before.
    StaleToken,
    /// A run of that number or a higher one ended or was stopped there.
    OldRun,
    /// The lease that the order carries was over.
    LeaseOver,
    /// There is no room.
    NoRoom,
    /// The endpoint is unwell; it did nothing.
    Unwell,
    /// Another run of the endpoint answered.
    OtherIncarnation,
    /// The endpoint does not take the order as valid.
    Invalid,
}

impl OrderFault {
    /// Returns the name of the fault, as it is written down and counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::StaleToken => "stale-token",
            Self::OldRun => "old-run",
            Self::LeaseOver => "lease-over",
            Self::NoRoom => "no-room",
            Self::Unwell => "unwell",
            Self::OtherIncarnation => "other-incarnation",
            Self::Invalid => "invalid",
        }
    }
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<T> {
    /// It was carried out, at this time of the endpoint's clock.
    Done(EndpointTime, T),
    /// It was not carried out; with the endpoint's clock where it was told.
    Refused(Option<EndpointTime>, OrderFault),
    /// No answer came: it may be carried out, also later.
    Unknown,
}

/// How a run ended, as the endpoint lists it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// To its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease lapsed, or what it depended on ended.
    Lapsed,
}

/// A run that goes on, as the endpoint lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// Share of the work that is done, in percent.
    pub percent: u32,
}

/// A run that ended, as the endpoint lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Position in the list.
    pub number: EndNumber,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// How it ended.
    pub how: RunEnd,
}

/// What runs at an endpoint and what ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListReply {
    /// What runs.
    pub running: Vec<ListedRun>,
    /// What ended, beyond what the order had seen.
    pub ended: Vec<ListedEnd>,
}

/// Starts a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The endpoint that is meant.
    pub endpoint: EndpointId,
    /// Run of the endpoint that is meant.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// Input of the task.
    pub payload: Arc<str>,
    /// End of the lease, on the endpoint's clock.
    pub until: EndpointTime,
    /// Token of the agent.
    pub token: FencingToken,
    /// Moment after which the answer is given up.
    pub answer_by: Instant,
}

/// Stops a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// The endpoint that is meant.
    pub endpoint: EndpointId,
    /// Run of the endpoint that is meant.
    pub incarnation: Incarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub run: RunNumber,
    /// Token of the agent.
    pub token: FencingToken,
    /// Moment after which the answer is given up.
    pub answer_by: Instant,
}

/// Renews the lease and asks for what runs and what ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ListOrder {
    /// The endpoint that is meant.
    pub endpoint: EndpointId,
    /// Run of the endpoint that is meant.
    pub incarnation: Incarnation,
    /// End of the lease, on the endpoint's clock; none leaves it as it is.
    pub until: Option<EndpointTime>,
    /// Ends up to here need not be listed again.
    pub seen: EndNumber,
    /// How long the endpoint may wait for an end before it answers.
    pub wait: Duration,
    /// Token of the agent.
    pub token: FencingToken,
    /// When the order was made.
    pub sent_at: Instant,
    /// Moment after which the answer is given up.
    pub answer_by: Instant,
}

/// A message to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardMessage {
    /// What the agent knows of the entry's tasks.
    Resync(Resync),
    /// The endpoint changed.
    Endpoint(Option<EndpointInfo>),
    /// Room and ends.
    Update(AgentUpdate),
}

/// What the guard wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardAction {
    /// Send a message to an entry.
    Send(EntryId, GuardMessage),
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Renew the lease and list.
    List(ListOrder),
    /// Write down a decision.
    Note(DecisionEvent),
}
