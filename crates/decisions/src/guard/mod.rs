//! The agent's side of best-effort jobs: controls one endpoint on behalf of all
//! entries.

mod announcement_order;
mod contention;
mod endpoint_clock;
mod endpoint_side;
mod endpoint_state;
mod entry_side;
mod entry_state;
mod evacuation;
mod guard_machine;
mod health;
mod leases;
mod lists;
mod messages;
mod run;
mod run_over;
mod runs;
mod starts;
mod stops;

pub use {
    endpoint_clock::{EndpointClock, EndpointTime},
    guard_machine::{GuardConf, GuardMachine},
    health::EndpointHealth,
    messages::{
        Announcement, Answer, EndNumber, FencingToken, GuardAction, GuardInput, GuardMessage,
        ListOrder, ListReply, ListedEnd, ListedRun, OrderFault, RunEnd, StartOrder, StopOrder,
    },
};
