//! The story of one job, put together from the logs of all processes.

use {
    crate::LogLine,
    chestnutrun_types::{AgentId, DecisionEvent, EndKind, JobId},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// What became of one job, for lists.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// When it was answered, in microseconds since 1970.
    pub at_us: u64,
    /// What its caller was told.
    pub outcome: String,
    /// Time to the answer.
    pub took: Duration,
}

/// The story of one job.
#[derive(Clone, Debug)]
pub struct Story {
    lines: Vec<LogLine>,
    /// Agents that got tasks and of which there is no line.
    missing: Vec<AgentId>,
    /// Processes of which lines are missing, and how many.
    left_out: IndexMap<String, u64>,
}

/// Returns what became of each job that was answered, in the order of time.
#[must_use]
pub fn summaries(lines: &[LogLine]) -> Vec<JobSummary> {
    let mut summaries: Vec<JobSummary> = lines
        .iter()
        .filter_map(|line| match &line.note {
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

impl Story {
    /// Puts the story of a job together; none where no line is about it.
    #[must_use]
    pub fn of(job: &str, lines: &[LogLine]) -> Option<Self> {
        let mut of_job: Vec<LogLine> = lines
            .iter()
            .filter(|line| line.note.job().is_some_and(|id| **id == *job))
            .cloned()
            .collect();
        if of_job.is_empty() {
            return None;
        }
        of_job.sort_by_key(|line| line.at_us);
        let heard: IndexSet<&str> = of_job.iter().map(|line| &*line.process).collect();
        let placed = of_job.iter().filter_map(|line| match &line.note {
            DecisionEvent::TasksPlaced { agent, .. } => Some(agent),
            _ => None,
        });
        let missing: IndexSet<AgentId> = placed
            .filter(|agent| !heard.contains(&***agent))
            .cloned()
            .collect();
        Some(Self {
            missing: missing.into_iter().collect(),
            left_out: left_out(lines, &heard),
            lines: of_job,
        })
    }

    /// Returns the lines, the oldest first.
    #[must_use]
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Returns agents that got tasks and of which there is no line.
    #[must_use]
    pub fn missing(&self) -> &[AgentId] {
        &self.missing
    }

    /// Returns processes of the story that left lines out, and how many.
    #[must_use]
    pub fn left_out(&self) -> &IndexMap<String, u64> {
        &self.left_out
    }

    /// Returns the longest time without a line, and the lines around it.
    #[must_use]
    pub fn longest_gap(&self) -> Option<(Duration, &LogLine, &LogLine)> {
        let pairs = self.lines.iter().zip(self.lines.iter().skip(1));
        let gap = |(a, b): &(&LogLine, &LogLine)| b.at_us.saturating_sub(a.at_us);
        let longest = pairs.max_by_key(gap)?;
        let length = Duration::from_micros(gap(&longest));
        Some((length, longest.0, longest.1))
    }

    /// Says in one sentence why the job ended as it did and when it did.
    #[must_use]
    pub fn cause(&self) -> String {
        let answered = self.lines.iter().rev().find_map(|line| match &line.note {
            DecisionEvent::JobAnswered {
                outcome,
                placed_after_ms,
                ..
            } => Some((outcome.as_ref(), *placed_after_ms)),
            _ => None,
        });
        match answered {
            Some(("refused-overload", _)) => {
                format!("no endpoint had room in time; {}", self.load())
            }
            Some(("refused-no-endpoint", _)) => "no endpoint was linked to the entry".to_owned(),
            Some(("refused-never-fits", _)) => {
                "no endpoint is large enough or has the label that a task requires".to_owned()
            }
            Some(("failed", _)) => format!("a task failed too often: {}", self.returns()),
            Some((_, Some(wait))) if self.has_trouble() => {
                format!("first placed after {wait} ms; {}", self.returns())
            }
            Some((_, wait)) => self.slowest_part(wait.unwrap_or_default()),
            None => self.unanswered(),
        }
    }

    /// Says what happened to a job whose entry told no answer.
    fn unanswered(&self) -> String {
        let is_lost = self.lines.iter().any(|line| {
            matches!(&line.note, DecisionEvent::TaskStopped { reason, .. } if reason == "entry-lost")
        });
        let is_gone = self
            .lines
            .iter()
            .any(|line| matches!(line.note, DecisionEvent::CallerDisconnected { .. }));
        if is_gone {
            format!("the caller went away; {}", self.returns())
        } else if is_lost {
            "its entry was lost: agents heard no more of it and stopped its tasks".to_owned()
        } else {
            "its entry wrote no answer: it ended, or its log is missing".to_owned()
        }
    }

    fn has_trouble(&self) -> bool {
        self.lines.iter().any(|line| match &line.note {
            DecisionEvent::TaskReturned { .. } | DecisionEvent::StartRefused { .. } => true,
            DecisionEvent::TaskEnded { how, .. } => *how != EndKind::Done,
            _ => false,
        })
    }

    /// Counts why tasks came back, by agent.
    fn returns(&self) -> String {
        let mut counts: IndexMap<String, u32> = IndexMap::new();
        for line in &self.lines {
            let what = match &line.note {
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
            return "no task came back".to_owned();
        }
        let parts = counts
            .iter()
            .map(|(what, count)| format!("{count} x {what}"));
        parts.collect::<Vec<_>>().join(", ")
    }

    fn load(&self) -> String {
        let held = self.lines.iter().find_map(|line| match line.note {
            DecisionEvent::JobTaken { held, slack_ms, .. } => Some((held, slack_ms)),
            _ => None,
        });
        match held {
            Some((held, slack)) => {
                format!("its entry held {held} jobs, and it could wait {slack} ms")
            }
            None => "the line of its arrival is missing".to_owned(),
        }
    }

    /// Names where a job that met no trouble spent its time.
    fn slowest_part(&self, wait_ms: u64) -> String {
        let runs = self.lines.iter().filter_map(|line| match line.note {
            DecisionEvent::TaskEnded { ran_ms, .. } => Some((ran_ms, &line.process)),
            _ => None,
        });
        match runs.max_by_key(|(ran, _)| *ran) {
            Some((ran, process)) if ran >= wait_ms => {
                format!(
                    "its longest run took {ran} ms beside {process}; it was placed after {wait_ms} ms"
                )
            }
            _ => format!("it waited {wait_ms} ms for room; {}", self.load()),
        }
    }
}

/// Counts the lines that processes of a story left out.
fn left_out(lines: &[LogLine], heard: &IndexSet<&str>) -> IndexMap<String, u64> {
    let mut counts: IndexMap<String, u64> = IndexMap::new();
    for line in lines {
        if let DecisionEvent::LinesLeftOut { count } = line.note
            && heard.contains(&*line.process)
        {
            *counts.entry(line.process.to_string()).or_default() += count;
        }
    }
    counts
}
