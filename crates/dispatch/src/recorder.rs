//! Writes decisions to the decision log and counts them in the metrics.

use {
    crate::CallCount,
    chestnutrun_decisions::evacuation::EvacuationMachine,
    chestnutrun_observe::{DecisionLog, DispatchMetrics, as_u64, flush_logs, left_out_log_lines},
    chestnutrun_types::{DecisionEvent, Now, RoutingVersion},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between two flushes of the log, so that one write carries many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Writes decisions to the decision log and counts them in the metrics.
#[derive(Debug)]
pub(crate) struct Recorder {
    log: DecisionLog,
    metrics: Option<DispatchMetrics>,
    flush_at: Option<Instant>,
}

impl Recorder {
    /// Creates the recorder of a process. If the metrics cannot be set up, it only
    /// writes the log.
    pub(crate) fn new(process: Arc<str>) -> Self {
        let metrics = DispatchMetrics::new();
        if let Err(error) = &metrics {
            log::error!("could not set up metrics, so none are served: {error}");
        }
        Self {
            log: DecisionLog::new(process),
            metrics: metrics.ok(),
            flush_at: None,
        }
    }

    /// Logs and counts a decision.
    pub(crate) fn record(&mut self, now: Now, event: DecisionEvent) {
        if let Some(metrics) = &mut self.metrics {
            metrics.count(&event);
        }
        self.log.add(now, event);
    }

    /// Records an event of the process itself, such as its start; `held` is the
    /// number of jobs or tasks that it holds.
    pub(crate) fn record_process(&mut self, event: &'static str, held: usize) {
        let news = event.into();
        self.record(Now::read(), DecisionEvent::Process { news, held });
    }

    /// Records that a new routing table became the current one.
    pub(crate) fn record_routing(
        &mut self,
        version: RoutingVersion,
        replaced: RoutingVersion,
        source: &'static str,
    ) {
        let source = source.into();
        let event = DecisionEvent::RoutingInForce {
            version,
            replaced,
            source,
        };
        self.record(Now::read(), event);
    }

    /// Records that a dependency was lost or is available again.
    pub(crate) fn record_dependency(&mut self, name: &'static str, is_there: bool) {
        let name = name.into();
        self.record(Now::read(), DecisionEvent::Dependency { name, is_there });
    }

    /// Flushes both logs if the last flush is `FLUSH_INTERVAL` ago.
    pub(crate) fn flush_if_due(&mut self, now: Now) {
        if self.flush_at.is_none_or(|at| at <= now.instant) {
            self.flush_at = Some(now.instant + FLUSH_INTERVAL);
            self.log.flush();
            flush_logs();
        }
    }

    /// Returns the metrics in text format, with the present values of `gauges` and
    /// `calls`; an empty text if metrics could not be set up.
    pub(crate) fn metrics_text(
        &mut self,
        gauges: &[(&'static str, u64)],
        calls: &[CallCount],
    ) -> String {
        let Some(metrics) = &mut self.metrics else {
            return String::new();
        };
        for call in calls {
            metrics.set_directory_call_count(call.call, call.outcome, call.count);
        }
        for (name, value) in gauges {
            metrics.set(name, *value);
        }
        metrics.set("log-lines-left-out", left_out_log_lines());
        metrics.show().unwrap_or_else(|error| {
            log::error!("could not encode the metrics: {error}");
            String::new()
        })
    }

    pub(crate) fn close(self) {
        self.log.close();
        flush_logs();
        if let Some(metrics) = self.metrics {
            metrics.close();
        }
    }
}

/// Returns the metrics on the evacuated zones: their number, the revision of the directory at
/// which they are known (0 if they are not), and for how long they have been the same.
pub(crate) fn evacuation_gauges(
    evacuation: &EvacuationMachine,
    now: Now,
) -> [(&'static str, u64); 3] {
    let state = evacuation.state();
    [
        (
            "zones-evacuated",
            state.map_or(0, |state| as_u64(state.zones.len())),
        ),
        ("zones-revision", state.map_or(0, |state| state.revision)),
        ("zones-age-seconds", evacuation.age(now.instant).as_secs()),
    ]
}
