//! State machine of one agent.

use {
    crate::{
        agent::{AgentAction, AgentInput, AgentMessage, FenceState, RunOutcome, TaskRecords},
        timing::CONFIRM_INTERVAL,
    },
    chestnutrun_types::{
        Confirm, Confirmation, EntryId, Fence, FenceReply, Finished, KeyHash, Lookup, LookupReply,
        Now, RecordState, Revision, ShardId, Start, StartRefusal, StartRefused, TaskOutcome,
        TaskRecord, TaskRef,
    },
    indexmap::IndexSet,
    std::time::Instant,
};

/// Settings of an [`AgentMachine`].
#[derive(Clone, Copy, Debug)]
pub struct AgentConf {
    /// Shard whose owner may start tasks at the endpoint.
    pub shard: ShardId,
    /// Number of tasks that may run at the endpoint at once.
    pub slots: u32,
}

/// Decides which tasks start at one endpoint, and keeps a record of each start.
#[derive(Debug)]
pub struct AgentMachine {
    conf: AgentConf,
    fence: FenceState,
    records: TaskRecords,
    links: IndexSet<EntryId>,
    next_confirm_at: Option<Instant>,
    configuration: Revision,
    draining: bool,
    leaving: bool,
}

impl AgentMachine {
    /// Creates a machine without links and records.
    #[must_use]
    pub fn new(conf: AgentConf) -> Self {
        Self {
            conf,
            fence: FenceState::default(),
            records: TaskRecords::default(),
            links: IndexSet::new(),
            next_confirm_at: None,
            configuration: 0,
            draining: false,
            leaving: false,
        }
    }

    /// Processes an input and returns the resulting actions in order.
    pub fn handle(&mut self, now: Now, input: AgentInput) -> Vec<AgentAction> {
        match input {
            AgentInput::LinkUp(entry) => self.link_up(now, entry),
            AgentInput::LinkDown(entry) => {
                self.links.shift_remove(&entry);
                Vec::new()
            }
            AgentInput::Confirmed(entry, confirmation) => {
                self.handle_confirmation(now, &entry, &confirmation)
            }
            AgentInput::Fence(entry, fence) => self.handle_fence(now, &entry, &fence),
            AgentInput::Start(entry, start) => self.handle_start(now, &entry, start),
            AgentInput::Lookup(entry, lookup) => self.handle_lookup(now, &entry, lookup),
            AgentInput::RunEnded(task, outcome) => self.handle_run_outcome(&task, outcome),
            AgentInput::Configured { revision, draining } => {
                self.apply_configuration(revision, draining);
                Vec::new()
            }
            AgentInput::Leave => {
                self.leaving = true;
                Vec::new()
            }
            AgentInput::Tick => self.tick(now),
        }
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.records.running()
    }

    /// Returns the number of jobs with records.
    #[must_use]
    pub fn recorded_jobs(&self) -> usize {
        self.records.jobs()
    }

    /// Returns the key hashes of the jobs with records.
    #[must_use]
    pub fn key_hashes(&self) -> Vec<KeyHash> {
        self.records.key_hashes()
    }

    /// Whether the process was told to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the revision of the newest configuration that was applied.
    #[must_use]
    pub fn configuration(&self) -> Revision {
        self.configuration
    }

    fn link_up(&mut self, now: Now, entry: EntryId) -> Vec<AgentAction> {
        self.fence.add_informed_entry(entry.clone());
        self.links.insert(entry.clone());
        vec![AgentAction::Send(
            entry,
            AgentMessage::Confirm(self.confirm_request(now)),
        )]
    }

    fn handle_fence(&mut self, now: Now, entry: &EntryId, fence: &Fence) -> Vec<AgentAction> {
        if fence.shard != self.conf.shard || !self.fence.raise(&fence.owner, fence.epoch) {
            return Vec::new();
        }
        let reply = FenceReply {
            shard: fence.shard,
            epoch: fence.epoch,
            running: self.records.running_records(),
            jobs: self.records.key_hashes(),
        };
        let request = self.confirm_request(now);
        let send = |message| AgentAction::Send(entry.clone(), message);
        vec![
            send(AgentMessage::FenceReply(reply)),
            send(AgentMessage::Confirm(request)),
        ]
    }

    fn handle_start(&mut self, now: Now, entry: &EntryId, start: Start) -> Vec<AgentAction> {
        if let Some(record) = self.records.get(&start.task) {
            return repeated_start_reply(entry, &start, record);
        }
        if let Err(reason) = self.check_start(now, &start) {
            return vec![refusal(entry, &start, reason)];
        }
        self.records.record_start(now.instant, &start);
        vec![AgentAction::Run(start)]
    }

    fn check_start(&self, now: Now, start: &Start) -> Result<(), StartRefusal> {
        if start.shard != self.conf.shard {
            return Err(StartRefusal::StaleEpoch);
        }
        self.fence.check_start(now.instant, start.epoch)?;
        if self.records.is_voided(start) {
            return Err(StartRefusal::Voided);
        }
        if self.leaving || self.draining {
            return Err(StartRefusal::Leaving);
        }
        if now.wall >= start.deadline {
            return Err(StartRefusal::DeadlinePassed);
        }
        if self.records.running() >= self.conf.slots {
            return Err(StartRefusal::NoSlot);
        }
        Ok(())
    }

    fn handle_lookup(&mut self, now: Now, entry: &EntryId, lookup: Lookup) -> Vec<AgentAction> {
        let voided = self.records.void_starts(now.instant, &lookup);
        let reply = LookupReply {
            records: self.records.job_records(&lookup.job),
            job: lookup.job,
            voided,
        };
        vec![AgentAction::Send(
            entry.clone(),
            AgentMessage::LookupReply(reply),
        )]
    }

    fn handle_run_outcome(&mut self, task: &TaskRef, outcome: RunOutcome) -> Vec<AgentAction> {
        let outcome = match outcome {
            RunOutcome::Completed(output) => TaskOutcome::Completed(output),
            RunOutcome::Failed(error) => TaskOutcome::FailedWhileRunning(error),
            RunOutcome::Unknown => TaskOutcome::OutcomeUnknown,
            RunOutcome::NotStarted => return self.handle_unstarted_run(task),
        };
        let Some(digest) = self.records.record_end(task, outcome.clone()) else {
            return Vec::new();
        };
        let finished = Finished {
            task: task.clone(),
            digest,
            outcome,
        };
        match self.linked_owner() {
            Some(owner) => vec![AgentAction::Send(owner, AgentMessage::Finished(finished))],
            None => Vec::new(),
        }
    }

    fn handle_unstarted_run(&mut self, task: &TaskRef) -> Vec<AgentAction> {
        let Some((epoch, attempt)) = self.records.remove_unstarted(task) else {
            return Vec::new();
        };
        let Some(owner) = self.linked_owner() else {
            return Vec::new();
        };
        let refused = StartRefused {
            task: task.clone(),
            epoch,
            attempt,
            reason: StartRefusal::EndpointRefused,
        };
        vec![AgentAction::Send(
            owner,
            AgentMessage::StartRefused(refused),
        )]
    }

    fn apply_configuration(&mut self, revision: Revision, draining: bool) {
        if revision >= self.configuration {
            self.configuration = revision;
            self.draining = draining;
        }
    }

    fn tick(&mut self, now: Now) -> Vec<AgentAction> {
        self.records.expire(now.instant);
        if self.next_confirm_at.is_some_and(|at| now.instant < at) {
            return Vec::new();
        }
        self.next_confirm_at = Some(now.instant + CONFIRM_INTERVAL);
        let request = self.confirm_request(now);
        self.confirm_targets()
            .into_iter()
            .map(|entry| AgentAction::Send(entry, AgentMessage::Confirm(request.clone())))
            .collect()
    }

    fn handle_confirmation(
        &mut self,
        now: Now,
        entry: &EntryId,
        confirmation: &Confirmation,
    ) -> Vec<AgentAction> {
        if confirmation.shard != self.conf.shard {
            return Vec::new();
        }
        let before = self.fence.leased_epoch(now.instant);
        self.fence.confirm(entry, confirmation);
        if self.fence.leased_epoch(now.instant) == before {
            return Vec::new();
        }
        // The owner sends no starts before it learns that the agent has a lease.
        let request = self.confirm_request(now);
        vec![AgentAction::Send(
            entry.clone(),
            AgentMessage::Confirm(request),
        )]
    }

    /// Creates a request for a confirmation of the ownership.
    fn confirm_request(&mut self, now: Now) -> Confirm {
        Confirm {
            nonce: self.fence.open_request(now.instant),
            leased: self.fence.leased_epoch(now.instant),
        }
    }

    /// Returns the entries to ask for a confirmation: the owner, or every linked
    /// entry if no linked owner is known.
    fn confirm_targets(&self) -> Vec<EntryId> {
        match self.linked_owner() {
            Some(owner) => vec![owner],
            None => self.links.iter().cloned().collect(),
        }
    }

    fn linked_owner(&self) -> Option<EntryId> {
        self.fence
            .owner()
            .filter(|owner| self.links.contains(*owner))
            .cloned()
    }
}

/// Answers a repeated start from the record of the task, without starting it:
/// nothing is sent while the task runs.
fn repeated_start_reply(entry: &EntryId, start: &Start, record: &TaskRecord) -> Vec<AgentAction> {
    if record.digest != start.digest {
        return vec![refusal(entry, start, StartRefusal::KeyReused)];
    }
    let RecordState::Ended(outcome) = &record.state else {
        return Vec::new();
    };
    let finished = Finished {
        task: start.task.clone(),
        digest: record.digest,
        outcome: outcome.clone(),
    };
    vec![AgentAction::Send(
        entry.clone(),
        AgentMessage::Finished(finished),
    )]
}

fn refusal(entry: &EntryId, start: &Start, reason: StartRefusal) -> AgentAction {
    let refused = StartRefused {
        task: start.task.clone(),
        epoch: start.epoch,
        attempt: start.attempt,
        reason,
    };
    AgentAction::Send(entry.clone(), AgentMessage::StartRefused(refused))
}
