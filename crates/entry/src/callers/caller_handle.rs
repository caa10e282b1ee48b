//! Passes callers' requests to the loop and its replies back.

use {
    crate::{
        callers::{JobPage, waiter::Waiter},
        event::{CallerReply, CallerRequest, Event},
        problem::Problem,
    },
    chestnutrun_decisions::front::{Request, WaiterId},
    chestnutrun_net::SharedIntake,
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

/// Longest wait for the receipt of a job, which the owner of its shard sends.
const RECEIPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle through which the handlers of callers' requests reach the loop.
#[derive(Clone, Debug)]
pub(crate) struct CallerHandle {
    /// Queue of the loop.
    pub(crate) tx: Sender<Event>,
    pub(crate) limits: RequestLimits,
    /// Connections of callers.
    pub(crate) intake: SharedIntake,
    /// Id of the last waiter.
    pub(crate) last_waiter: Rc<Cell<WaiterId>>,
}

impl CallerHandle {
    /// Submits a job; returns its answer or, if there is none within `wait`, a receipt
    /// that says that the owner has recorded the job.
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
        let reply = self.reply_or_receipt(token, requests, wait).await?;
        respond(&job, reply, |problem| {
            problem.not_run &= !may_be_older;
        })
    }

    /// Returns a job's answer or, if there is none within `wait`, the job's state.
    pub(crate) async fn query(
        &self,
        token: &str,
        job: JobRef,
        wait: Duration,
    ) -> Result<HttpResponse, Problem> {
        let requests = (Request::Query(job.clone()), Request::Status(job.clone()));
        self.respond_about(token, &job, requests, wait).await
    }

    /// Cancels a job's tasks that have not started; returns the job's answer or, if
    /// there is none within the longest wait, its state.
    pub(crate) async fn cancel(&self, token: &str, job: JobRef) -> Result<HttpResponse, Problem> {
        let requests = (Request::Cancel(job.clone()), Request::Status(job.clone()));
        let wait = self.limits.longest_wait;
        self.respond_about(token, &job, requests, wait).await
    }

    async fn respond_about(
        &self,
        token: &str,
        job: &JobRef,
        requests: (Request, Request),
        wait: Duration,
    ) -> Result<HttpResponse, Problem> {
        let reply = self.reply_or_receipt(token, requests, wait).await;
        // A reply to a query does not prove that the submission did not run.
        let reply = reply.map_err(Problem::maybe_run)?;
        respond(job, reply, |problem| problem.not_run = false)
    }

    /// Sends the first request. If no reply arrives within `wait`, sends the second one,
    /// to which the owner replies at once.
    async fn reply_or_receipt(
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

    /// Sends a request to the loop; returns none if no reply arrives within `wait`.
    async fn send(
        &self,
        token: &str,
        request: Request,
        wait: Duration,
    ) -> Result<Option<CallerReply>, Problem> {
        let (reply, reply_rx) = oneshot::channel();
        let waiter = self.new_waiter();
        let request = CallerRequest {
            waiter: waiter.id,
            token: token.to_owned(),
            request,
            reply,
        };
        let sent = self.tx.send(Event::Caller(request)).await;
        sent.map_err(|_| stopping_maybe_run())?;
        match timeout(wait, reply_rx).await {
            Ok(Ok(reply)) => Ok(Some(reply)),
            Ok(Err(_)) => Err(stopping_maybe_run()),
            Err(_) => Ok(None),
        }
    }

    fn new_waiter(&self) -> Waiter {
        let id = self.last_waiter.get() + 1;
        self.last_waiter.set(id);
        Waiter {
            id,
            tx: self.tx.clone(),
        }
    }
}

/// Creates the response to a caller. `adjust` is applied to the problems that this
/// entry itself reports; it clears `not_run` if an earlier submission of the job may
/// have run.
fn respond(
    job: &JobRef,
    reply: CallerReply,
    adjust: impl Fn(&mut Problem),
) -> Result<HttpResponse, Problem> {
    let reply = match reply {
        CallerReply::Owner(reply) => reply,
        CallerReply::Unauthorized => return Err(adjusted(unauthorized(), adjust)),
        CallerReply::NotReady => return Err(adjusted(not_ready(), adjust)),
        CallerReply::Stopping => return Err(adjusted(stopping_not_run(), adjust)),
    };
    match reply {
        Reply::Answered(answer) => Ok(HttpResponse::Ok().json(&JobPage::ended(job, answer))),
        Reply::Accepted => Ok(accepted(job)),
        Reply::Refused(refusal) => Err(Problem::refused(&refusal)),
        Reply::Unavailable(refusal) => Err(Problem::unavailable(&refusal)),
        Reply::KeyReused => Err(key_reused()),
        Reply::NotFound => Err(unknown_job(job)),
    }
}

fn adjusted(mut problem: Problem, adjust: impl Fn(&mut Problem)) -> Problem {
    adjust(&mut problem);
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

fn stopping_not_run() -> Problem {
    let detail = "the entry is stopping; submit through another entry";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", detail)
}

fn stopping_maybe_run() -> Problem {
    stopping_not_run().maybe_run()
}

fn key_reused() -> Problem {
    let detail = "the key belongs to a submission with another body; this body did not run, \
                  the other may have";
    Problem::new(StatusCode::CONFLICT, "key-reused", detail).maybe_run()
}

fn unknown_job(job: &JobRef) -> Problem {
    let detail = format!("no job {job} is known; it may be older than the records");
    Problem::new(StatusCode::NOT_FOUND, "unknown-job", detail).maybe_run()
}

fn no_receipt() -> Problem {
    let detail = "the owner of the job's shard did not reply in time; \
                  submit or ask again with the same key";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "no-receipt", detail).maybe_run()
}
