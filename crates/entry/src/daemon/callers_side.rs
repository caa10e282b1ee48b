//! Handles callers' requests: checks them, forwards them and passes replies back.

use {
    crate::{
        EntryDaemon,
        daemon::observation::reply_name,
        event::{CallerReply, CallerRequest},
    },
    chestnutrun_decisions::front::{FrontAction, FrontInput, Request, WaiterId},
    chestnutrun_observe::EventKind,
    chestnutrun_protocol::Message,
    chestnutrun_types::{Contract, ContractId, EntryId, JobRef, Reply},
    std::time::SystemTime,
    subtle::ConstantTimeEq,
};

impl EntryDaemon {
    /// Forwards a caller's request, or replies at once if it cannot be accepted.
    pub(super) fn handle_caller_request(&mut self, caller: CallerRequest) {
        let job = requested_job(&caller.request).clone();
        if let Err(reply) = self.check_caller(&job.contract, &caller) {
            // The caller may have disconnected.
            let _ = caller.reply.send(reply);
            return;
        }
        if matches!(caller.request, Request::Submit(_)) {
            self.timeline
                .add_job_event(SystemTime::now(), EventKind::Submitted, &job, "");
        }
        let waiter = (caller.reply, self.metrics.time_response());
        self.waiters.insert(caller.waiter, waiter);
        self.front_input(FrontInput::Request(caller.waiter, caller.request));
    }

    /// Drops a caller that no longer waits; does nothing if the caller got its reply.
    pub(super) fn abandon(&mut self, waiter: WaiterId) {
        if self.waiters.swap_remove(&waiter).is_some() {
            self.front_input(FrontInput::Abandon(waiter));
        }
    }

    /// Passes an input to the front machine, which forwards requests, and executes its
    /// actions.
    pub(super) fn front_input(&mut self, input: FrontInput) {
        for action in self.front.handle(input) {
            match action {
                FrontAction::Send(entry, request) => self.send_request(entry, request),
                FrontAction::Answer(waiter, reply) => self.answer(waiter, reply),
            }
        }
    }

    /// Sends a request to the owner of its shard, which may be this entry.
    fn send_request(&mut self, entry: EntryId, request: Request) {
        if entry == self.me.entry {
            self.owner_request(entry, request);
            return;
        }
        let message = match request {
            Request::Submit(submit) => Message::Submit(submit),
            Request::Query(job) | Request::Status(job) => Message::Ask(job),
            Request::Cancel(job) => Message::Cancel(job),
        };
        self.send_entry(&entry, message);
    }

    fn answer(&mut self, waiter: WaiterId, reply: Reply) {
        self.metrics.count_reply(reply_name(&reply));
        if let Some((tx, stopwatch)) = self.waiters.swap_remove(&waiter) {
            stopwatch.close(reply_name(&reply));
            // The caller may have disconnected; it can query the job later.
            let _ = tx.send(CallerReply::Owner(reply));
        }
    }

    /// Checks that a request has the token of its contract and can be accepted now.
    fn check_caller(
        &self,
        contract: &ContractId,
        caller: &CallerRequest,
    ) -> Result<(), CallerReply> {
        let Some(configuration) = &self.configuration else {
            return Err(CallerReply::NotReady);
        };
        let terms = configuration.contracts.get(contract);
        let expected_hash =
            terms.map_or_else(String::new, |terms| terms.token_hash.to_ascii_lowercase());
        let sent_hash = Contract::hash_token(&caller.token);
        if !bool::from(sent_hash.as_bytes().ct_eq(expected_hash.as_bytes())) {
            return Err(CallerReply::Unauthorized);
        }
        if self.stop_by.is_some() && matches!(caller.request, Request::Submit(_)) {
            return Err(CallerReply::Stopping);
        }
        Ok(())
    }
}

fn requested_job(request: &Request) -> &JobRef {
    match request {
        Request::Submit(submit) => &submit.job,
        Request::Query(job) | Request::Status(job) | Request::Cancel(job) => job,
    }
}
