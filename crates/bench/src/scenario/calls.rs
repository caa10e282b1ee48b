//! Callers whose requests run while the scenario carries out its next steps.

use {
    crate::{
        scenario::{
            AskStep, CallKind, CallResult, ScenarioError, Submission, SubmitStep, runner::Runner,
        },
        site::{HttpReply, SiteClient, SiteError},
    },
    ntex::http::Method,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// How long a patient caller pauses before it retries at the next entry.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Largest number of attempts of a patient caller.
const MAX_ATTEMPTS: usize = 300;

/// How long a patient caller waits for the answer to one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Value of [`SubmitStep::at`] that spreads the jobs over all entries in turn.
const EACH_ENTRY: &str = "each";

/// A caller that submits one job.
struct Caller {
    client: SiteClient,
    /// Addresses of the entries, in the order in which the caller tries them.
    entries: Vec<SocketAddr>,
    submission: Submission,
    wait: Option<String>,
    is_first: bool,
    is_patient: bool,
    delay: Duration,
    leave_after: Option<Duration>,
}

impl Runner {
    pub(super) fn submit(&mut self, step: &SubmitStep) -> Result<(), ScenarioError> {
        let submissions = match &step.again {
            Some(name) => self.submissions(name)?.clone(),
            None => (0..step.jobs).map(|n| Submission::new(step, n)).collect(),
        };
        let what = step.again.as_ref().map_or_else(
            || {
                format!(
                    "{} jobs of {} tasks of {:?}",
                    step.jobs, step.tasks, step.run
                )
            },
            |name| format!("{name} again"),
        );
        self.write_line(format!("> submit {} at {}: {what}", step.name, step.at));
        let is_spread = step.at == EACH_ENTRY;
        let at = if is_spread { 0 } else { self.entry(&step.at)? };
        let mut delay = Duration::ZERO;
        for (number, submission) in submissions.iter().enumerate() {
            let turn = if is_spread { number } else { 0 };
            let caller = Caller {
                client: self.site.client.clone(),
                entries: self.entries_from(usize::from(at) + turn),
                submission: submission.clone(),
                wait: step.wait.clone(),
                is_first: step.first,
                is_patient: step.patient,
                delay,
                leave_after: step.leave_after,
            };
            delay += step.every;
            self.spawn_call(&step.name, CallKind::Submit, submission, caller.submit());
        }
        self.store_submissions(&step.name, submissions);
        Ok(())
    }

    pub(super) fn ask(&mut self, step: &AskStep, kind: CallKind) -> Result<(), ScenarioError> {
        let verb = if kind == CallKind::Cancel {
            "cancel"
        } else {
            "ask"
        };
        self.write_line(format!(
            "> {verb} {} at {}: {}",
            step.name, step.at, step.of
        ));
        let at = self.entry(&step.at)?;
        for submission in self.submissions(&step.of)?.clone() {
            let client = self.site.client.clone();
            let callers = self.site.plan.callers_address(at);
            let (job, wait) = (submission.clone(), step.wait.clone());
            let reply = async move {
                match kind {
                    CallKind::Cancel => cancel(&client, callers, &job).await.ok(),
                    _ => client
                        .fetch_job(callers, &job.contract, &job.key, &wait)
                        .await
                        .ok(),
                }
            };
            self.spawn_call(&step.name, kind, &submission, reply);
        }
        Ok(())
    }

    /// Runs a call concurrently with the following steps.
    fn spawn_call(
        &mut self,
        name: &str,
        kind: CallKind,
        submission: &Submission,
        reply: impl Future<Output = Option<HttpReply>> + 'static,
    ) {
        let (tx, rx) = oneshot::channel();
        let (name, submission) = (name.to_owned(), submission.clone());
        self.store_call(&name, rx);
        ntex::rt::spawn(async move {
            let result = CallResult {
                name,
                kind,
                submission,
                reply: reply.await,
            };
            // The receiver is dropped only once the scenario has failed.
            let _ = tx.send(result);
        });
    }

    /// Returns the callers' addresses of all entries, beginning with entry `first`.
    fn entries_from(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.site.plan.entries();
        let mut entries: Vec<SocketAddr> = (0..count)
            .map(|n| self.site.plan.callers_address(n))
            .collect();
        entries.rotate_left(first % usize::from(count));
        entries
    }
}

impl Caller {
    async fn submit(self) -> Option<HttpReply> {
        sleep(self.delay).await;
        match self.leave_after {
            Some(limit) => timeout(limit, self.submit_with_retries())
                .await
                .ok()
                .flatten(),
            None => self.submit_with_retries().await,
        }
    }

    async fn submit_with_retries(&self) -> Option<HttpReply> {
        if !self.is_patient {
            return self.submit_once(self.entries[0], self.is_first).await.ok();
        }
        for number in 0..MAX_ATTEMPTS {
            let entry = self.entries[number % self.entries.len()];
            let is_first = self.is_first && number == 0;
            let reply = timeout(ATTEMPT_TIMEOUT, self.submit_once(entry, is_first)).await;
            match reply {
                Ok(Ok(reply)) if reply.status != 503 && reply.status != 202 => return Some(reply),
                _ => sleep(RETRY_PAUSE).await,
            }
        }
        None
    }

    async fn submit_once(&self, entry: SocketAddr, is_first: bool) -> Result<HttpReply, SiteError> {
        let submission = &self.submission;
        let wait = self.wait.as_ref().map(|wait| format!("?wait={wait}"));
        let query = wait.unwrap_or_default();
        let url = format!(
            "http://{entry}/v1/contracts/{}/jobs{query}",
            submission.contract
        );
        let token = format!("Bearer token-of-{}", submission.contract);
        let mut headers = vec![
            ("authorization", token.as_str()),
            ("idempotency-key", submission.key.as_str()),
            ("content-type", "application/json"),
        ];
        if is_first {
            headers.push(("submission-attempt", "1"));
        }
        let body = submission.body.to_string();
        self.client.send(Method::POST, url, &headers, body).await
    }
}

async fn cancel(
    client: &SiteClient,
    callers: SocketAddr,
    submission: &Submission,
) -> Result<HttpReply, SiteError> {
    let url = format!(
        "http://{callers}/v1/contracts/{}/jobs/{}",
        submission.contract, submission.key
    );
    let token = format!("Bearer token-of-{}", submission.contract);
    let headers = [("authorization", token.as_str())];
    client
        .send(Method::DELETE, url, &headers, String::new())
        .await
}
