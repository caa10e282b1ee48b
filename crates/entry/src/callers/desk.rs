//! Passes callers' requests to the loop and its replies back.

use {
    crate::{
        callers::{JobPage, waiter::Waiter},
        event::{CallerReply, CallerRequest, Event},
        problem::Problem,
    },
    chestnutrun_decisions::front::{Request, WaiterId},
    chestnutrun_settings::RequestLimits,
    chestnutrun_types::{JobRef, Reply, Submit},
    ntex::{
        http::{StatusCode, header},
        web::HttpResponse,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc::Sender, oneshot},
        time::timeout,
    },
};

/// How long an owner may take to say whether a job is recorded.
const RECEIPT_TIMEOUT: Duration = Duration::from_secs(2);

/// What the handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    pub(crate) tx: Sender<Event>,
    pub(crate) limits: RequestLimits,
    pub(crate) next_waiter: Rc<Cell<WaiterId>>,
}

impl Desk {
    /// Submits a job and waits for its answer or, after `wait`, for a receipt.
    pub(crate) async fn submit(
        &self,
        token: &str,
        submit: Submit,
        wait: Duration,
    ) -> Result<HttpResponse, Problem> {
        let job = submit.job.clone();
        let may_be_older = submit.may_be_older;
        let for_receipt = Submit {
            wants_receipt: true,
            ..submit.clone()
        };
        let requests = (Request::Submit(submit), Request::Submit(for_receipt));
        let reply = self.wait(token, requests, wait).await?;
        respond(&job, reply, |problem| {
            problem.not_run &= !may_be_older;
        })
    }

    /// Waits for a job's answer or, after `wait`, for its state.
    pub(crate) async fn ask(
        &self,
        token: &str,
        job: JobRef,
        wait: Duration,
    ) -> Result<HttpResponse, Problem> {
        let requests = (Request::Query(job.clone()), Request::Status(job.clone()));
        self.reply_about(token, &job, requests, wait).await
    }

    /// Cancels what has not started and waits for the job's answer.
    pub(crate) async fn cancel(&self, token: &str, job: JobRef) -> Result<HttpResponse, Problem> {
        let requests = (Request::Cancel(job.clone()), Request::Status(job.clone()));
        let wait = self.limits.longest_wait;
        self.reply_about(token, &job, requests, wait).await
    }

    async fn reply_about(
        &self,
        token: &str,
        job: &JobRef,
        requests: (Request, Request),
        wait: Duration,
    ) -> Result<HttpResponse, Problem> {
        let reply = self.wait(token, requests, wait).await;
        // A question for a job proves nothing about its submission.
        let reply = reply.map_err(Problem::maybe_run)?;
        respond(job, reply, |problem| problem.not_run = false)
    }

    /// Sends the first request and, where it has no reply in time, the second.
    async fn wait(
        &self,
        token: &str,
        (request, for_receipt): (Request, Request),
        wait: Duration,
    ) -> Result<CallerReply, Problem> {
        let wait = wait.min(self.limits.longest_wait);
        if !wait.is_zero()
            && let Some(reply) = self.send(token, request, wait).await?
        {
            return Ok(reply);
        }
        let reply = self.send(token, for_receipt, RECEIPT_TIMEOUT).await?;
        reply.ok_or_else(no_receipt)
    }

    /// Sends a request; returns none where no reply comes in time.
    async fn send(
        &self,
        token: &str,
        request: Request,
        wait: Duration,
    ) -> Result<Option<CallerReply>, Problem> {
        let (reply, answer) = oneshot::channel();
        let waiter = self.waiter();
        let request = CallerRequest {
            waiter: waiter.id,
            token: token.to_owned(),
            request,
            reply,
        };
        let sent = self.tx.send(Event::Caller(request)).await;
        sent.map_err(|_| stopping())?;
        match timeout(wait, answer).await {
            Ok(Ok(reply)) => Ok(Some(reply)),
            Ok(Err(_)) => Err(stopping()),
            Err(_) => Ok(None),
        }
    }

    fn waiter(&self) -> Waiter {
        let id = self.next_waiter.get() + 1;
        self.next_waiter.set(id);
        Waiter {
            id,
            tx: self.tx.clone(),
        }
    }
}

/// Makes the response; `weaken` takes claims back that the entry cannot prove.
fn respond(
    job: &JobRef,
    reply: CallerReply,
    weaken: impl Fn(&mut Problem),
) -> Result<HttpResponse, Problem> {
    let reply = match reply {
        CallerReply::Owner(reply) => reply,
        CallerReply::Unauthorized => return Err(weakened(unauthorized(), weaken)),
        CallerReply::NotReady => return Err(weakened(not_ready(), weaken)),
        CallerReply::Stopping => return Err(weakened(stopping_now(), weaken)),
    };
    match reply {
        Reply::Answered(answer) => Ok(HttpResponse::Ok().json(&JobPage::ended(job, answer))),
        Reply::Accepted => Ok(accepted(job)),
        Reply::Refused(refusal) => Err(Problem::refused(&refusal)),
        Reply::Unavailable(refusal) => Err(Problem::unavailable(&refusal)),
        Reply::KeyReused => Err(key_reused()),
        Reply::NotFound => Err(no_such_job(job)),
    }
}

fn weakened(mut problem: Problem, weaken: impl Fn(&mut Problem)) -> Problem {
    weaken(&mut problem);
    problem
}

fn accepted(job: &JobRef) -> HttpResponse {
    let location = format!("/v1/contracts/{}/jobs/{}", job.contract, job.key);
    HttpResponse::Accepted()
        .header(header::LOCATION, location)
        .json(&JobPage::accepted(job))
}

fn unauthorized() -> Problem {
    let detail = "the contract does not exist or the token is not its token";
    Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail)
}

fn not_ready() -> Problem {
    let detail = "the entry has read no configuration yet";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "not-ready", detail)
}

fn stopping_now() -> Problem {
    let detail = "the entry is stopping; submit through another entry";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", detail)
}

fn stopping() -> Problem {
    stopping_now().maybe_run()
}

fn key_reused() -> Problem {
    let detail = "the key belongs to a submission with another body; this body did not run, \
                  the other may have";
    Problem::new(StatusCode::CONFLICT, "key-reused", detail).maybe_run()
}

fn no_such_job(job: &JobRef) -> Problem {
    let detail = format!("no job {job} is known; it may be older than the records");
    Problem::new(StatusCode::NOT_FOUND, "unknown-job", detail).maybe_run()
}

fn no_receipt() -> Problem {
    let detail = "the owner of the job's shard did not reply in time; \
                  submit or ask again with the same key";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no-receipt", detail).maybe_run()
}
