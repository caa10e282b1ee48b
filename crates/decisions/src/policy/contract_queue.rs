//! Waiting tasks, running tasks and slot time of one contract.

use {
    crate::policy::{
        WaitingTask,
        decaying_rate::DecayingRate,
        size_class::{PerClass, SizeClass},
    },
    chestnutrun_types::{Contract, Overflow},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
};

/// Order of waiting tasks within a contract; the smallest key goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// More urgent jobs go first.
    pub urgency: Reverse<u8>,
    /// Then tasks that were requeued because they did not start go first.
    pub retried: Reverse<bool>,
    /// Then the earliest deadline goes first.
    pub deadline: SystemTime,
    /// Then tasks go in the order of arrival.
    pub arrival: u64,
}

/// Place of a contract among those that may start a task; the smallest goes
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Turn {
    /// Whether the contract borrows; contracts within their share go first.
    pub borrows: bool,
    /// Then more urgent contracts go first.
    pub urgency: Reverse<u8>,
    /// Then the contract with the least slot time for its weight goes first.
    pub virtual_time: Duration,
    /// Position of the contract in the map of contracts.
    pub contract: usize,
}

impl Turn {
    /// Returns the part of the order that takes precedence over fair shares.
    #[must_use]
    pub fn rank(&self) -> (bool, Reverse<u8>) {
        (self.borrows, self.urgency)
    }
}

/// Terms of a contract that the order of tasks depends on.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Most tasks that run at once without borrowing.
    pub in_flight_limit: usize,
    /// Urgency against other contracts; higher goes first.
    pub urgency: u8,
    /// Weight against contracts of the same urgency; at least 1.
    pub weight: u32,
    /// Whether the contract may use idle slots beyond its limit.
    pub borrows: bool,
}

impl Terms {
    /// Reads the terms from a contract's configuration.
    #[must_use]
    pub fn new(contract: &Contract) -> Self {
        Self {
            in_flight_limit: contract.in_flight_limit as usize,
            urgency: contract.urgency,
            weight: contract.weight.max(1),
            borrows: contract.overflow == Overflow::Borrow,
        }
    }

    /// Returns the terms for a contract that is no longer configured: its admitted
    /// tasks still run.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            in_flight_limit: usize::MAX,
            urgency: 0,
            weight: 1,
            borrows: false,
        }
    }
}

/// Waiting tasks, running tasks and slot time of one contract.
#[derive(Debug)]
pub struct ContractQueue {
    /// Terms in force.
    pub terms: Terms,
    /// Waiting tasks by class.
    pub queues: PerClass<BTreeMap<QueueKey, WaitingTask>>,
    /// Tasks that hold slots.
    pub running: usize,
    /// Rate of tasks that released their slots.
    pub end_rate: DecayingRate,
    /// Time for which tasks held slots, divided by the contract's weight.
    pub virtual_time: Duration,
    /// Turn that the policy's index holds for the contract, by class.
    pub indexed: PerClass<Option<Turn>>,
}

impl ContractQueue {
    /// Creates a queue without tasks.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            queues: PerClass::default(),
            running: 0,
            end_rate: DecayingRate::default(),
            virtual_time: Duration::ZERO,
            indexed: PerClass::default(),
        }
    }

    /// Returns how many tasks wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.short.len() + self.queues.long.len()
    }

    /// Returns whether a further task would run without borrowing.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        self.running < self.terms.in_flight_limit
    }

    /// Returns the turn of the contract's next task of a class; none if no task
    /// may start.
    #[must_use]
    pub fn turn(&self, class: SizeClass, contract: usize) -> Option<Turn> {
        let borrows = !self.is_within_share();
        let has_task = !self.queues.get(class).is_empty();
        let may_start = !borrows || self.terms.borrows;
        (has_task && may_start).then_some(Turn {
            borrows,
            urgency: Reverse(self.terms.urgency),
            virtual_time: self.virtual_time,
            contract,
        })
    }
}
