//! Measures the processor time and memory of a process between two samples.

use {
    crate::site::{ProcessUsage, SiteProcess},
    std::time::{Duration, Instant},
};

/// Usage of a process since its start, with the time of the reading.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    at: Instant,
    used: ProcessUsage,
}

/// Usage of a process between two samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time as a share of one core, in percent.
    pub(crate) core_percent: f64,
    /// Processor time, in seconds.
    pub(crate) processor_seconds: f64,
    /// Resident memory at the end, in kilobytes.
    pub(crate) kilobytes: f64,
    /// Growth of the resident memory, in kilobytes.
    pub(crate) grown_kilobytes: f64,
}

impl Sample {
    /// Reads the current usage of a process.
    pub(crate) fn take(process: &SiteProcess) -> Self {
        Self {
            at: Instant::now(),
            used: process.usage(),
        }
    }

    /// Returns the usage between `self` and the later sample `end`.
    pub(crate) fn until(self, end: Self) -> Usage {
        let seconds = end.at.duration_since(self.at).max(Duration::from_millis(1));
        let processor = end.used.processor.saturating_sub(self.used.processor);
        let processor_seconds = processor.as_secs_f64();
        let kilobytes = as_f64(end.used.memory_kilobytes);
        Usage {
            core_percent: 100.0 * processor_seconds / seconds.as_secs_f64(),
            processor_seconds,
            kilobytes,
            grown_kilobytes: kilobytes - as_f64(self.used.memory_kilobytes),
        }
    }
}

/// Returns the mean of each value; zeros where `usages` is empty.
pub(crate) fn mean(usages: &[Usage]) -> Usage {
    let mean_of = |part: fn(&Usage) -> f64| {
        usages.iter().map(part).sum::<f64>() / as_f64(usages.len() as u64).max(1.0)
    };
    Usage {
        core_percent: mean_of(|u| u.core_percent),
        processor_seconds: mean_of(|u| u.processor_seconds),
        kilobytes: mean_of(|u| u.kilobytes),
        grown_kilobytes: mean_of(|u| u.grown_kilobytes),
    }
}

/// Converts a count to a floating-point number.
#[allow(clippy::cast_precision_loss)] // counts stay far below 2^52
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}
