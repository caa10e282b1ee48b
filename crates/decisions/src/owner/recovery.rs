//! Records of one job, read from agents after a change of owner.

use {
    crate::owner::{AgentRun, HeldRequest, Request},
    chestnutrun_types::{
        EndpointId, EntryId, Finished, Incarnation, RecordState, Submit, TaskOutcome, TaskRecord,
        TaskRef,
    },
    indexmap::IndexSet,
};

/// A job whose records of earlier ownerships are being read from agents.
#[derive(Debug)]
pub struct Recovery {
    /// The submission; none if only the answer was requested.
    pub submit: Option<Submit>,
    /// Entries that wait for the answer.
    pub waiting_entries: IndexSet<EntryId>,
    /// Requests that arrived during the recovery.
    pub held: Vec<HeldRequest>,
    /// Runs of agents whose records are still to be read.
    pub unread_runs: IndexSet<AgentRun>,
    /// Records that were read, with the endpoint of each.
    pub records: Vec<(EndpointId, TaskRecord)>,
    /// Whether there may be records that could not be read.
    pub incomplete: bool,
}

impl Recovery {
    /// Creates a recovery that waits for the records of `runs`.
    #[must_use]
    pub fn new(submit: Option<Submit>, runs: IndexSet<AgentRun>) -> Self {
        Self {
            submit,
            waiting_entries: IndexSet::new(),
            held: Vec::new(),
            unread_runs: runs,
            records: Vec::new(),
            incomplete: false,
        }
    }

    /// Holds a request until the records are read.
    pub fn hold(&mut self, from: EntryId, request: Request) {
        self.held.push(HeldRequest { from, request });
    }

    /// Whether the records of this run are still to be read.
    #[must_use]
    pub fn waits_for(&self, endpoint: &EndpointId, run: Incarnation) -> bool {
        self.unread_runs.contains(&(endpoint.clone(), run))
    }

    /// Adds the records of a run.
    pub fn add_records(&mut self, run: &AgentRun, records: Vec<TaskRecord>) {
        if self.unread_runs.shift_remove(run) {
            let read = records.into_iter().map(|r| (run.0.clone(), r));
            self.records.extend(read);
        }
    }

    /// Records that a task ended after its record was read.
    pub fn end_task(&mut self, finished: &Finished) {
        for (_, record) in &mut self.records {
            if record.digest == finished.digest {
                end_record(record, &finished.task, &finished.outcome);
            }
        }
    }

    /// Ends a running task with an unknown outcome, because its agent is lost.
    pub fn end_as_unknown(&mut self, task: &TaskRef) {
        for (_, record) in &mut self.records {
            end_record(record, task, &TaskOutcome::OutcomeUnknown);
        }
    }

    /// Removes the record of a start that proved not to have happened.
    pub fn remove_start(&mut self, task: &TaskRef) {
        self.records
            .retain(|(_, r)| r.task != *task || r.state != RecordState::Running);
    }

    /// Gives up the records of a lost run, which leaves the recovery incomplete.
    pub fn give_up_run(&mut self, run: &AgentRun) {
        if self.unread_runs.shift_remove(run) {
            self.incomplete = true;
        }
    }

    /// Whether the records of every run were read or given up.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.unread_runs.is_empty()
    }
}

fn end_record(record: &mut TaskRecord, task: &TaskRef, outcome: &TaskOutcome) {
    if record.task == *task && record.state == RecordState::Running {
        record.state = RecordState::Ended(outcome.clone());
    }
}
