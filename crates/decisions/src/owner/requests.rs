//! Requests of entries: submissions, questions and cancellations.

use {
    crate::owner::{
        HeldRequest, OwnerAction, OwnerMachine, Recovery, Request,
        admission::{RETRY_AFTER, new_job},
    },
    chestnutrun_types::{
        BodyDigest, EntryId, JobRef, JobReply, Now, Refusal, RefusalReason, Reply, Submit,
        TaskOutcome, TaskRef,
    },
    std::time::{Instant, SystemTime},
};

/// Most requests that wait for the end of a change of owner.
const MAX_HELD: usize = 10_000;

impl OwnerMachine {
    /// Takes a request; holds it until the change of owner is over.
    pub(super) fn request(&mut self, now: Now, from: EntryId, request: Request) {
        if !self.takeover.is_serving() {
            self.hold(now, HeldRequest { from, request });
            return;
        }
        match request {
            Request::Submit(submit) => self.submit(now, from, submit),
            Request::Ask(job) => self.ask(from, job),
            Request::Cancel(job) => self.cancel(now, from, job),
        }
    }

    pub(super) fn release_held(&mut self, now: Now) {
        for held in std::mem::take(&mut self.held) {
            self.request(now, held.from, held.request);
        }
    }

    pub(super) fn reply(&mut self, to: &EntryId, reply: JobReply) {
        self.actions.push(OwnerAction::Reply(to.clone(), reply));
    }

    /// Sends what waited for a confirmation of the ownership.
    pub(super) fn release_replies(&mut self, at: Instant) {
        for (to, reply) in self.gate.release(at) {
            let reply = self.still_true(reply);
            self.sure_actions.push(OwnerAction::Reply(to, reply));
        }
    }

    /// Claims nothing for a refused key that was accepted meanwhile.
    fn still_true(&self, mut reply: JobReply) -> JobReply {
        let is_known = self.jobs.contains_key(&reply.job);
        if let Reply::Refused(refusal) = &reply.reply
            && is_known
        {
            reply.reply = Reply::Unavailable(refusal.clone());
        }
        reply
    }

    fn submit(&mut self, now: Now, from: EntryId, submit: Submit) {
        if self.join(&from, &submit) || self.recover(&from, &submit) {
            return;
        }
        if submit.may_be_older && !self.takeover.knows_all() {
            self.admit_unproved(now, from, submit);
            return;
        }
        match self.admission(now, &submit) {
            Ok(()) => self.admit(now, &from, submit),
            Err(refusal) => self.refuse(from, &submit, refusal),
        }
    }

    fn refuse(&mut self, from: EntryId, submit: &Submit, refusal: Refusal) {
        let reply = self.reply_to(submit, Reply::Refused(refusal));
        let action = OwnerAction::Reply(from, reply);
        if submit.may_be_older {
            self.actions.push(action);
        } else {
            self.sure_actions.push(action);
        }
    }

    fn ask(&mut self, from: EntryId, job: JobRef) {
        if let Some(state) = self.jobs.get_mut(&job) {
            let is_open = state.answer.is_none();
            state.askers.insert(from.clone());
            self.answer_if_ended(&job);
            if is_open {
                let (digest, reply) = (None, Reply::Accepted);
                self.reply(&from, self.reply_about(job, digest, reply));
            }
            return;
        }
        if let Some(recovery) = self.recoveries.get_mut(&job) {
            recovery.hold(from, Request::Ask(job));
            return;
        }
        if let Some(traced) = self.takeover.traced(job.key_hash()).cloned() {
            self.begin_recovery(from, job, Recovery::new(None, traced));
            return;
        }
        let reply = if self.takeover.knows_all() {
            Reply::NotFound
        } else {
            unavailable(None)
        };
        let digest = None;
        self.reply(&from, self.reply_about(job, digest, reply));
    }

    fn cancel(&mut self, now: Now, from: EntryId, job: JobRef) {
        let Some(state) = self.jobs.get_mut(&job) else {
            match self.recoveries.get_mut(&job) {
                Some(recovery) => recovery.hold(from, Request::Cancel(job)),
                None => self.ask(from, job),
            }
            return;
        };
        state.askers.insert(from);
        let waiting: Vec<TaskRef> = state.waiting().collect();
        for task in waiting {
            self.policy.remove(&task);
            self.end_task(now, &task, TaskOutcome::Cancelled);
        }
        self.answer_if_ended(&job);
    }

    /// Adds an asker to a job that is known already.
    fn join(&mut self, from: &EntryId, submit: &Submit) -> bool {
        if let Some(state) = self.jobs.get_mut(&submit.job) {
            if state.digest != submit.digest {
                self.reply(from, self.reply_to(submit, Reply::KeyReused));
                return true;
            }
            state.askers.insert(from.clone());
            if submit.wants_receipt && state.answer.is_none() {
                self.reply(from, self.reply_to(submit, Reply::Accepted));
            }
            self.answer_if_ended(&submit.job);
            return true;
        }
        let Some(recovery) = self.recoveries.get_mut(&submit.job) else {
            return false;
        };
        recovery.hold(from.clone(), Request::Submit(submit.clone()));
        true
    }

    fn recover(&mut self, from: &EntryId, submit: &Submit) -> bool {
        let Some(traced) = self.takeover.traced(submit.job.key_hash()).cloned() else {
            return false;
        };
        let recovery = Recovery::new(Some(submit.clone()), traced);
        self.begin_recovery(from.clone(), submit.job.clone(), recovery);
        true
    }

    fn hold(&mut self, now: Now, held: HeldRequest) {
        if self.held.len() < MAX_HELD {
            self.held.push(held);
            return;
        }
        let reply = unavailable(Some(now.wall + RETRY_AFTER));
        let job = held.request.job().clone();
        let digest = held.request.digest();
        self.reply(&held.from, self.reply_about(job, digest, reply));
    }

    /// Makes the reply to a submission.
    pub(super) fn reply_to(&self, submit: &Submit, reply: Reply) -> JobReply {
        self.reply_about(submit.job.clone(), Some(submit.digest), reply)
    }

    /// Makes a reply under this ownership.
    pub(super) fn reply_about(
        &self,
        job: JobRef,
        digest: Option<BodyDigest>,
        reply: Reply,
    ) -> JobReply {
        JobReply {
            job,
            digest,
            epoch: self.conf.epoch,
            reply,
        }
    }

    /// Answers for a key that may have started where nobody can be asked.
    fn admit_unproved(&mut self, now: Now, from: EntryId, submit: Submit) {
        let mut state = new_job(now, submit);
        state.askers.insert(from);
        let job = state.job.clone();
        self.insert_job(state);
        self.give_up_waiting(now, &job);
        self.answer_if_ended(&job);
    }
}

/// Returns the reply that claims nothing.
pub(super) fn unavailable(retry_at: Option<SystemTime>) -> Reply {
    Reply::Unavailable(Refusal {
        reason: RefusalReason::TakingOver,
        retry_at,
    })
}
