//! Metrics of entries and agents that run best-effort jobs.

use {
    crate::{
        MetricsError,
        exporter::{Exporter, seconds_histogram},
    },
    chestnutrun_types::{DecisionEvent, RouteId},
    indexmap::{IndexMap, IndexSet},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
    std::fmt,
};

/// Maximum number of routes with a label of their own; further ones are counted
/// together under [`OTHER_ROUTES`].
const MAX_ROUTES: usize = 32;

/// Label of the routes beyond [`MAX_ROUTES`].
const OTHER_ROUTES: &str = "other";

/// Metrics of one process, derived from its decision events.
pub struct DispatchMetrics {
    exporter: Exporter,
    /// Routes with a label of their own.
    routes: IndexSet<RouteId>,
    decisions: Counter<u64>,
    jobs: Counter<u64>,
    runs: Counter<u64>,
    refused_starts: Counter<u64>,
    stopped_runs: Counter<u64>,
    response_times: Histogram<f64>,
    waits: Histogram<f64>,
    run_times: Histogram<f64>,
    waits_at_agent: Histogram<f64>,
    directory_calls: Counter<u64>,
    /// Totals already added to `directory_calls`, by call and outcome.
    counted_calls: IndexMap<(&'static str, &'static str), u64>,
    state: Gauge<u64>,
}

impl fmt::Debug for DispatchMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DispatchMetrics").finish_non_exhaustive()
    }
}

impl DispatchMetrics {
    /// Sets up the metrics of a process.
    ///
    /// # Errors
    /// Returns an error if the exporter rejects its settings.
    pub fn new() -> Result<Self, MetricsError> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let times = |name, text| seconds_histogram(&meter, name, text);
        Ok(Self {
            decisions: counter("chestnutrun_decisions", "Decisions by kind."),
            jobs: counter("chestnutrun_best_effort_jobs", "Jobs by route and outcome."),
            runs: counter("chestnutrun_runs", "Runs by how they ended."),
            refused_starts: counter("chestnutrun_refused_starts", "Starts by refusal."),
            stopped_runs: counter("chestnutrun_stopped_runs", "Stops by reason."),
            response_times: times("chestnutrun_response", "Times to answers, by route."),
            waits: times("chestnutrun_wait", "Waits for a place, by route."),
            run_times: times("chestnutrun_run", "Run times of tasks."),
            waits_at_agent: times("chestnutrun_agent_wait", "Waits at the agent."),
            directory_calls: counter("chestnutrun_directory_calls", "Calls by outcome."),
            counted_calls: IndexMap::new(),
            state: meter
                .u64_gauge("chestnutrun_state")
                .with_description("Present values, by name.")
                .build(),
            exporter,
            routes: IndexSet::new(),
        })
    }

    /// Updates the counters and histograms that a decision event affects.
    pub fn count(&mut self, event: &DecisionEvent) {
        match event {
            DecisionEvent::JobAnswered {
                route,
                outcome,
                took_ms,
                placed_after_ms,
                ..
            } => {
                let route = KeyValue::new("route", self.route_label(route));
                let outcome = KeyValue::new("outcome", outcome.to_string());
                self.jobs.add(1, &[route.clone(), outcome]);
                self.response_times
                    .record(as_seconds(*took_ms), std::slice::from_ref(&route));
                if let Some(wait) = placed_after_ms {
                    self.waits.record(as_seconds(*wait), &[route]);
                }
            }
            DecisionEvent::TaskEnded { how, ran_ms, .. } => {
                let how = KeyValue::new("how", how.name());
                self.runs.add(1, std::slice::from_ref(&how));
                self.run_times.record(as_seconds(*ran_ms), &[how]);
            }
            DecisionEvent::TaskStarted { waited_ms, .. } => {
                self.waits_at_agent.record(as_seconds(*waited_ms), &[]);
            }
            DecisionEvent::StartRefused { reason, .. } => {
                let reason = KeyValue::new("reason", reason.to_string());
                self.refused_starts.add(1, &[reason]);
            }
            DecisionEvent::TaskStopped { reason, .. } => {
                let reason = KeyValue::new("reason", reason.to_string());
                self.stopped_runs.add(1, &[reason]);
            }
            other => {
                let kind = KeyValue::new("kind", other.name());
                self.decisions.add(1, &[kind]);
            }
        }
    }

    /// Raises the counter of directory calls that ended in `outcome` to `count`,
    /// the total since the process started.
    pub fn set_directory_call_count(
        &mut self,
        call: &'static str,
        outcome: &'static str,
        count: u64,
    ) {
        let counted = self.counted_calls.entry((call, outcome)).or_default();
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.directory_calls
            .add(count.saturating_sub(*counted), &labels);
        *counted = count;
    }

    /// Sets a value of the `chestnutrun_state` gauge.
    pub fn set(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
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

    /// Returns the label of a route: its name, or [`OTHER_ROUTES`] if [`MAX_ROUTES`]
    /// other routes already have labels.
    fn route_label(&mut self, route: &RouteId) -> String {
        if !self.routes.contains(route) {
            if self.routes.len() >= MAX_ROUTES {
                return OTHER_ROUTES.to_owned();
            }
            self.routes.insert(route.clone());
        }
        route.to_string()
    }
}

#[allow(clippy::cast_precision_loss)] // milliseconds of one run are far below 2^52
fn as_seconds(millis: u64) -> f64 {
    millis as f64 / 1_000.0
}
