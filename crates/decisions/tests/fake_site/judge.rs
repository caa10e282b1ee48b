//! Checks the replies to callers against the tasks that endpoints started.

use {
    super::Millis,
    chestnutrun_types::{BodyDigest, JobRef, Reply, Start, TaskOutcome, TaskRef},
    indexmap::{IndexMap, IndexSet},
};

/// A caller's request, with the details that the judge checks.
#[derive(Clone, Debug)]
pub struct JudgedRequest {
    /// The job.
    pub job: JobRef,
    /// Digest of the job's body.
    pub digest: BodyDigest,
    /// Number of the job's tasks.
    pub total: u16,
    /// When the request was sent, in milliseconds since the beginning of the run.
    pub at: Millis,
    /// Number of submissions of the key, including this one; none if another
    /// request for the key was open.
    pub submissions_if_alone: Option<usize>,
}

/// Record of the starts and answers of one run; panics at a violation.
#[derive(Debug, Default)]
pub struct Judge {
    starts: IndexMap<TaskRef, Millis>,
    submissions: IndexMap<JobRef, usize>,
    answers: IndexMap<(JobRef, BodyDigest), Vec<TaskOutcome>>,
    said_not_run: IndexSet<TaskRef>,
    /// Number of answers in which every task completed.
    pub completed: usize,
    /// Number of replies to submissions, by kind.
    pub replies: IndexMap<&'static str, usize>,
}

/// Returns the output of a completed task, which depends on the body.
pub fn output(task: &TaskRef, digest: BodyDigest) -> String {
    format!("{task} of body {digest}")
}

impl Judge {
    /// Records a start at an endpoint: no task may start twice, or after a reply that
    /// says it did not run.
    pub fn started(&mut self, start: &Start, at: Millis) {
        let task = &start.task;
        let first = self.starts.insert(task.clone(), at);
        assert!(first.is_none(), "{task} started twice");
        assert!(
            !self.said_not_run.contains(task),
            "{task} started after \"not run\""
        );
    }

    /// Records a submission, after which tasks that did not run before may run.
    ///
    /// Returns the number of submissions of the key so far.
    pub fn submitted(&mut self, job: &JobRef) -> usize {
        self.said_not_run.retain(|task| task.job() != *job);
        let count = self.submissions.entry(job.clone()).or_default();
        *count += 1;
        *count
    }

    /// Checks the reply to a submission; `is_last` says that no other caller waits
    /// for the job.
    pub fn replied(&mut self, request: &JudgedRequest, reply: &Reply, is_last: bool) {
        let (job, total) = (&request.job, request.total);
        let name = match reply {
            Reply::Answered(_) => "answered",
            Reply::Refused(_) => "refused",
            Reply::KeyReused => "key-reused",
            Reply::NotFound => "not-found",
            Reply::Unavailable(_) => "unavailable",
            Reply::Accepted => "accepted",
        };
        *self.replies.entry(name).or_default() += 1;
        match reply {
            Reply::Answered(answer) => {
                let outcomes = answer.tasks.iter().map(|task| task.outcome.clone());
                self.answered(request, outcomes.collect(), is_last);
            }
            Reply::Refused(refusal) => {
                let count = self.submissions.get(job).copied();
                let is_alone =
                    request.submissions_if_alone.is_some() && request.submissions_if_alone == count;
                for task in (0..total).map(|index| job.task(index)) {
                    let started = self.starts.get(&task);
                    // A task that started after this submission may belong to another
                    // submission of the key.
                    let ran = started.is_some_and(|at| is_alone || *at < request.at);
                    assert!(!ran, "{task} ran but was refused for {refusal:?}");
                }
            }
            Reply::NotFound => panic!("{job} was submitted but is not found"),
            Reply::KeyReused | Reply::Unavailable(_) | Reply::Accepted => {}
        }
    }

    fn answered(&mut self, request: &JudgedRequest, outcomes: Vec<TaskOutcome>, is_last: bool) {
        let (job, digest, total) = (&request.job, request.digest, request.total);
        assert_eq!(
            outcomes.len(),
            usize::from(total),
            "{job} has a partial answer"
        );
        self.completed += usize::from(outcomes.iter().all(TaskOutcome::is_completed));
        for (index, outcome) in (0..).zip(&outcomes) {
            self.judge_task(&job.task(index), digest, outcome, is_last);
        }
        let known = self.answers.insert((job.clone(), digest), outcomes.clone());
        for (before, after) in known.into_iter().flatten().zip(outcomes) {
            // Records of an agent that links again may replace an unknown outcome,
            // and a task that did not run may run in a later submission.
            if has_run(&before) && after != TaskOutcome::OutcomeUnknown {
                assert_eq!(before, after, "{job} got two different answers");
            }
        }
    }

    fn judge_task(
        &mut self,
        task: &TaskRef,
        digest: BodyDigest,
        outcome: &TaskOutcome,
        is_last: bool,
    ) {
        match outcome {
            TaskOutcome::Completed(text) => {
                assert_eq!(
                    *text,
                    output(task, digest),
                    "the output belongs to another body"
                );
            }
            TaskOutcome::FailedWhileRunning(_) | TaskOutcome::OutcomeUnknown => {}
            TaskOutcome::NotRun(_) | TaskOutcome::Cancelled | TaskOutcome::DeadlinePassed => {
                let ran = self.starts.contains_key(task);
                assert!(!ran, "{task} ran but its outcome is {outcome:?}");
                if is_last {
                    self.said_not_run.insert(task.clone());
                }
            }
        }
    }
}

fn has_run(outcome: &TaskOutcome) -> bool {
    matches!(
        outcome,
        TaskOutcome::Completed(_) | TaskOutcome::FailedWhileRunning(_)
    )
}
