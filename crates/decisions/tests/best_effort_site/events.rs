//! What happens at the site, and the processes that it happens to.

use {
    super::{Millis, site::AGENTS},
    chestnutrun_decisions::{
        guard::{
            Announcement, GuardInput, GuardMachine, GuardMessage, ListOrder, StartOrder, StopOrder,
        },
        placement::{CallerId, DispatchInput, Dispatcher},
    },
    chestnutrun_types::{Assignment, BestEffortJob, Revocation},
    indexmap::IndexMap,
    std::rc::Rc,
};

/// Something that happens.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Submit,
    Resubmit(Rc<BestEffortJob>),
    Fault,
    Thaw(Node),
    Restart(Node),
    EndpointRestarts(usize),
    Announce(usize),
    Probe(usize, usize),
    Heal(usize, usize, u64),
    /// To one run of one process.
    Process(Node, u64, Input),
    /// Reaches the endpoint beside an agent; false loses the answer.
    Order(usize, u64, Order, bool),
    GiveUpOrder(usize, u64, u64),
    CallerLeaves(CallerId),
    EndpointMoves(usize),
}

/// One process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Node {
    Entry(usize),
    Agent(usize),
}

/// What a process is told; a number of a link's generation goes with messages.
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
    Answered(u64, GuardInput),
    Dispatch(DispatchInput),
}

/// An order to an endpoint, with its number at the agent.
#[derive(Clone, Debug)]
pub(super) enum Order {
    Start(u64, StartOrder),
    Stop(u64, StopOrder),
    List(u64, ListOrder, Millis),
}

#[derive(Debug)]
pub(super) struct FakeEntry {
    pub(super) machine: Dispatcher,
    /// Generation of the newest link to each agent that the entry knows.
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
}
