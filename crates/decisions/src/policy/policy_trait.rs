//! The interface between a shard's owner and its scheduling policy.

use {
    crate::policy::{Slots, WaitingTask},
    chestnutrun_types::{Configuration, ContractId, EndpointId, Now, TaskRef},
    std::{fmt, time::Duration},
};

/// How a started task used the slot that it released.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotUse {
    /// The task completed; the policy may learn its run time.
    Completed,
    /// The task ran and failed.
    Failed,
    /// The task did not run, or its endpoint was lost: nothing is charged.
    Unknown,
}

/// Chooses which waiting task goes to which free slot.
pub trait Policy: fmt::Debug {
    /// Applies a newer configuration.
    fn configure(&mut self, configuration: &Configuration);

    /// Adds a waiting task; a `retried` task goes ahead of equally urgent tasks.
    fn enqueue(&mut self, now: Now, waiting: WaitingTask, retried: bool);

    /// Removes and returns a waiting task, if it is known.
    fn remove(&mut self, task: &TaskRef) -> Option<WaitingTask>;

    /// Removes and returns the next task that may start now, with its endpoint.
    ///
    /// The policy counts the task as running until [`Policy::release`].
    fn next(&mut self, now: Now, slots: &Slots) -> Option<(WaitingTask, EndpointId)>;

    /// Counts as running a task that an earlier owner of the shard started.
    fn adopt(&mut self, now: Now, task: &TaskRef);

    /// Counts a running task's slot as free again.
    fn release(&mut self, now: Now, task: &TaskRef, slot_use: SlotUse);

    /// Returns how many tasks of a contract wait.
    fn waiting(&self, contract: &ContractId) -> usize;

    /// Returns how many tasks of a contract hold slots.
    fn running(&self, contract: &ContractId) -> usize;

    /// Returns how long a contract's waiting and running tasks take to end at the
    /// present rate; none if the rate is unknown.
    fn time_to_drain(&self, _now: Now, _contract: &ContractId) -> Option<Duration> {
        None
    }

    /// Removes and returns every waiting task whose deadline passed.
    fn expire(&mut self, now: Now) -> Vec<WaitingTask>;
}
