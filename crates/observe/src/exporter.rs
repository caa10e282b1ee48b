//! Registers metrics and encodes them in Prometheus format.

use {
    crate::MetricsError,
    opentelemetry::metrics::{Histogram, Meter, MeterProvider},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder, process_collector::ProcessCollector},
};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKET_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Registry and meter provider of one process's metrics.
pub(crate) struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Sets the exporter up. It collects the metrics only when
    /// [`show`](Self::show) is called.
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        registry
            .register(Box::new(ProcessCollector::for_self()))
            .map_err(|e| MetricsError::SetUp(e.to_string()))?;

        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|e| MetricsError::SetUp(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter with which metrics are registered.
    pub(crate) fn meter(&self) -> Meter {
        self.provider.meter("chestnutrun")
    }

    /// Returns all metrics in Prometheus format.
    pub(crate) fn show(&self) -> Result<String, MetricsError> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }

    /// Shuts the metrics down.
    pub(crate) fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::debug!("cannot shut the metrics down cleanly: {error}");
        }
    }
}

/// Registers a histogram of times in seconds.
pub(crate) fn seconds_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(BUCKET_BOUNDS.to_vec())
        .build()
}

/// Converts a count to the type of metric values; a count that does not fit becomes
/// the maximum.
#[must_use]
pub fn as_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
