//! Writes decisions down and counts them.

use {
    crate::CallCount,
    chestnutrun_observe::{DecisionLog, DispatchMetrics},
    chestnutrun_types::{DecisionNote, Now, RoutingVersion},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How often the log is written out, so that one write carries many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Writes decisions down and counts them.
#[derive(Debug)]
pub(crate) struct Recorder {
    log: DecisionLog,
    metrics: Option<DispatchMetrics>,
    flush_at: Option<Instant>,
}

impl Recorder {
    /// Starts for a process; without metrics where they cannot be set up.
    pub(crate) fn new(process: Arc<str>) -> Self {
        let metrics = DispatchMetrics::new();
        if let Err(error) = &metrics {
            log::error!("no metrics are kept: {error}");
        }
        Self {
            log: DecisionLog::new(process),
            metrics: metrics.ok(),
            flush_at: None,
        }
    }

    pub(crate) fn note(&mut self, now: Now, note: DecisionNote) {
        if let Some(metrics) = &mut self.metrics {
            metrics.count(&note);
        }
        self.log.add(now, note);
    }

    /// Notes what happens to the process itself.
    pub(crate) fn process(&mut self, news: &'static str, held: usize) {
        let news = news.into();
        self.note(Now::read(), DecisionNote::Process { news, held });
    }

    /// Notes that a routing table came into force.
    pub(crate) fn routing_in_force(
        &mut self,
        version: RoutingVersion,
        replaced: RoutingVersion,
        source: &'static str,
    ) {
        let source = source.into();
        let note = DecisionNote::RoutingInForce {
            version,
            replaced,
            source,
        };
        self.note(Now::read(), note);
    }

    /// Notes that something was lost or is back.
    pub(crate) fn dependency(&mut self, name: &'static str, is_there: bool) {
        let name = name.into();
        self.note(Now::read(), DecisionNote::Dependency { name, is_there });
    }

    /// Writes the log out where that is due.
    pub(crate) fn tick(&mut self, now: Now) {
        if self.flush_at.is_none_or(|at| at <= now.instant) {
            self.flush_at = Some(now.instant + FLUSH_INTERVAL);
            self.log.flush();
        }
    }

    /// Returns the metrics as text, with some values of this moment.
    pub(crate) fn text(&mut self, gauges: &[(&'static str, u64)], calls: &[CallCount]) -> String {
        let Some(metrics) = &mut self.metrics else {
            return String::new();
        };
        for call in calls {
            metrics.directory_calls(call.call, call.outcome, call.count);
        }
        for (name, value) in gauges {
            metrics.set(name, *value);
        }
        metrics.show().unwrap_or_else(|error| {
            log::error!("metrics cannot be shown: {error}");
            String::new()
        })
    }

    pub(crate) fn close(self) {
        self.log.close();
        if let Some(metrics) = self.metrics {
            metrics.close();
        }
    }
}
