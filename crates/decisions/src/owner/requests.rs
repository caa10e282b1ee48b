//! Handles requests of entries: submissions, queries and cancellations.

use {
    crate::owner::{
        HeldRequest, OwnerAction, OwnerMachine, Recovery, Request,
        admission::{MIN_RETRY_AFTER, new_job},
    },
    chestnutrun_types::{
        BodyDigest, EntryId, JobRef, JobReply, Now, Refusal, RefusalReason, Reply, Submit,
        TaskOutcome, TaskRef,
    },
    std::time::{Instant, SystemTime},
};

/// Most requests that are held during a change of owner.
const MAX_HELD_REQUESTS: usize = 10_000;

impl OwnerMachine {
    /// Handles a request, or holds it until the change of owner is complete.
    pub(super) fn on_request(&mut self, now: Now, from: EntryId, request: Request) {
        if !self.takeover.is_serving() {
            self.hold(now, HeldRequest { from, request });
            return;
        }
        match request {
            Request::Submit(submit) => self.submit(now, from, submit),
            Request::Query(job) => self.query(from, job),
            Request::Cancel(job) => self.cancel(now, from, job),
        }
    }

    pub(super) fn release_held(&mut self, now: Now) {
        for held in std::mem::take(&mut self.held) {
            self.on_request(now, held.from, held.request);
        }
    }

    pub(super) fn reply(&mut self, to: &EntryId, reply: JobReply) {
        self.actions.push(OwnerAction::Reply(to.clone(), reply));
    }

    /// Sends the replies that needed a confirmation of the ownership at `at`.
    pub(super) fn release_replies(&mut self, at: Instant) {
        for (to, reply) in self.gate.release(at) {
            let reply = self.without_outdated_refusal(reply);
            self.ungated_actions.push(OwnerAction::Reply(to, reply));
        }
    }

    /// Replaces a refusal by `Unavailable` if the same key has been accepted since
    /// the refusal was held.
    fn without_outdated_refusal(&self, mut reply: JobReply) -> JobReply {
        let is_known = self.jobs.contains_key(&reply.job);
        if let Reply::Refused(refusal) = &reply.reply
            && is_known
        {
            reply.reply = Reply::Unavailable(refusal.clone());
        }
        reply
    }

    fn submit(&mut self, now: Now, from: EntryId, submit: Submit) {
        if self.attach(&from, &submit) || self.recover(&from, &submit) {
            return;
        }
        if submit.may_be_older && !self.takeover.has_all_records() {
            self.admit_as_unknown(now, from, submit);
            return;
        }
        match self.check_admission(now, &submit) {
            Ok(()) => self.admit(now, &from, submit),
            Err(refusal) => self.refuse(from, &submit, refusal),
        }
    }

    fn refuse(&mut self, from: EntryId, submit: &Submit, refusal: Refusal) {
        let reply = self.submission_reply(submit, Reply::Refused(refusal));
        let action = OwnerAction::Reply(from, reply);
        if submit.may_be_older {
            self.actions.push(action);
        } else {
            self.ungated_actions.push(action);
        }
    }

    fn query(&mut self, from: EntryId, job: JobRef) {
        if let Some(state) = self.jobs.get_mut(&job) {
            let is_open = state.answer.is_none();
            state.waiting_entries.insert(from.clone());
            self.answer_if_ended(&job);
            if is_open {
                let (digest, reply) = (None, Reply::Accepted);
                self.reply(&from, self.job_reply(job, digest, reply));
            }
            return;
        }
        if let Some(recovery) = self.recoveries.get_mut(&job) {
            recovery.hold(from, Request::Query(job));
            return;
        }
        if let Some(runs) = self.takeover.runs_with_records(job.key_hash()).cloned() {
            self.begin_recovery(from, job, Recovery::new(None, runs));
            return;
        }
        let reply = if self.takeover.has_all_records() {
            Reply::NotFound
        } else {
            unavailable(None)
        };
        let digest = None;
        self.reply(&from, self.job_reply(job, digest, reply));
    }

    fn cancel(&mut self, now: Now, from: EntryId, job: JobRef) {
        let Some(state) = self.jobs.get_mut(&job) else {
            match self.recoveries.get_mut(&job) {
                Some(recovery) => recovery.hold(from, Request::Cancel(job)),
                None => self.query(from, job),
            }
            return;
        };
        state.waiting_entries.insert(from);
        let waiting: Vec<TaskRef> = state.waiting_tasks().collect();
        for task in waiting {
            self.policy.remove(&task);
            self.end_task(now, &task, TaskOutcome::Cancelled);
        }
        self.answer_if_ended(&job);
    }

    /// Attaches a submission to a known or recovering job of the same key;
    /// returns whether there is such a job.
    fn attach(&mut self, from: &EntryId, submit: &Submit) -> bool {
        if let Some(state) = self.jobs.get_mut(&submit.job) {
            if state.digest != submit.digest {
                self.reply(from, self.submission_reply(submit, Reply::KeyReused));
                return true;
            }
            state.waiting_entries.insert(from.clone());
            if submit.wants_receipt && state.answer.is_none() {
                self.reply(from, self.submission_reply(submit, Reply::Accepted));
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

    /// Starts the recovery of a job if agents hold records of it.
    fn recover(&mut self, from: &EntryId, submit: &Submit) -> bool {
        let Some(runs) = self
            .takeover
            .runs_with_records(submit.job.key_hash())
            .cloned()
        else {
            return false;
        };
        let recovery = Recovery::new(Some(submit.clone()), runs);
        self.begin_recovery(from.clone(), submit.job.clone(), recovery);
        true
    }

    fn hold(&mut self, now: Now, held: HeldRequest) {
        if self.held.len() < MAX_HELD_REQUESTS {
            self.held.push(held);
            return;
        }
        let reply = unavailable(Some(now.wall + MIN_RETRY_AFTER));
        let job = held.request.job().clone();
        let digest = held.request.digest();
        self.reply(&held.from, self.job_reply(job, digest, reply));
    }

    /// Creates the reply to a submission.
    pub(super) fn submission_reply(&self, submit: &Submit, reply: Reply) -> JobReply {
        self.job_reply(submit.job.clone(), Some(submit.digest), reply)
    }

    /// Creates a reply that carries the epoch of this ownership.
    pub(super) fn job_reply(
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

    /// Answers a submission with unknown outcomes: the job may have started
    /// earlier, and its records cannot be read.
    fn admit_as_unknown(&mut self, now: Now, from: EntryId, submit: Submit) {
        let mut state = new_job(now, submit);
        state.waiting_entries.insert(from);
        let job = state.job.clone();
        self.insert_job(state);
        self.end_waiting_as_unknown(now, &job);
        self.answer_if_ended(&job);
    }
}

/// Returns the reply that makes no claim about a job.
pub(super) fn unavailable(retry_at: Option<SystemTime>) -> Reply {
    Reply::Unavailable(Refusal {
        reason: RefusalReason::TakingOver,
        retry_at,
    })
}
