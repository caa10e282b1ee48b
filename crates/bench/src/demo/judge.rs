//! Compares the answers with the start logs of the endpoints.

use {
    crate::{
        demo::{JobResult, Opening, Verdict},
        standins::StartLog,
    },
    indexmap::IndexMap,
};

/// Findings from the answers and the start logs of the endpoints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Judgement {
    /// Number of submitted tasks.
    pub tasks: usize,
    /// Number of tasks that started exactly once.
    pub started_once: usize,
    /// Number of tasks that started more than once.
    pub started_repeatedly: usize,
    /// Most tasks that any endpoint ran at once.
    pub most_at_once: u32,
    /// Description of each violation of a guarantee, in one line.
    pub violations: Vec<String>,
}

/// Checks the results of an opening against the start logs of the endpoints.
///
/// `slots` is the number of slots of each endpoint.
#[must_use]
pub fn judge(opening: &Opening, results: &[JobResult], logs: &[StartLog], slots: u32) -> Judgement {
    let mut starts: IndexMap<String, usize> = IndexMap::new();
    for start in logs.iter().flat_map(|log| &log.starts) {
        *starts.entry(start.task.to_string()).or_default() += 1;
    }
    let mut judgement = Judgement {
        tasks: opening.jobs.iter().map(|job| job.run_times.len()).sum(),
        started_once: starts.values().filter(|count| **count == 1).count(),
        started_repeatedly: starts.values().filter(|count| **count > 1).count(),
        most_at_once: logs.iter().map(|log| log.most_at_once).max().unwrap_or(0),
        violations: Vec::new(),
    };
    for (task, count) in starts.iter().filter(|(_, count)| **count > 1) {
        judgement.report(format!("{task} started {count} times"));
    }
    if judgement.most_at_once > slots {
        let most = judgement.most_at_once;
        judgement.report(format!(
            "an endpoint with {slots} slots ran {most} tasks at once"
        ));
    }
    if results.len() != opening.jobs.len() {
        let missing = opening.jobs.len() - results.len();
        judgement.report(format!("{missing} jobs have no result"));
    }
    for result in results {
        judgement.judge_job(opening, result, &starts);
    }
    judgement
}

impl Judgement {
    fn report(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Checks the answers to one job.
    fn judge_job(
        &mut self,
        opening: &Opening,
        result: &JobResult,
        starts: &IndexMap<String, usize>,
    ) {
        let job = &opening.jobs[result.number];
        let name = format!("{}/{}", job.kind.contract, job.key);
        let started = (0..job.run_times.len())
            .filter(|index| starts.contains_key(&format!("{name}#{index}")))
            .count();
        match result.verdict {
            Verdict::Completed if started < job.run_times.len() => {
                self.report(format!(
                    "{name}: answered as complete, but only {started} tasks started"
                ));
            }
            Verdict::Refused if started > 0 && result.resubmission_verdict.is_none() => {
                self.report(format!(
                    "{name}: answered as refused, but {started} tasks started"
                ));
            }
            Verdict::Invalid => self.report(format!(
                "{name}: the answer is incomplete or not valid for the job"
            )),
            Verdict::Missing => self.report(format!("{name}: no answer to the first submission")),
            _ => {}
        }
        if matches!(
            result.resubmission_verdict,
            Some(Verdict::Invalid | Verdict::Missing)
        ) {
            self.report(format!("{name}: the resubmission got no valid answer"));
        }
        if !result.answers_agree {
            self.report(format!("{name}: the answers to the two submissions differ"));
        }
    }
}
