//! Records of one job, read back from agents after a change of owner.

use {
    crate::owner::{AgentRun, HeldRequest, Request},
    chestnutrun_types::{
        EndpointId, EntryId, Finished, Incarnation, RecordState, Submit, TaskOutcome, TaskRecord,
        TaskRef,
    },
    indexmap::IndexSet,
};

/// A submission that waits for the records of its earlier tries.
#[derive(Debug)]
pub struct Recovery {
    /// The submission; none where only the answer was asked for.
    pub submit: Option<Submit>,
    /// Entries that wait for the answer.
    pub askers: IndexSet<EntryId>,
    /// Requests that came meanwhile.
    pub held: Vec<HeldRequest>,
    /// Runs of agents that have not answered.
    pub waits_for: IndexSet<AgentRun>,
    /// Records that were read, with their endpoints.
    pub records: Vec<(EndpointId, TaskRecord)>,
    /// Whether records may exist that were not read.
    pub incomplete: bool,
}

impl Recovery {
    /// Creates a recovery that waits for runs of agents.
    #[must_use]
    pub fn new(submit: Option<Submit>, runs: IndexSet<AgentRun>) -> Self {
        Self {
            submit,
            askers: IndexSet::new(),
            held: Vec::new(),
            waits_for: runs,
            records: Vec::new(),
            incomplete: false,
        }
    }

    /// Keeps a request until the records are read.
    pub fn hold(&mut self, from: EntryId, request: Request) {
        self.held.push(HeldRequest { from, request });
    }

    /// Whether it waits for a run of an agent.
    #[must_use]
    pub fn waits_for(&self, endpoint: &EndpointId, run: Incarnation) -> bool {
        self.waits_for.contains(&(endpoint.clone(), run))
    }

    /// Takes an agent's records.
    pub fn read(&mut self, run: &AgentRun, records: Vec<TaskRecord>) {
        if self.waits_for.shift_remove(run) {
            let read = records.into_iter().map(|r| (run.0.clone(), r));
            self.records.extend(read);
        }
    }

    /// Notes that a task ended after its record was read.
    pub fn end(&mut self, finished: &Finished) {
        for (_, record) in &mut self.records {
            if record.digest == finished.digest {
                end_record(record, &finished.task, &finished.outcome);
            }
        }
    }

    /// Notes that nobody will tell how a recorded run ended.
    pub fn lose_task(&mut self, task: &TaskRef) {
        for (_, record) in &mut self.records {
            end_record(record, task, &TaskOutcome::OutcomeUnknown);
        }
    }

    /// Notes that a recorded start proved not to have happened.
    pub fn undo(&mut self, task: &TaskRef) {
        self.records
            .retain(|(_, r)| r.task != *task || r.state != RecordState::Running);
    }

    /// Gives up the records of a run that nobody can ask.
    pub fn lose(&mut self, run: &AgentRun) {
        if self.waits_for.shift_remove(run) {
            self.incomplete = true;
        }
    }

    /// Whether every run answered or was given up.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.waits_for.is_empty()
    }
}

fn end_record(record: &mut TaskRecord, task: &TaskRef, outcome: &TaskOutcome) {
    if record.task == *task && record.state == RecordState::Running {
        record.state = RecordState::Ended(outcome.clone());
    }
}
