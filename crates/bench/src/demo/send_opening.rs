//! Sends the opening: each job at its planned moment, whatever the site does.

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

/// Sends every job and waits for every answer.
pub(crate) async fn send_opening(
    client: &SiteClient,
    plan: &SitePlan,
    opening: &Opening,
) -> Vec<JobResult> {
    let (tx, mut rx) = unbounded_channel();
    let sender = Rc::new(Sender {
        client: client.clone(),
        plan: plan.clone(),
        begin: Instant::now(),
    });
    ntex::rt::spawn(send_all(sender, opening.jobs.clone(), tx));
    let mut progress = Progress::new(opening.jobs.len());
    let mut results = Vec::with_capacity(opening.jobs.len());
    while let Some(result) = rx.recv().await {
        progress.answered(&result);
        results.push(result);
    }
    progress.close();
    results
}

struct Sender {
    client: SiteClient,
    plan: SitePlan,
    begin: Instant,
}

async fn send_all(sender: Rc<Sender>, jobs: Vec<PlannedJob>, tx: UnboundedSender<JobResult>) {
    for (number, job) in jobs.into_iter().enumerate() {
        sleep_until((sender.begin + job.at).into()).await;
        let sender = sender.clone();
        let tx = tx.clone();
        ntex::rt::spawn(async move {
            let result = sender.send_job(number, &job).await;
            // The receiver stays until the last sender is gone.
            let _ = tx.send(result);
        });
    }
}

impl Sender {
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
            again: again.map(|reply| verdict(job, reply.as_ref())),
            answers_agree,
            sent_late: sent_at.saturating_duration_since(self.begin + job.at),
            response_time,
        }
    }

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
        Verdict::of(reply, job.kind.contract, &job.key, tasks)
    })
}
