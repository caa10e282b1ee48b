//! Records jobs and links on the timeline and in metrics.

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
    /// Records on the timeline whether the owner admitted a submission. Does nothing if
    /// this entry does not own the shard.
    pub(super) fn record_decision(
        &mut self,
        shard: ShardId,
        job: &JobRef,
        actions: &[OwnerAction],
    ) {
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

    /// Records on the timeline an owner's reply to a caller of this entry.
    ///
    /// A submission that was sent again gets two replies; only the reply for which a
    /// caller waits is recorded.
    pub(super) fn record_reply(&mut self, job_reply: &JobReply) {
        if !self.front.has_waiter_for(job_reply) {
            return;
        }
        let (job, reply) = (&job_reply.job, &job_reply.reply);
        let kind = match reply {
            Reply::Answered(_) => EventKind::Answered,
            Reply::Accepted => EventKind::Receipt,
            _ => EventKind::Declined,
        };
        let detail = reply_name(reply);
        self.timeline
            .add_job_event(SystemTime::now(), kind, job, detail);
    }

    /// Sets the gauges of the metrics to the current state.
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

    /// Counts a read of the table by its outcome.
    pub(super) fn count_read<T>(&self, read: &Result<T, TableError>) {
        let outcome = if read.is_ok() { "done" } else { "failed" };
        self.metrics.count_table_request("read", outcome);
    }

    /// Counts a write of the table by its outcome.
    pub(super) fn count_write(&self, result: WriteResult) {
        let outcome = match result {
            WriteResult::Accepted(_) => "done",
            WriteResult::Conflict(_) => "conflict",
            WriteResult::Unknown => "unknown",
        };
        self.metrics.count_table_request("write", outcome);
    }

    /// Records on the timeline that a link opened or closed.
    pub(super) fn record_link(&mut self, kind: EventKind, peer: &str) {
        self.timeline
            .add_process_event(SystemTime::now(), kind, peer.to_owned());
    }
}

/// Returns the name of a reply in metrics and on the timeline.
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

/// Returns the name of a reply that refuses a submission; none for other replies.
fn refusal_name(reply: &Reply) -> Option<&'static str> {
    match reply {
        Reply::Refused(_) | Reply::KeyReused | Reply::Unavailable(_) => Some(reply_name(reply)),
        Reply::Answered(_) | Reply::NotFound | Reply::Accepted => None,
    }
}
