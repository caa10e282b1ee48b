//! Sends each job of the opening at its planned time, whether or not earlier jobs
//! are answered.

use {
    crate::{
        demo::{JobResult, Opening, PlannedJob, Verdict, progress::Progress},
        site::{HttpReply, SiteClient, SitePlan},
    },
    std::{rc::Rc, time::Instant},
    tokio::{
        sync::mpsc::{UnboundedSender, unbounded_channel},
        time::{sleep, sleep_until},
    },
};

/// Sends every job and waits until each has an answer or has failed.
pub(crate) async fn send_opening(
    client: &SiteClient,
    plan: &SitePlan,
    opening: &Opening,
) -> Vec<JobResult> {
    let (tx, mut rx) = unbounded_channel();
    let sender = Rc::new(Sender {
        client: client.clone(),
        plan: plan.clone(),
        started_at: Instant::now(),
    });
    ntex::rt::spawn(send_all(sender, opening.jobs.clone(), tx));
    let mut progress = Progress::new(opening.jobs.len());
    let mut results = Vec::with_capacity(opening.jobs.len());
    while let Some(result) = rx.recv().await {
        progress.record_answer(&result);
        results.push(result);
    }
    progress.close();
    results
}

/// Sends the jobs of an opening that began at `started_at`.
struct Sender {
    client: SiteClient,
    plan: SitePlan,
    started_at: Instant,
}

async fn send_all(sender: Rc<Sender>, jobs: Vec<PlannedJob>, tx: UnboundedSender<JobResult>) {
    for (number, job) in jobs.into_iter().enumerate() {
        sleep_until((sender.started_at + job.at).into()).await;
        let sender = sender.clone();
        let tx = tx.clone();
        ntex::rt::spawn(async move {
            let result = sender.send_job(number, &job).await;
            // The receiver exists until the last sender is dropped.
            let _ = tx.send(result);
        });
    }
}

impl Sender {
    /// Submits the job, and resubmits it if the plan has a resubmission.
    async fn send_job(&self, number: usize, job: &PlannedJob) -> JobResult {
        let sent_at = Instant::now();
        let first = async {
            let reply = self.submit(job, job.entry).await;
            (reply, sent_at.elapsed())
        };
        let second = async {
            let resubmission = job.resubmission?;
            sleep(resubmission.after).await;
            Some(self.submit(job, resubmission.entry).await)
        };
        let ((reply, response_time), again) = tokio::join!(first, second);
        let both = (reply.as_ref(), again.as_ref().and_then(Option::as_ref));
        let answers_agree = match both {
            (Some(a), Some(b)) if a.status == 200 && b.status == 200 => a.body == b.body,
            _ => true,
        };
        JobResult {
            number,
            verdict: verdict(job, reply.as_ref()),
            resubmission_verdict: again.map(|reply| verdict(job, reply.as_ref())),
            answers_agree,
            sent_late: sent_at.saturating_duration_since(self.started_at + job.at),
            response_time,
        }
    }

    /// Submits the job to an entry; returns none if no reply is received.
    async fn submit(&self, job: &PlannedJob, entry: u16) -> Option<HttpReply> {
        let callers = self.plan.callers_address(entry);
        let contract = job.kind.contract;
        self.client
            .submit(callers, contract, &job.key, &job.body())
            .await
            .ok()
    }
}

fn verdict(job: &PlannedJob, reply: Option<&HttpReply>) -> Verdict {
    let tasks = job.run_times.len();
    reply.map_or(Verdict::Missing, |reply| {
        Verdict::from_reply(reply, job.kind.contract, &job.key, tasks)
    })
}
