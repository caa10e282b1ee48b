//! Passes callers' requests to an entry's loop.

use {
    crate::SharedRouting,
    chestnutrun_decisions::placement::{CallerId, JobOutcome, Submission},
    chestnutrun_types::{BestEffortJob, JobId, Route, ServiceId},
    std::{cell::Cell, rc::Rc, sync::Arc, time::Instant},
    tokio::sync::{mpsc::Sender, oneshot},
};

/// Longest part of a request's host or path that is logged, in characters. Hosts
/// and path prefixes of routes are shorter.
const MAX_LOGGED_CHARACTERS: usize = 128;

/// Requests of callers' handlers to the loop.
#[derive(Debug)]
pub enum CallerEvent {
    /// Run a job and reply with its outcome.
    Submit(Submission, oneshot::Sender<JobOutcome>),
    /// The caller disconnected, or has its reply.
    Disconnected(CallerId),
    /// Cancel a job; reply whether this entry held it.
    Cancel(JobId, oneshot::Sender<bool>),
    /// No route matches the host and path of a request.
    RouteNotFound(String, String),
    /// Count the waiting jobs of a service.
    CountWaiting(ServiceId, oneshot::Sender<usize>),
    /// Reply whether the entry can accept jobs.
    IsReady(oneshot::Sender<bool>),
    /// Reply with the metrics in text format.
    Metrics(oneshot::Sender<String>),
}

/// The pending reply to a submitted job.
#[derive(Debug)]
pub struct JobReply {
    answer: oneshot::Receiver<JobOutcome>,
    /// Reports to the loop that the caller disconnected, when the reply is dropped.
    _waiting: WaitingCaller,
}

impl JobReply {
    /// Waits for the outcome; returns none if the loop ended.
    pub async fn wait(self) -> Option<JobOutcome> {
        self.answer.await.ok()
    }
}

/// A caller that waits for its job. When the value is dropped, the loop learns
/// that the caller disconnected and drops the job if it has not ended.
#[derive(Debug)]
pub struct WaitingCaller {
    id: CallerId,
    tx: Sender<CallerEvent>,
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        // If the queue is full, the job continues until its deadline.
        if self
            .tx
            .try_send(CallerEvent::Disconnected(self.id))
            .is_err()
        {
            log::debug!(
                "could not report to the loop that caller {} disconnected",
                self.id
            );
        }
    }
}

/// Handle through which the handlers of callers' requests reach the loop.
#[derive(Clone, Debug)]
pub struct CallerHandle {
    tx: Sender<CallerEvent>,
    /// Id of the last caller that submitted a job.
    last_caller: Rc<Cell<CallerId>>,
    is_closing: Rc<Cell<bool>>,
    /// The current routing table.
    pub routing: SharedRouting,
}

impl CallerHandle {
    /// Creates a handle that sends its requests to `tx`, the queue of a loop.
    #[must_use]
    pub fn new(tx: Sender<CallerEvent>, routing: SharedRouting) -> Self {
        Self {
            tx,
            last_caller: Rc::new(Cell::new(0)),
            is_closing: Rc::new(Cell::new(false)),
            routing,
        }
    }

    /// Returns whether responses close their connections, so that callers connect
    /// to another entry.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Makes all further responses close their connections.
    pub(crate) fn start_closing(&self) {
        self.is_closing.set(true);
    }

    /// Submits a job; returns none if the loop ended.
    pub async fn submit(
        &self,
        route: Arc<Route>,
        job: BestEffortJob,
        deadline: Instant,
    ) -> Option<JobReply> {
        let caller = self.last_caller.get() + 1;
        self.last_caller.set(caller);
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

    /// Cancels a job; returns whether this entry held it.
    pub async fn cancel(&self, job: JobId) -> bool {
        let answer = self.request(|tx| CallerEvent::Cancel(job, tx)).await;
        answer.unwrap_or(false)
    }

    /// Returns the route of a request and the rest of its path. A request without a
    /// route is reported to the loop, which logs it.
    #[must_use]
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(Arc<Route>, &'a str)> {
        let found = self.routing.find_route(host, path);
        if found.is_none() {
            let event = CallerEvent::RouteNotFound(shorten(host), shorten(path));
            if self.tx.try_send(event).is_err() {
                log::debug!("could not report a request without a route to the loop");
            }
        }
        found
    }

    /// Returns the number of waiting jobs of a service; none if the loop ended.
    pub async fn count_waiting(&self, service: ServiceId) -> Option<usize> {
        self.request(|tx| CallerEvent::CountWaiting(service, tx))
            .await
    }

    /// Returns whether the entry can accept jobs.
    pub async fn is_ready(&self) -> bool {
        self.request(CallerEvent::IsReady).await.unwrap_or(false)
    }

    /// Returns the metrics in text format; none if the loop ended.
    pub async fn metrics(&self) -> Option<String> {
        self.request(CallerEvent::Metrics).await
    }

    /// Sends an event with a reply channel and waits for the reply; returns none if
    /// the loop ended.
    async fn request<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> CallerEvent) -> Option<T> {
        let (tx, answer) = oneshot::channel();
        self.tx.send(event(tx)).await.ok()?;
        answer.await.ok()
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARACTERS).collect()
}
