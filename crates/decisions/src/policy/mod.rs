//! Scheduling policies: they choose which waiting task gets which free slot.

mod contract_queue;
mod decaying_rate;
mod endpoint_queues;
mod first_come;
mod policy_trait;
mod run_times;
mod size_aware;
mod size_class;
mod slots;
mod static_shares;
mod waiting_task;

pub use {
    endpoint_queues::{EndpointChoice, EndpointQueues},
    first_come::FirstCome,
    policy_trait::{Policy, SlotUse},
    size_aware::SizeAware,
    slots::{EndpointSlots, Slots},
    static_shares::StaticShares,
    waiting_task::WaitingTask,
};
