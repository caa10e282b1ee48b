//! Handles the inputs of the dispatcher that come from callers.

use {
    crate::{
        placement::{
            CallerId, DispatchAction, Dispatcher, JobOutcome, RefusalReason, Submission,
            held_job::HeldJob, objective::Objective,
        },
        timing::millis,
    },
    chestnutrun_types::{CancelledJob, DecisionEvent, JobId},
    std::time::Instant,
};

impl Dispatcher {
    pub(super) fn submit(&mut self, now: Instant, submission: Submission) {
        if self.cancelled.contains(now, &submission.job.id) {
            self.answer_cancelled(&submission);
            return;
        }
        if let Some(first) = self.find_job(&submission.job.id) {
            self.submit_again(now, first, &submission);
            return;
        }
        let route = submission.route.clone();
        let run_times = self.run_times.get(&route.id);
        let job = &submission.job;
        let objective = Objective::new(now, &route, job, run_times);
        let id = job.id.clone();
        let caller = submission.caller;
        let held = HeldJob::new(now, submission, objective);
        self.record(DecisionEvent::JobTaken {
            job: id,
            route: route.id.clone(),
            tasks: held.tasks.len(),
            chain_ms: millis(held.objective.likely_rest(None)),
            slack_ms: millis(held.start_by().saturating_duration_since(now)),
            caller_waits_ms: millis(held.deadline().saturating_duration_since(now)),
            held: self.jobs.len() + 1,
        });
        let has_no_time = held.is_hopeless(now).then_some(RefusalReason::NoTime);
        let refusal = has_no_time.or_else(|| self.refusal_reason(now, &held));
        let refusal = refusal.or_else(|| self.refusal_at_arrival(now, &held));
        if refusal.is_none() {
            self.record_accepted(now, &held);
            self.submitted = Some(caller);
        }
        self.jobs.insert(caller, held);
        if let Some(reason) = refusal {
            self.end_without_result(now, caller, reason);
        } else {
            self.changes.jobs.insert(caller);
        }
    }

    /// Answers the submission of a job that was cancelled before it arrived. An earlier
    /// submission may have run here or at another entry.
    fn answer_cancelled(&mut self, submission: &Submission) {
        let outcome = JobOutcome::Cancelled;
        let id = submission.job.id.clone();
        self.record(DecisionEvent::JobAnswered {
            job: id.clone(),
            route: submission.route.id.clone(),
            outcome: outcome.name().into(),
            took_ms: 0,
            placed_after_ms: None,
            done: 0,
            at_agents: 0,
            returned: 0,
        });
        self.actions
            .push(DispatchAction::Answer(submission.caller, id, outcome));
    }

    /// Handles a submission under the id of a held job.
    ///
    /// A repeated submission waits for the held job: a second run of it would
    /// overlap with the first.
    fn submit_again(&mut self, now: Instant, first: CallerId, submission: &Submission) {
        let Some(held) = self.jobs.get_mut(&first) else {
            return;
        };
        let is_same = held.is_same(submission);
        if is_same {
            held.callers.insert(submission.caller, submission.deadline);
            self.repeated.insert(submission.caller, first);
        }
        let event = DecisionEvent::JobSubmittedAgain {
            job: submission.job.id.clone(),
            is_same,
            held_ms: millis(now.saturating_duration_since(held.arrived_at)),
            callers: held.callers.len(),
        };
        self.record(event);
        if !is_same {
            let id = submission.job.id.clone();
            let answer = DispatchAction::Answer(submission.caller, id, JobOutcome::IdInUse);
            self.actions.push(answer);
        }
    }

    fn find_job(&self, id: &JobId) -> Option<CallerId> {
        let held = self.jobs.iter().find(|(_, held)| held.job.id == *id);
        held.map(|(first, _)| *first)
    }

    pub(super) fn caller_disconnected(&mut self, now: Instant, caller: CallerId) {
        let first = self.repeated.swap_remove(&caller).unwrap_or(caller);
        let Some(job) = self.jobs.get_mut(&first) else {
            return;
        };
        let was_waiting = job.callers.shift_remove(&caller).is_some();
        if !was_waiting || !job.callers.is_empty() {
            return;
        }
        let event = DecisionEvent::CallerDisconnected {
            job: job.job.id.clone(),
            took_ms: millis(now.saturating_duration_since(job.arrived_at)),
        };
        self.record(event);
        self.drop_job(first);
    }

    /// Cancels a job here and at all other entries, any of which may hold it or a copy
    /// of it.
    pub(super) fn cancel(&mut self, now: Instant, id: &JobId) {
        if self.cancelled.insert(now, id.clone()) {
            self.spread_cancel(now, id);
        }
        // An id that is too long to be remembered is no job's, and not logged either.
        if self.cancelled.contains(now, id) {
            let is_held = self.find_job(id).is_some();
            self.record_cancel(id, true, is_held);
            self.end_cancelled(now, id);
        }
    }

    /// Cancels jobs that were cancelled at another entry. Each entry passes a job on
    /// once, so that this ends.
    pub(super) fn cancel_remote(&mut self, now: Instant, jobs: &[CancelledJob]) {
        for cancelled in jobs {
            if self.cancelled.insert_remote(now, cancelled) {
                self.spread_cancel(now, &cancelled.job);
                if self.find_job(&cancelled.job).is_some() {
                    self.record_cancel(&cancelled.job, false, true);
                    self.end_cancelled(now, &cancelled.job);
                }
            }
        }
    }

    fn spread_cancel(&mut self, now: Instant, id: &JobId) {
        let cancelled = self.cancelled.get(now, id);
        self.actions
            .extend(cancelled.map(DispatchAction::SpreadCancel));
    }

    fn record_cancel(&mut self, id: &JobId, is_here: bool, is_held: bool) {
        self.record(DecisionEvent::CancelRequested {
            job: id.clone(),
            is_here,
            is_held,
        });
    }

    fn end_cancelled(&mut self, now: Instant, id: &JobId) {
        let Some(first) = self.find_job(id) else {
            return;
        };
        let may_have_run = self.jobs.get(&first).is_some_and(HeldJob::may_have_run);
        let outcome = if may_have_run {
            JobOutcome::Cancelled
        } else {
            JobOutcome::CancelledUnstarted
        };
        self.end_job(now, first, outcome);
    }

    /// Answers the callers whose deadline passed, and ends the jobs for which no caller
    /// waits any longer.
    pub(super) fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (first, job) in &mut self.jobs {
            if job.deadline() <= now {
                expired.push(*first);
                continue;
            }
            while let Some(caller) = job.take_expired_caller(now) {
                self.repeated.swap_remove(&caller);
                let event = job.answer_event(now, JobOutcome::Expired);
                let id = job.job.id.clone();
                self.actions.push(DispatchAction::Record(event));
                self.actions
                    .push(DispatchAction::Answer(caller, id, JobOutcome::Expired));
            }
        }
        for first in expired {
            self.end_without_result(now, first, RefusalReason::Overload);
        }
    }
}
