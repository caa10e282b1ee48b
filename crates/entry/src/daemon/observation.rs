//! What the time line and the metrics note of jobs and links.

use {
    crate::EntryDaemon,
    chestnutrun_decisions::{
        owner::{OwnerAction, OwnerMachine},
        policy::EndpointSlots,
    },
    chestnutrun_observe::EventKind,
    chestnutrun_table::TableError,
    chestnutrun_types::{JobRef, JobReply, Reply, ShardId, WriteResult},
    std::time::{Instant, SystemTime},
};

impl EntryDaemon {
    /// Notes what the owner of a shard decided on a submission.
    pub(super) fn note_decision(&mut self, shard: ShardId, job: &JobRef, actions: &[OwnerAction]) {
        if !self.shards.iter().any(|owned| owned.conf().shard == shard) {
            return;
        }
        let refusal = actions.iter().find_map(|action| match action {
            OwnerAction::Reply(_, reply) if reply.job == *job => refusal_name(&reply.reply),
            _ => None,
        });
        let kind = match refusal {
            Some(_) => EventKind::Refused,
            None => EventKind::Admitted,
        };
        let at = SystemTime::now();
        self.timeline
            .add_job_event(at, kind, job, refusal.unwrap_or(""));
    }

    /// Notes an owner's reply at the entry whose caller asked.
    ///
    /// A submission that was sent again is replied to twice; only the reply
    /// that someone waits for tells the caller anything.
    pub(super) fn note_reply(&mut self, told: &JobReply) {
        if !self.front.has_waiter_for(told) {
            return;
        }
        let (job, reply) = (&told.job, &told.reply);
        let kind = match reply {
            Reply::Answered(_) => EventKind::Answered,
            Reply::Accepted => EventKind::Receipt,
            _ => EventKind::Declined,
        };
        let detail = reply_name(reply);
        self.timeline
            .add_job_event(SystemTime::now(), kind, job, detail);
    }

    /// Sets the gauges to the present state.
    pub(super) fn set_gauges(&self) {
        let (agents, entries) = self.links.counts();
        self.metrics.set_links("agent", agents);
        self.metrics.set_links("entry", entries);
        self.metrics
            .set_jobs("pending", self.front.pending_requests());
        let machines = || self.shards.iter();
        let recorded = machines().map(OwnerMachine::recorded_jobs).sum();
        self.metrics.set_jobs("recorded", recorded);
        let now = Instant::now();
        let endpoints = machines().flat_map(OwnerMachine::endpoints);
        let slots: Vec<EndpointSlots> = endpoints.map(|(_, state)| state.slots(now)).collect();
        self.metrics
            .set_slots("total", slots.iter().map(|slots| slots.total).sum());
        self.metrics
            .set_slots("taken", slots.iter().map(|slots| slots.taken).sum());
        for contract in self.configuration.iter().flat_map(|c| c.contracts.keys()) {
            let waiting = machines().map(|m| m.policy().waiting(contract)).sum();
            let running = machines().map(|m| m.policy().running(contract)).sum();
            self.metrics
                .set_contract_tasks(contract, "waiting", waiting);
            self.metrics
                .set_contract_tasks(contract, "running", running);
        }
    }

    /// Counts how a read of the table ended.
    pub(super) fn count_read<T>(&self, read: &Result<T, TableError>) {
        let outcome = if read.is_ok() { "done" } else { "failed" };
        self.metrics.count_table_request("read", outcome);
    }

    /// Counts how a write of the table ended.
    pub(super) fn count_write(&self, result: WriteResult) {
        let outcome = match result {
            WriteResult::Accepted(_) => "done",
            WriteResult::Conflict(_) => "conflict",
            WriteResult::Unknown => "unknown",
        };
        self.metrics.count_table_request("write", outcome);
    }

    /// Notes a link that opened or closed.
    pub(super) fn note_link(&mut self, kind: EventKind, peer: &str) {
        self.timeline
            .add_process_event(SystemTime::now(), kind, peer.to_owned());
    }
}

/// Returns the kind of a reply, as metrics and the time line name it.
pub(super) fn reply_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Answered(_) => "answered",
        Reply::Refused(_) => "refused",
        Reply::KeyReused => "key-reused",
        Reply::NotFound => "not-found",
        Reply::Unavailable(_) => "unavailable",
        Reply::Accepted => "accepted",
    }
}

fn refusal_name(reply: &Reply) -> Option<&'static str> {
    match reply {
        Reply::Refused(_) | Reply::KeyReused | Reply::Unavailable(_) => Some(reply_name(reply)),
        Reply::Answered(_) | Reply::NotFound | Reply::Accepted => None,
    }
}
