//! The history of one job, merged from the decision logs of all processes.

use {
    crate::LogLine,
    chestnutrun_types::{AgentId, DecisionEvent, EndKind, JobId},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// Result of one job, for lists.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSummary {
    /// Id of the job.
    pub job: JobId,
    /// When the job ended for its caller, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Outcome that the caller received, or `caller-gone` if the caller
    /// disconnected first.
    pub outcome: String,
    /// Time from the submission to the answer or the caller's disconnection.
    pub took: Duration,
}

/// The log lines about one job, from all processes.
#[derive(Clone, Debug)]
pub struct JobHistory {
    /// Lines about the job, oldest first.
    lines: Vec<LogLine>,
    /// Agents that were assigned tasks but have no line about the job.
    agents_without_lines: Vec<AgentId>,
    /// Number of lines that each process of this history left out.
    left_out: IndexMap<String, u64>,
}

/// Returns the result of each job that was answered or whose caller disconnected,
/// oldest first.
#[must_use]
pub fn summarize_jobs(lines: &[LogLine]) -> Vec<JobSummary> {
    let mut summaries: Vec<JobSummary> = lines
        .iter()
        .filter_map(|line| match &line.event {
            DecisionEvent::JobAnswered {
                job,
                outcome,
                took_ms,
                ..
            } => Some(JobSummary {
                job: job.clone(),
                at_us: line.at_us,
                outcome: outcome.to_string(),
                took: Duration::from_millis(*took_ms),
            }),
            DecisionEvent::CallerDisconnected { job, took_ms } => Some(JobSummary {
                job: job.clone(),
                at_us: line.at_us,
                outcome: "caller-gone".to_owned(),
                took: Duration::from_millis(*took_ms),
            }),
            _ => None,
        })
        .collect();
    summaries.sort_by_key(|summary| summary.at_us);
    summaries
}

impl JobHistory {
    /// Collects the lines about a job; returns none if there are no such lines.
    #[must_use]
    pub fn of(job: &str, lines: &[LogLine]) -> Option<Self> {
        let mut of_job: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.event.job().is_some_and(|id| **id == *job))
            .cloned()
            .collect();
        if of_job.is_empty() {
            return None;
        }
        of_job.sort_by_key(|line| line.at_us);
        let processes: IndexSet<&str> = of_job.iter().map(|line| &*line.process).collect();
        let placed = of_job.iter().filter_map(|line| match &line.event {
            DecisionEvent::TasksPlaced { agent, .. } => Some(agent),
            _ => None,
        });
        let agents_without_lines: IndexSet<AgentId> = placed
            .filter(|agent| !processes.contains(&***agent))
            .cloned()
            .collect();
        Some(Self {
            agents_without_lines: agents_without_lines.into_iter().collect(),
            left_out: count_left_out(lines, &processes),
            lines: of_job,
        })
    }

    /// Returns the lines, oldest first.
    #[must_use]
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Returns the agents that were assigned tasks but have no line about the job;
    /// their logs may be incomplete.
    #[must_use]
    pub fn agents_without_lines(&self) -> &[AgentId] {
        &self.agents_without_lines
    }

    /// Returns how many lines each process of this history left out, about any
    /// job.
    #[must_use]
    pub fn left_out(&self) -> &IndexMap<String, u64> {
        &self.left_out
    }

    /// Returns the longest time without a line, with the lines before and after it;
    /// none if there are fewer than two lines.
    #[must_use]
    pub fn longest_gap(&self) -> Option<(Duration, &LogLine, &LogLine)> {
        let pairs = self.lines.iter().zip(self.lines.iter().skip(1));
        let gap = |(a, b): &(&LogLine, &LogLine)| b.at_us.saturating_sub(a.at_us);
        let longest = pairs.max_by_key(gap)?;
        let length = Duration::from_micros(gap(&longest));
        Some((length, longest.0, longest.1))
    }

    /// Describes the view of the site on which the job was refused; none if it was refused
    /// without one.
    fn describe_forecast(&self) -> Option<String> {
        self.lines.iter().rev().find_map(|line| match &line.event {
            DecisionEvent::JobRefusedByForecast {
                wait_ms,
                left_ms,
                work_core_ms,
                rate_cpu_millis,
                view_age_ms,
                ..
            } => Some(format!(
                "room was expected after {wait_ms} ms, and the job had to start within \
                 {left_ms} ms: {work_core_ms} core-ms of work went first, endpoints worked at \
                 {rate_cpu_millis} thousandths of a core, seen {view_age_ms} ms before"
            )),
            _ => None,
        })
    }

    /// Describes in one sentence why the job ended with its outcome, or what took
    /// most of its time.
    #[must_use]
    pub fn cause(&self) -> String {
        let answered = self.lines.iter().rev().find_map(|line| match &line.event {
            DecisionEvent::JobAnswered {
                outcome,
                placed_after_ms,
                ..
            } => Some((outcome.as_ref(), *placed_after_ms)),
            _ => None,
        });
        match answered {
            Some(("refused-overload", _)) => self.describe_forecast().unwrap_or_else(|| {
                format!(
                    "no endpoint had free capacity in time; {}",
                    self.describe_load()
                )
            }),
            Some(("refused-no-endpoint", _)) => "no endpoint was connected to the entry".to_owned(),
            Some(("refused-never-fits", _)) => {
                "no endpoint is large enough and has the label that a task requires".to_owned()
            }
            Some(("refused-no-time", _)) => {
                "the job runs for longer than its caller waits".to_owned()
            }
            Some(("failed", _)) => self.describe_failed_job(),
            Some((_, Some(wait))) if self.has_failures() => {
                format!("first placed after {wait} ms; {}", self.describe_failures())
            }
            Some((_, wait)) => self.describe_slowest_part(wait.unwrap_or_default()),
            None => self.describe_missing_answer(),
        }
    }

    /// Describes why a job was answered as failed.
    fn describe_failed_job(&self) -> String {
        let crashes = self.lines.iter().find_map(|line| match line.event {
            DecisionEvent::JobGivenUp { crashes, .. } => Some(crashes),
            _ => None,
        });
        crashes.map_or_else(
            || format!("a task failed too often: {}", self.describe_failures()),
            |crashes| format!("{crashes} endpoints crashed while one of its tasks was there"),
        )
    }

    /// Describes why a job has no answer in the log.
    fn describe_missing_answer(&self) -> String {
        let is_entry_lost = self.lines.iter().any(|line| {
            matches!(&line.event, DecisionEvent::TaskStopped { reason, .. } if reason == "entry-lost")
        });
        let is_caller_disconnected = self
            .lines
            .iter()
            .any(|line| matches!(line.event, DecisionEvent::CallerDisconnected { .. }));
        if is_caller_disconnected {
            format!("the caller disconnected; {}", self.describe_failures())
        } else if is_entry_lost {
            "contact with its entry was lost, and the agents stopped its tasks".to_owned()
        } else {
            "its entry logged no answer: the entry ended, or its log is missing".to_owned()
        }
    }

    fn has_failures(&self) -> bool {
        self.lines.iter().any(|line| match &line.event {
            DecisionEvent::TaskReturned { .. } | DecisionEvent::StartRefused { .. } => true,
            DecisionEvent::TaskEnded { how, .. } => *how != EndKind::Done,
            _ => false,
        })
    }

    /// Lists returned tasks, refused starts and stopped runs, counted by reason and
    /// agent.
    fn describe_failures(&self) -> String {
        let mut counts: IndexMap<String, u32> = IndexMap::new();
        for line in &self.lines {
            let what = match &line.event {
                DecisionEvent::TaskReturned { agent, how, .. } => {
                    format!("{} at {agent}", how.name().replace('-', " "))
                }
                DecisionEvent::StartRefused { reason, .. } => {
                    format!("start {reason} at {}", line.process)
                }
                DecisionEvent::TaskStopped { reason, .. } => {
                    format!("stopped ({reason}) at {}", line.process)
                }
                _ => continue,
            };
            *counts.entry(what).or_default() += 1;
        }
        if counts.is_empty() {
            return "no task was returned, refused or stopped".to_owned();
        }
        let parts = counts
            .iter()
            .map(|(what, count)| format!("{count} x {what}"));
        parts.collect::<Vec<_>>().join(", ")
    }

    /// Describes how busy the entry was when the job was submitted.
    fn describe_load(&self) -> String {
        let submitted = self.lines.iter().find_map(|line| match line.event {
            DecisionEvent::JobTaken {
                held,
                caller_waits_ms,
                ..
            } => Some((held, caller_waits_ms)),
            _ => None,
        });
        match submitted {
            Some((held, waits)) => {
                format!("its entry held {held} jobs, and its caller waited for {waits} ms")
            }
            None => "the log line of its submission is missing".to_owned(),
        }
    }

    /// Describes what took most time in a job without returned, refused or stopped
    /// runs.
    fn describe_slowest_part(&self, wait_ms: u64) -> String {
        let runs = self.lines.iter().filter_map(|line| match line.event {
            DecisionEvent::TaskEnded { ran_ms, .. } => Some((ran_ms, &line.process)),
            _ => None,
        });
        match runs.max_by_key(|(ran, _)| *ran) {
            Some((ran, process)) if ran >= wait_ms => {
                format!(
                    "its longest run took {ran} ms at {process}; the job was placed after {wait_ms} ms"
                )
            }
            _ => format!(
                "it waited {wait_ms} ms for free capacity; {}",
                self.describe_load()
            ),
        }
    }
}

/// Counts the lines that each of `processes` left out.
fn count_left_out(lines: &[LogLine], processes: &IndexSet<&str>) -> IndexMap<String, u64> {
    let mut counts: IndexMap<String, u64> = IndexMap::new();
    for line in lines {
        if let DecisionEvent::LinesLeftOut { count } = line.event
            && processes.contains(&*line.process)
        {
            *counts.entry(line.process.to_string()).or_default() += count;
        }
    }
    counts
}
