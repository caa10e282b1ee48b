//! The tasks that entries assigned and that have not ended.

use {
    crate::guard::run::{Phase, Run, RunKey},
    chestnutrun_types::{Resources, RunNumber, TaskId},
    indexmap::IndexMap,
    std::time::Instant,
};

/// The tasks that entries assigned and that have not ended.
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

    pub(crate) fn get_mut(&mut self, key: &RunKey) -> Option<&mut Run> {
        self.by_key.get_mut(key)
    }

    pub(crate) fn numbered(&mut self, number: RunNumber) -> Option<&mut Run> {
        let key = self.by_number.get(&number)?;
        self.by_key.get_mut(key)
    }

    /// Gives a task the number of its start.
    pub(crate) fn number(&mut self, key: &RunKey, number: RunNumber) {
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

    /// Returns the keys of the tasks that a condition holds for.
    pub(crate) fn keys(&self, holds: impl Fn(&Run) -> bool) -> Vec<RunKey> {
        let matching = self.by_key.values().filter(|run| holds(run));
        matching.map(|run| run.key.clone()).collect()
    }

    /// Returns the keys of what waits, the one that can wait least first.
    pub(crate) fn waiting(&self) -> Vec<RunKey> {
        let mut waiting: Vec<_> = self
            .by_key
            .values()
            .filter_map(|run| match run.phase {
                Phase::Waiting(start_by) => Some((start_by, &run.key)),
                _ => None,
            })
            .collect();
        waiting.sort_by_key(|(start_by, _)| *start_by);
        waiting.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Returns when the first of the stops that were put off is due.
    pub(crate) fn first_stop_again(&self) -> Option<Instant> {
        let due = self.iter().filter_map(Run::stop_again_at);
        due.min()
    }

    /// Returns the moment at which the first waiting task has waited enough.
    pub(crate) fn first_start_by(&self) -> Option<Instant> {
        let waiting = self.by_key.values().filter_map(|run| match run.phase {
            Phase::Waiting(start_by) => Some(start_by),
            _ => None,
        });
        waiting.min()
    }

    /// Returns the room that tasks hold at the endpoint.
    pub(crate) fn held(&self) -> Resources {
        self.sum(Run::is_at_endpoint)
    }

    /// Returns the room of all tasks, those that wait among them.
    pub(crate) fn claimed(&self) -> Resources {
        self.sum(|_| true)
    }

    /// Whether a run of the same task holds room under another key.
    pub(crate) fn is_elsewhere(&self, task: &TaskId, key: &RunKey) -> bool {
        self.by_key
            .values()
            .any(|run| run.task == *task && run.key != *key && run.is_at_endpoint())
    }

    fn sum(&self, holds: impl Fn(&Run) -> bool) -> Resources {
        let matching = self.by_key.values().filter(|run| holds(run));
        matching.fold(Resources::default(), |sum, run| sum.plus(run.assigned.need))
    }
}
