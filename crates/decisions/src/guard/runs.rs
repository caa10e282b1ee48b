//! Assigned tasks that have not ended.

use {
    crate::guard::{
        run::{Phase, Run, RunKey},
        run_over::RunOver,
    },
    chestnutrun_types::{Resources, RunNumber, TaskId},
    indexmap::IndexMap,
    std::time::Instant,
};

/// Assigned tasks that have not ended, by key and by number of the start.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    by_key: IndexMap<RunKey, Run>,
    by_number: IndexMap<RunNumber, RunKey>,
}

impl Runs {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn insert(&mut self, run: Run) {
        self.by_key.insert(run.key.clone(), run);
    }

    pub(crate) fn get(&self, key: &RunKey) -> Option<&Run> {
        self.by_key.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &RunKey) -> Option<&mut Run> {
        self.by_key.get_mut(key)
    }

    pub(crate) fn get_by_number(&self, number: RunNumber) -> Option<&Run> {
        let key = self.by_number.get(&number)?;
        self.by_key.get(key)
    }

    pub(crate) fn get_by_number_mut(&mut self, number: RunNumber) -> Option<&mut Run> {
        let key = self.by_number.get(&number)?;
        self.by_key.get_mut(key)
    }

    /// Sets the number of a task's newest start.
    pub(crate) fn assign_number(&mut self, key: &RunKey, number: RunNumber) {
        if let Some(run) = self.by_key.get_mut(key) {
            self.by_number.swap_remove(&run.number);
            run.number = number;
            self.by_number.insert(number, key.clone());
        }
    }

    pub(crate) fn remove(&mut self, key: &RunKey) -> Option<Run> {
        let run = self.by_key.swap_remove(key)?;
        self.by_number.swap_remove(&run.number);
        Some(run)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Run> {
        self.by_key.values()
    }

    /// Returns the keys of the tasks that satisfy `condition`.
    pub(crate) fn keys_where(&self, condition: impl Fn(&Run) -> bool) -> Vec<RunKey> {
        let matching = self.by_key.values().filter(|run| condition(run));
        matching.map(|run| run.key.clone()).collect()
    }

    /// Returns the evidence of the runs for which there is some.
    pub(crate) fn over(&self, evidence: impl Fn(&Run) -> Option<RunOver>) -> Vec<RunOver> {
        self.by_key.values().filter_map(evidence).collect()
    }

    /// Returns the keys of the waiting tasks, the most urgent priority first, and
    /// within one the earliest start deadline.
    pub(crate) fn waiting(&self) -> Vec<RunKey> {
        let mut waiting: Vec<_> = self
            .by_key
            .values()
            .filter_map(|run| match run.phase {
                Phase::Waiting(start_by) => Some(((run.priority, start_by), &run.key)),
                _ => None,
            })
            .collect();
        waiting.sort_by_key(|(turn, _)| *turn);
        waiting.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Returns when the first delayed stop is due.
    pub(crate) fn first_stop_resend(&self) -> Option<Instant> {
        let due = self.iter().filter_map(Run::resend_stop_at);
        due.min()
    }

    /// Returns the earliest start deadline of the waiting tasks.
    pub(crate) fn first_start_by(&self) -> Option<Instant> {
        let waiting = self.by_key.values().filter_map(|run| match run.phase {
            Phase::Waiting(start_by) => Some(start_by),
            _ => None,
        });
        waiting.min()
    }

    /// Returns the room that tasks hold at the endpoint.
    pub(crate) fn held_room(&self) -> Resources {
        self.sum_needs(Run::is_at_endpoint)
    }

    /// Returns the room of all tasks, including waiting ones.
    pub(crate) fn claimed_room(&self) -> Resources {
        self.sum_needs(|_| true)
    }

    /// Whether a run that shares the endpoint with no other job waits or is there.
    pub(crate) fn has_alone(&self) -> bool {
        self.by_key.values().any(|run| run.is_alone)
    }

    /// Whether a waiting run may start beside those at the endpoint. While a run that
    /// needs the endpoint alone waits, none that is as urgent or less starts, so that the
    /// endpoint empties.
    pub(crate) fn may_start_beside_others(&self, key: &RunKey) -> bool {
        let Some(run) = self.by_key.get(key) else {
            return false;
        };
        let mut others = self.iter().filter(|other| other.task.job != run.task.job);
        others.all(|other| {
            if other.is_at_endpoint() {
                !other.is_alone && !run.is_alone
            } else {
                !other.is_alone || run.is_alone || run.priority < other.priority
            }
        })
    }

    /// Returns the tasks of the runs at the endpoint, but for those that were there
    /// at an earlier crash.
    pub(crate) fn tasks_at_endpoint(&self) -> Vec<TaskId> {
        let runs = self.iter();
        let runs = runs.filter(|run| run.is_at_endpoint() && !run.has_crashed);
        runs.map(|run| run.task.clone()).collect()
    }

    /// Marks the runs at the endpoint, which has crashed.
    pub(crate) fn mark_crashed(&mut self) {
        for run in self.by_key.values_mut() {
            run.has_crashed |= run.is_at_endpoint();
        }
    }

    /// Whether another run of the same task may hold room at the endpoint.
    pub(crate) fn has_other_run(&self, task: &TaskId, key: &RunKey) -> bool {
        self.by_key
            .values()
            .any(|run| run.task == *task && run.key != *key && run.is_at_endpoint())
    }

    fn sum_needs(&self, condition: impl Fn(&Run) -> bool) -> Resources {
        let matching = self.by_key.values().filter(|run| condition(run));
        matching.fold(Resources::default(), |sum, run| sum.plus(run.assigned.need))
    }
}
