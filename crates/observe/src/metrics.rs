//! Counters, gauges and histograms of one process, encoded in Prometheus format
//! on request.

use {
    crate::{
        Stopwatch,
        exporter::{Exporter, as_u64, seconds_histogram},
    },
    chestnutrun_types::{ContractId, Epoch, ShardId},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
    std::fmt,
    thiserror::Error,
};

/// Errors of setting up and encoding metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[error("cannot set up the metrics exporter: {0}")]
    SetUp(String),
    /// The metrics could not be encoded.
    #[error("cannot encode the metrics: {0}")]
    Show(#[from] prometheus::Error),
}

/// The metrics of one process.
pub struct Metrics {
    exporter: Exporter,
    messages: Counter<u64>,
    wasted_messages: Counter<u64>,
    tasks: Counter<u64>,
    start_refusals: Counter<u64>,
    replies: Counter<u64>,
    table_requests: Counter<u64>,
    run_times: Histogram<f64>,
    response_times: Histogram<f64>,
    contract_tasks: Gauge<u64>,
    ownership_epochs: Gauge<u64>,
    slots: Gauge<u64>,
    links: Gauge<u64>,
    jobs: Gauge<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Sets up the metrics of a process.
    ///
    /// # Errors
    /// Returns an error if the exporter rejects its settings.
    pub fn new() -> Result<Self, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        Ok(Self {
            exporter,
            messages: meter
                .u64_counter("chestnutrun_messages")
                .with_description("Messages between processes.")
                .build(),
            wasted_messages: meter
                .u64_counter("chestnutrun_wasted_messages")
                .with_description("Messages that moved no task on.")
                .build(),
            tasks: meter
                .u64_counter("chestnutrun_tasks")
                .with_description("Tasks that ended at the endpoint.")
                .build(),
            start_refusals: meter
                .u64_counter("chestnutrun_start_refusals")
                .with_description("Starts that the agent refused.")
                .build(),
            replies: meter
                .u64_counter("chestnutrun_replies")
                .with_description("Replies to callers.")
                .build(),
            table_requests: meter
                .u64_counter("chestnutrun_table_requests")
                .with_description("Requests to the platform's table.")
                .build(),
            run_times: seconds_histogram(
                &meter,
                "chestnutrun_run_time",
                "Run times at the endpoint.",
            ),
            response_times: seconds_histogram(
                &meter,
                "chestnutrun_response_time",
                "Times to the replies to callers.",
            ),
            contract_tasks: meter
                .u64_gauge("chestnutrun_contract_tasks")
                .with_description("Tasks of each contract at the owner.")
                .build(),
            ownership_epochs: meter
                .u64_gauge("chestnutrun_ownership_epoch")
                .with_description("Ownership that the process holds of a shard; 0 for none.")
                .build(),
            slots: meter
                .u64_gauge("chestnutrun_slots")
                .with_description("Slots of the endpoints.")
                .build(),
            links: meter
                .u64_gauge("chestnutrun_links")
                .with_description("Open links to peers.")
                .build(),
            jobs: meter
                .u64_gauge("chestnutrun_jobs")
                .with_description("Jobs at the process.")
                .build(),
        })
    }

    /// Counts a message sent to a peer.
    pub fn count_sent(&self, peer: &'static str, kind: &'static str) {
        self.count_message("sent", peer, kind);
    }

    /// Counts a message received from a peer.
    pub fn count_received(&self, peer: &'static str, kind: &'static str) {
        self.count_message("received", peer, kind);
    }

    /// Counts messages that advanced no task.
    pub fn count_wasted(&self, messages: u64, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.wasted_messages.add(messages, &labels);
    }

    /// Counts a task that ended at the endpoint.
    pub fn count_task(&self, outcome: &'static str) {
        self.tasks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a start that the agent refused.
    pub fn count_refused_start(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.start_refusals.add(1, &labels);
    }

    /// Counts a reply to a caller.
    pub fn count_reply(&self, kind: &'static str) {
        self.replies.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request to the platform's table.
    pub fn count_table_request(&self, operation: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("operation", operation),
            KeyValue::new("outcome", outcome),
        ];
        self.table_requests.add(1, &labels);
    }

    /// Starts the stopwatch of a run at the endpoint.
    #[must_use]
    pub fn time_run(&self) -> Stopwatch {
        Stopwatch::start(self.run_times.clone())
    }

    /// Starts the stopwatch of a response to a caller.
    #[must_use]
    pub fn time_response(&self) -> Stopwatch {
        Stopwatch::start(self.response_times.clone())
    }

    /// Sets how many tasks of a contract are in a state.
    pub fn set_contract_tasks(&self, contract: &ContractId, state: &'static str, count: usize) {
        let labels = [
            KeyValue::new("contract", contract.clone()),
            KeyValue::new("state", state),
        ];
        self.contract_tasks.record(as_u64(count), &labels);
    }

    /// Sets the epoch under which this process owns a shard; 0 if it does not.
    pub fn set_ownership(&self, shard: ShardId, epoch: Epoch) {
        let labels = [KeyValue::new("shard", i64::from(shard))];
        self.ownership_epochs.record(epoch, &labels);
    }

    /// Sets how many slots there are in a state.
    pub fn set_slots(&self, state: &'static str, count: u32) {
        let labels = [KeyValue::new("state", state)];
        self.slots.record(u64::from(count), &labels);
    }

    /// Sets how many links to a kind of peer are open.
    pub fn set_links(&self, peer: &'static str, count: usize) {
        let labels = [KeyValue::new("peer", peer)];
        self.links.record(as_u64(count), &labels);
    }

    /// Sets how many jobs are in a state.
    pub fn set_jobs(&self, state: &'static str, count: usize) {
        let labels = [KeyValue::new("state", state)];
        self.jobs.record(as_u64(count), &labels);
    }

    fn count_message(&self, direction: &'static str, peer: &'static str, kind: &'static str) {
        let labels = [
            KeyValue::new("direction", direction),
            KeyValue::new("peer", peer),
            KeyValue::new("kind", kind),
        ];
        self.messages.add(1, &labels);
    }

    /// Returns all metrics in Prometheus format.
    ///
    /// # Errors
    /// Returns an error if the metrics cannot be encoded.
    pub fn show(&self) -> Result<String, MetricsError> {
        self.exporter.show()
    }

    /// Shuts the metrics down.
    pub fn close(self) {
        self.exporter.close();
    }
}
