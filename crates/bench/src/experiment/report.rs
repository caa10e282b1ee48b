//! The report of an experiment, as a table for the terminal and as JSON.

use {
    crate::experiment::{Measures, PolicyKind, Variant, Window},
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde::Serialize,
    std::fmt::Write,
};

/// Report of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub name: String,
    /// Whether the runs used real processes.
    pub real: bool,
    /// Seeds of the arrivals.
    pub seeds: Vec<u64>,
    /// One report for each policy and variant.
    pub runs: Vec<RunReport>,
}

/// Report of one policy on one variant of the arrivals.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Policy of the run.
    pub policy: PolicyKind,
    /// Arrivals of the run.
    pub variant: Variant,
    /// Fraction of the slots that was busy.
    pub busy: f64,
    /// Fraction of the slots that was busy while at least one task waited.
    pub busy_while_waiting: f64,
    /// Most tasks that waited at once.
    pub most_waiting: u64,
    /// Tasks that were submitted.
    pub tasks: u64,
    /// Tasks that did not complete, by outcome.
    pub failures: IndexMap<String, u64>,
    /// Tasks that failed at an endpoint that fails everything.
    #[serde(rename = "eaten")]
    pub failed_by_broken: u64,
    /// Messages between processes per task; zero for a run of the decision code
    /// alone.
    pub messages_per_task: f64,
    /// Response times by contract, class of tasks and window.
    pub groups: Vec<GroupReport>,
    /// Busy slot-seconds in each second of the run, by contract; of the first seed.
    pub used: Vec<Vec<f64>>,
}

/// Response times of one group of tasks.
#[derive(Clone, Debug, Serialize)]
pub struct GroupReport {
    /// Name of the contract.
    pub contract: String,
    /// Name of the class of tasks in the mix.
    pub name: String,
    /// Part of the run in which the tasks arrived.
    pub window: Window,
    /// Number of completed tasks.
    pub count: u64,
    /// Median response time, in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the response time, in milliseconds.
    pub p99_ms: f64,
    /// Median of response time divided by run time.
    pub median_ratio: f64,
    /// 99th percentile of response time divided by run time.
    pub p99_ratio: f64,
    /// Median of response time minus run time, in milliseconds.
    pub median_overhead_ms: f64,
    /// 99th percentile of response time minus run time, in milliseconds.
    pub p99_overhead_ms: f64,
}

impl RunReport {
    /// Creates the report of a run from its measurements.
    #[must_use]
    pub fn new(policy: PolicyKind, variant: Variant, measures: &Measures) -> Self {
        let groups = measures.groups.iter().map(|(key, responses)| GroupReport {
            contract: key.0.clone(),
            name: key.1.clone(),
            window: key.2,
            count: responses.response.len(),
            median_ms: quantile(&responses.response, 0.5),
            p99_ms: quantile(&responses.response, 0.99),
            median_ratio: quantile(&responses.ratio, 0.5),
            p99_ratio: quantile(&responses.ratio, 0.99),
            median_overhead_ms: quantile(&responses.overhead, 0.5),
            p99_overhead_ms: quantile(&responses.overhead, 0.99),
        });
        Self {
            policy,
            variant,
            busy: measures.busy_fraction(),
            busy_while_waiting: measures.busy_waiting_fraction(),
            most_waiting: measures.most_waiting,
            tasks: measures.tasks,
            failures: measures.failures.clone(),
            failed_by_broken: measures.failed_by_broken,
            messages_per_task: thousandths(measures.messages) * 1_000.0
                / (thousandths(measures.tasks) * 1_000.0).max(1.0),
            groups: groups.collect(),
            used: measures.used.clone(),
        }
    }

    /// Returns the group of this run that has the same contract, name and window as
    /// `other`.
    fn matching_group(&self, other: &GroupReport) -> Option<&GroupReport> {
        self.groups.iter().find(|group| {
            group.contract == other.contract
                && group.name == other.name
                && group.window == other.window
        })
    }
}

impl Report {
    /// Returns the table that is printed to the terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        let mode = if self.real {
            "real processes"
        } else {
            "decisions alone"
        };
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{} ({mode}, seeds {:?})", self.name, self.seeds);
        let is_full = |run: &&RunReport| run.variant == Variant::Full;
        for run in self.runs.iter().filter(is_full) {
            self.write_run(&mut out, run);
        }
        out
    }

    fn write_run(&self, out: &mut String, run: &RunReport) {
        let _ = writeln!(
            out,
            "\n{:<15} {:?}: {} tasks, busy {:.1}%, while work waits {:.1}%, most waiting {}, \
             messages per task {:.2}, failed by broken endpoints {}, not completed {:?}",
            run.policy,
            run.variant,
            run.tasks,
            run.busy * 100.0,
            run.busy_while_waiting * 100.0,
            run.most_waiting,
            run.messages_per_task,
            run.failed_by_broken,
            run.failures,
        );
        let _ = writeln!(
            out,
            "  {:<10} {:<12} {:<6} {:>8} {:>10} {:>10} {:>8} {:>8} {:>9} {:>9}  p99 compared with",
            "contract",
            "name",
            "window",
            "count",
            "p50 ms",
            "p99 ms",
            "x run",
            "p99 x",
            "over p50",
            "over p99"
        );
        let mut groups: Vec<&GroupReport> = run.groups.iter().collect();
        groups.sort_by_key(|group| (group.window, &group.contract, &group.name));
        for group in groups {
            let _ = writeln!(
                out,
                "  {:<10} {:<12} {:<6} {:>8} {:>10.2} {:>10.2} {:>8.3} {:>8.3} {:>9.2} {:>9.2}  {}",
                group.contract,
                group.name,
                format!("{:?}", group.window),
                group.count,
                group.median_ms,
                group.p99_ms,
                group.median_ratio,
                group.p99_ratio,
                group.median_overhead_ms,
                group.p99_overhead_ms,
                self.compare_variants(run, group),
            );
        }
    }

    /// Returns the ratio of the group's 99th percentile to that of the same policy
    /// on each other variant.
    fn compare_variants(&self, run: &RunReport, group: &GroupReport) -> String {
        if run.variant != Variant::Full {
            return String::new();
        }
        let others = self
            .runs
            .iter()
            .filter(|other| other.policy == run.policy && other.variant != Variant::Full);
        let compared = others.filter_map(|other| {
            let other_group = other.matching_group(group)?;
            let ratio = group.p99_ms / other_group.p99_ms.max(f64::EPSILON);
            Some(format!("{ratio:.2}x {:?}", other.variant))
        });
        compared.collect::<Vec<_>>().join(", ")
    }
}

/// Returns a quantile divided by 1,000: microseconds become milliseconds, and
/// thousandths become a plain ratio.
fn quantile(histogram: &Histogram<u64>, at: f64) -> f64 {
    thousandths(histogram.value_at_quantile(at))
}

fn thousandths(value: u64) -> f64 {
    std::time::Duration::from_micros(value).as_secs_f64() * 1_000.0
}
