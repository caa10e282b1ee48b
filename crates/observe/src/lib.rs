//! Observability for operators: logs, metrics and the timeline.

mod decision_log;
mod dispatch_metrics;
mod event;
mod exporter;
mod job_history;
mod log_buffer;
mod logs;
pub mod merged_timeline;
mod metrics;
mod ready_writer;
mod stopwatch;
mod timeline;

pub use {
    decision_log::{DecisionLog, LogLine},
    dispatch_metrics::DispatchMetrics,
    event::{Event, EventKind, ProcessId, Sequence},
    exporter::as_u64,
    job_history::{JobHistory, JobSummary, summarize_jobs},
    log_buffer::LogBuffer,
    logs::{flush_logs, left_out_log_lines, report_error, start_logs},
    metrics::{Metrics, MetricsError},
    stopwatch::Stopwatch,
    timeline::Timeline,
};
