//! Callers that act while the scenario goes on.

use {
    crate::{
        scenario::{AskStep, Call, CallEnd, ScenarioError, Submission, SubmitStep, runner::Runner},
        site::{HttpReply, SiteClient, SiteError},
    },
    ntex::http::Method,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// How long a patient caller waits before it asks another entry.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Most tries of a patient caller.
const MAX_TRIES: usize = 300;

/// How long a patient caller waits for one answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// In place of an entry: every entry in turn.
const EACH: &str = "each";

/// One caller.
struct Caller {
    client: SiteClient,
    entries: Vec<SocketAddr>,
    submission: Submission,
    wait: Option<String>,
    first: bool,
    patient: bool,
    starts_in: Duration,
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
        self.say(format!("> submit {} at {}: {what}", step.name, step.at));
        let is_spread = step.at == EACH;
        let at = if is_spread { 0 } else { self.entry(&step.at)? };
        let mut starts_in = Duration::ZERO;
        for (number, submission) in submissions.iter().enumerate() {
            let turn = if is_spread { number } else { 0 };
            let caller = Caller {
                client: self.site.client.clone(),
                entries: self.entries_from(usize::from(at) + turn),
                submission: submission.clone(),
                wait: step.wait.clone(),
                first: step.first,
                patient: step.patient,
                starts_in,
                leave_after: step.leave_after,
            };
            starts_in += step.every;
            self.call(&step.name, Call::Submit, submission, caller.submit());
        }
        self.keep_submissions(&step.name, submissions);
        Ok(())
    }

    pub(super) fn ask(&mut self, step: &AskStep, call: Call) -> Result<(), ScenarioError> {
        let verb = if call == Call::Cancel {
            "cancel"
        } else {
            "ask"
        };
        self.say(format!(
            "> {verb} {} at {}: {}",
            step.name, step.at, step.of
        ));
        let at = self.entry(&step.at)?;
        for submission in self.submissions(&step.of)?.clone() {
            let client = self.site.client.clone();
            let callers = self.site.plan.callers(at);
            let (of, wait) = (submission.clone(), step.wait.clone());
            let reply = async move {
                match call {
                    Call::Cancel => cancel(&client, callers, &of).await.ok(),
                    _ => client
                        .fetch_job(callers, &of.contract, &of.key, &wait)
                        .await
                        .ok(),
                }
            };
            self.call(&step.name, call, &submission, reply);
        }
        Ok(())
    }

    /// Lets a call go on beside the scenario.
    fn call(
        &mut self,
        name: &str,
        call: Call,
        submission: &Submission,
        reply: impl Future<Output = Option<HttpReply>> + 'static,
    ) {
        let (tx, rx) = oneshot::channel();
        let (name, submission) = (name.to_owned(), submission.clone());
        self.keep_call(&name, rx);
        ntex::rt::spawn(async move {
            let end = CallEnd {
                name,
                call,
                submission,
                reply: reply.await,
            };
            // The scenario went wrong already where nobody takes the end.
            let _ = tx.send(end);
        });
    }

    fn entries_from(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.site.plan.entries();
        let mut entries: Vec<SocketAddr> = (0..count).map(|n| self.site.plan.callers(n)).collect();
        entries.rotate_left(first % usize::from(count));
        entries
    }
}

impl Caller {
    async fn submit(self) -> Option<HttpReply> {
        sleep(self.starts_in).await;
        match self.leave_after {
            Some(limit) => timeout(limit, self.tries()).await.ok().flatten(),
            None => self.tries().await,
        }
    }

    async fn tries(&self) -> Option<HttpReply> {
        if !self.patient {
            return self.once(self.entries[0], self.first).await.ok();
        }
        for number in 0..MAX_TRIES {
            let entry = self.entries[number % self.entries.len()];
            let is_first = self.first && number == 0;
            let asked = timeout(PATIENCE, self.once(entry, is_first)).await;
            match asked {
                Ok(Ok(reply)) if reply.status != 503 && reply.status != 202 => return Some(reply),
                _ => sleep(RETRY_PAUSE).await,
            }
        }
        None
    }

    async fn once(&self, entry: SocketAddr, is_first: bool) -> Result<HttpReply, SiteError> {
        let of = &self.submission;
        let wait = self.wait.as_ref().map(|wait| format!("?wait={wait}"));
        let query = wait.unwrap_or_default();
        let url = format!("http://{entry}/v1/contracts/{}/jobs{query}", of.contract);
        let token = format!("Bearer token-of-{}", of.contract);
        let mut headers = vec![
            ("authorization", token.as_str()),
            ("idempotency-key", of.key.as_str()),
            ("content-type", "application/json"),
        ];
        if is_first {
            headers.push(("submission-attempt", "1"));
        }
        let body = of.body.to_string();
        self.client.send(Method::POST, url, &headers, body).await
    }
}

async fn cancel(
    client: &SiteClient,
    callers: SocketAddr,
    of: &Submission,
) -> Result<HttpReply, SiteError> {
    let url = format!(
        "http://{callers}/v1/contracts/{}/jobs/{}",
        of.contract, of.key
    );
    let token = format!("Bearer token-of-{}", of.contract);
    let headers = [("authorization", token.as_str())];
    client
        .send(Method::DELETE, url, &headers, String::new())
        .await
}
