//! Events of the simulated site, and the state of its processes.

use {
    super::{Millis, site::AGENTS},
    chestnutrun_decisions::{
        guard::{
            Announcement, GuardInput, GuardMachine, GuardMessage, ListOrder, StartOrder, StopOrder,
        },
        placement::{CallerId, DispatchInput, Dispatcher},
    },
    chestnutrun_types::{Assignment, BestEffortJob, EndpointId, Revocation},
    indexmap::IndexMap,
    std::rc::Rc,
};

/// An event at a simulated time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Submit,
    Resubmit(Rc<BestEffortJob>),
    /// A copy of a caller's submission reaches the entry that holds the job.
    SubmitCopy(CallerId),
    Fault,
    /// An endpoint stops to answer.
    Mute,
    /// An endpoint ends and starts again at once.
    QuickRestart,
    Unfreeze(Node),
    Restart(Node),
    EndpointRestarts(usize),
    Announce(usize),
    Probe(usize, usize),
    Reconnect(usize, usize, u64),
    /// Passes an input to one run of a process; the number identifies the run.
    Process(Node, u64, Input),
    /// An order of a run of an agent reaches the endpoint; if the flag is false,
    /// the answer is lost.
    Order(usize, u64, Order, bool),
    OrderTimesOut(usize, u64, u64),
    CallerDisconnects(CallerId),
    AdvanceEndpoint(usize),
}

/// A process, by its number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Node {
    Entry(usize),
    Agent(usize),
}

/// An input of a process; links and their messages carry the link's generation.
#[derive(Clone, Debug)]
pub(super) enum Input {
    Tick,
    LinkUp(usize, u64),
    LinkDown(usize, u64),
    Proven(usize, u64, Millis),
    FromAgent(usize, u64, GuardMessage),
    Assign(usize, u64, Assignment),
    Revoke(usize, u64, Revocation),
    Announced(Announcement),
    EndpointEnded(EndpointId),
    Answered(u64, GuardInput),
    Dispatch(DispatchInput),
}

/// An order to an endpoint, with its number; a list also has the time until
/// which it waits for ended runs.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(u64, StartOrder),
    Stop(u64, StopOrder),
    List(u64, ListOrder, Millis),
}

#[derive(Debug)]
pub(super) struct FakeEntry {
    pub(super) machine: Dispatcher,
    /// Generation of the newest link to each agent that the entry learned of.
    pub(super) links: [u64; AGENTS],
    pub(super) run: u64,
    pub(super) is_up: bool,
    pub(super) frozen_until: Millis,
}

#[derive(Debug)]
pub(super) struct FakeAgent {
    pub(super) machine: GuardMachine,
    pub(super) run: u64,
    pub(super) is_up: bool,
    pub(super) frozen_until: Millis,
    pub(super) orders: IndexMap<u64, GuardInput>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) generation: u64,
    pub(super) is_open: bool,
    pub(super) cut_until: Millis,
}

#[derive(Debug)]
pub(super) struct Caller {
    pub(super) entry: usize,
    pub(super) job: Rc<BestEffortJob>,
    /// Whether another caller submitted the job and still submits it again.
    pub(super) is_copy: bool,
}
