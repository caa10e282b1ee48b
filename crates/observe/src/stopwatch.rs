//! Measures durations for a histogram.

use {
    opentelemetry::{KeyValue, metrics::Histogram},
    std::{fmt, time::Instant},
};

/// Measures one duration for a histogram. A stopwatch that is dropped records
/// nothing.
pub struct Stopwatch {
    histogram: Histogram<f64>,
    begin: Instant,
}

impl fmt::Debug for Stopwatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stopwatch")
            .field("begin", &self.begin)
            .finish_non_exhaustive()
    }
}

impl Stopwatch {
    pub(crate) fn start(histogram: Histogram<f64>) -> Self {
        Self {
            histogram,
            begin: Instant::now(),
        }
    }

    /// Records the time since the start, labelled with the outcome.
    pub fn close(self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        let seconds = self.begin.elapsed().as_secs_f64();
        self.histogram.record(seconds, &labels);
    }
}
