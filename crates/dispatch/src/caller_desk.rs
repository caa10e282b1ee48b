//! Passes callers' requests to an entry's loop.

use {
    crate::SharedRouting,
    chestnutrun_decisions::placement::{CallerId, JobOutcome, Submission},
    chestnutrun_types::{BestEffortJob, JobId, Route, ServiceId},
    std::{cell::Cell, rc::Rc, sync::Arc, time::Instant},
    tokio::sync::{mpsc::Sender, oneshot},
};

/// Most characters of a request's host and path that are logged; hosts and
/// prefixes of routes are shorter.
const MAX_LOGGED_CHARACTERS: usize = 128;

/// What callers ask of the loop.
#[derive(Debug)]
pub enum CallerEvent {
    /// Hold a job and tell its outcome.
    Submit(Submission, oneshot::Sender<JobOutcome>),
    /// The caller went away.
    Gone(CallerId),
    /// Cancel a job; tells whether it was held here.
    Cancel(JobId, oneshot::Sender<bool>),
    /// No route has the host and path of a request.
    RouteNotFound(String, String),
    /// How many jobs of a service wait.
    Waiting(ServiceId, oneshot::Sender<usize>),
    /// Whether the entry can take jobs.
    IsReady(oneshot::Sender<bool>),
    /// The metrics, as text.
    Metrics(oneshot::Sender<String>),
}

/// A reply to a submission that comes later.
#[derive(Debug)]
pub struct JobReply {
    answer: oneshot::Receiver<JobOutcome>,
    /// Tells the loop when the caller goes away.
    _waiting: WaitingCaller,
}

impl JobReply {
    /// Waits for the outcome; none where the loop ended.
    pub async fn wait(self) -> Option<JobOutcome> {
        self.answer.await.ok()
    }
}

/// A caller that waits; where it is dropped, its job is dropped too.
#[derive(Debug)]
pub struct WaitingCaller {
    id: CallerId,
    tx: Sender<CallerEvent>,
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        // Where the queue is full, the job goes on until its deadline.
        if self.tx.try_send(CallerEvent::Gone(self.id)).is_err() {
            log::debug!("the loop was not told that caller {} is gone", self.id);
        }
    }
}

/// What the handlers of callers' requests share.
#[derive(Clone, Debug)]
pub struct CallerDesk {
    tx: Sender<CallerEvent>,
    next: Rc<Cell<CallerId>>,
    is_closing: Rc<Cell<bool>>,
    /// The routing table in force.
    pub routing: SharedRouting,
}

impl CallerDesk {
    /// Creates a desk whose requests go to a loop.
    #[must_use]
    pub fn new(tx: Sender<CallerEvent>, routing: SharedRouting) -> Self {
        Self {
            tx,
            next: Rc::new(Cell::new(0)),
            is_closing: Rc::new(Cell::new(false)),
            routing,
        }
    }

    /// Whether callers should open their next connection elsewhere.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Has callers open their next connections elsewhere.
    pub(crate) fn start_closing(&self) {
        self.is_closing.set(true);
    }

    /// Submits a job; none where the loop ended.
    pub async fn submit(
        &self,
        route: Arc<Route>,
        job: BestEffortJob,
        deadline: Instant,
    ) -> Option<JobReply> {
        let caller = self.next.get() + 1;
        self.next.set(caller);
        let submission = Submission {
            caller,
            route,
            job: Rc::new(job),
            deadline,
        };
        let (tx, answer) = oneshot::channel();
        let event = CallerEvent::Submit(submission, tx);
        self.tx.send(event).await.ok()?;
        let waiting = WaitingCaller {
            id: caller,
            tx: self.tx.clone(),
        };
        Some(JobReply {
            answer,
            _waiting: waiting,
        })
    }

    /// Cancels a job; returns whether it was held here.
    pub async fn cancel(&self, job: JobId) -> bool {
        let answer = self.ask(|tx| CallerEvent::Cancel(job, tx)).await;
        answer.unwrap_or(false)
    }

    /// Returns the route of a request and the rest of its path; a request
    /// without one is logged.
    #[must_use]
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(Arc<Route>, &'a str)> {
        let found = self.routing.find(host, path);
        if found.is_none() {
            let event = CallerEvent::RouteNotFound(shorten(host), shorten(path));
            if self.tx.try_send(event).is_err() {
                log::debug!("the loop was not told of a request without a route");
            }
        }
        found
    }

    /// Returns how many jobs of a service wait.
    pub async fn waiting(&self, service: ServiceId) -> Option<usize> {
        self.ask(|tx| CallerEvent::Waiting(service, tx)).await
    }

    /// Whether the entry can take jobs.
    pub async fn is_ready(&self) -> bool {
        self.ask(CallerEvent::IsReady).await.unwrap_or(false)
    }

    /// Returns the metrics, as text; none where the loop ended.
    pub async fn metrics(&self) -> Option<String> {
        self.ask(CallerEvent::Metrics).await
    }

    async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> CallerEvent) -> Option<T> {
        let (tx, answer) = oneshot::channel();
        self.tx.send(event(tx)).await.ok()?;
        answer.await.ok()
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARACTERS).collect()
}
