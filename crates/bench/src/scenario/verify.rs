//! Checks the answers of a run against the logs of starts of the endpoints.

use {
    crate::{
        scenario::{CallKind, CallResult, ClosingChecks, ScenarioError, runner::Runner},
        standins::StartRecord,
    },
    indexmap::IndexMap,
    std::time::{Duration, SystemTime},
};

/// How long after an accepted drain an endpoint may still start tasks.
const DRAIN_WITHIN: Duration = Duration::from_secs(3);

/// Number of starts of each task, by contract, key and index of the task.
type Starts = IndexMap<(String, String, usize), usize>;

impl Runner {
    /// Checks the answers and start logs against the dispatcher's guarantees, then
    /// makes the scenario's closing checks.
    pub(super) async fn verify(&mut self, closing: ClosingChecks) -> Result<(), ScenarioError> {
        let mut starts = Starts::new();
        for endpoint in 0..self.site.plan.endpoints() {
            let log = self.site.starts(endpoint).await.unwrap_or_default();
            self.verify_drains(endpoint, &log.starts)?;
            if log.most_at_once > self.site.plan.slots_of_endpoint() {
                return violation(format!(
                    "endpoint-{endpoint} ran {} tasks at once, more than its slots",
                    log.most_at_once
                ));
            }
            for start in log.starts {
                let task = start.task;
                let name = (
                    task.contract.to_string(),
                    task.key.to_string(),
                    task.index.into(),
                );
                *starts.entry(name).or_default() += 1;
            }
        }
        verify_starts(&starts)?;
        self.verify_answers(&starts)?;
        self.write_line("= no task started twice, every answer whole and its caller's own");
        self.verify_closing(closing, starts.len())
    }

    fn verify_answers(&self, starts: &Starts) -> Result<(), ScenarioError> {
        let mut by_job: IndexMap<(&str, &str), Vec<&CallResult>> = IndexMap::new();
        for result in &self.results {
            let submission = &result.submission;
            let job = (submission.contract.as_str(), submission.key.as_str());
            by_job.entry(job).or_default().push(result);
        }
        for results in by_job.values() {
            verify_refusals(results, starts)?;
            let answers: Vec<&CallResult> =
                results.iter().filter(|r| r.is_answer()).copied().collect();
            for answer in &answers {
                verify_answer(answer, starts)?;
                if answer.body() != answers[0].body() {
                    let key = &answer.submission.key;
                    return violation(format!("job {key} got two different answers"));
                }
            }
        }
        Ok(())
    }

    fn verify_drains(&self, endpoint: u16, starts: &[StartRecord]) -> Result<(), ScenarioError> {
        for (position, change) in self.drains.iter().enumerate() {
            if change.endpoint != endpoint || !change.drained {
                continue;
            }
            let mut later = self.drains[position + 1..].iter();
            let undrain = later.find(|c| c.endpoint == endpoint && !c.drained);
            let until = undrain.map_or_else(SystemTime::now, |change| change.at);
            let from = change.at + DRAIN_WITHIN;
            if starts
                .iter()
                .any(|start| start.at > from && start.at < until)
            {
                return violation(format!(
                    "endpoint-{endpoint} started a task after its drain"
                ));
            }
        }
        Ok(())
    }

    fn verify_closing(
        &mut self,
        closing: ClosingChecks,
        starts: usize,
    ) -> Result<(), ScenarioError> {
        if let Some(expected) = closing.starts {
            self.write_line(format!("= {expected} tasks started"));
            if starts != expected {
                return violation(format!("{starts} tasks started, not {expected}"));
            }
        }
        if closing.zero_failed {
            self.write_line("= every submission completed");
            let is_complete =
                |result: &&CallResult| result.is_answer() && result.body()["status"] == "complete";
            let submitted = self
                .results
                .iter()
                .filter(|result| result.kind == CallKind::Submit);
            let failed: Vec<&CallResult> =
                submitted.filter(|result| !is_complete(result)).collect();
            if let Some(result) = failed.first() {
                let body: String = result.body().to_string().chars().take(600).collect();
                let (count, key, status) = (failed.len(), &result.submission.key, result.status());
                return violation(format!(
                    "{count} submissions did not complete, the first is job {key}: status {status}, {body}"
                ));
            }
        }
        Ok(())
    }
}

fn verify_starts(starts: &Starts) -> Result<(), ScenarioError> {
    match starts.iter().find(|(_, count)| **count > 1) {
        None => Ok(()),
        Some(((contract, key, index), count)) => {
            violation(format!("{contract}/{key}#{index} started {count} times"))
        }
    }
}

/// Checks that no task of a job started if every answer says `not_run`.
fn verify_refusals(results: &[&CallResult], starts: &Starts) -> Result<(), ScenarioError> {
    let says_not_run =
        |result: &&CallResult| result.body()["not_run"] == true && result.status() != 404;
    if !results.iter().all(says_not_run) {
        return Ok(());
    }
    let submission = &results[0].submission;
    let is_of =
        |name: &(String, String, usize)| name.0 == submission.contract && name.1 == submission.key;
    if starts.keys().any(is_of) {
        return violation(format!(
            "job {} was answered as not run, but a task started",
            submission.key
        ));
    }
    Ok(())
}

fn verify_answer(result: &CallResult, starts: &Starts) -> Result<(), ScenarioError> {
    let submission = &result.submission;
    let body = result.body();
    if body["contract"] != submission.contract.as_str() || body["key"] != submission.key.as_str() {
        return violation(format!(
            "the caller of job {} got the answer of another job",
            submission.key
        ));
    }
    let outcomes = result.outcomes();
    if outcomes.len() != usize::from(submission.tasks) {
        return violation(format!(
            "the answer of job {} has {} of {} tasks",
            submission.key,
            outcomes.len(),
            submission.tasks
        ));
    }
    let is_complete = outcomes.iter().all(|outcome| outcome == "completed");
    if is_complete != (body["status"] == "complete") {
        return violation(format!(
            "the status of job {} contradicts the outcomes of its tasks",
            submission.key
        ));
    }
    for (index, outcome) in outcomes.iter().enumerate() {
        let name = (submission.contract.clone(), submission.key.clone(), index);
        let has_started = starts.contains_key(&name);
        let must_start = match outcome.as_str() {
            "completed" | "failed-while-running" => Some(true),
            "outcome-unknown" => None,
            _ => Some(false),
        };
        if must_start.is_some_and(|must| must != has_started) {
            let text = format!(
                "task {}#{index} has the outcome {outcome}; found in the start logs: {has_started}",
                submission.key
            );
            return violation(text);
        }
        let output = &body["tasks"][index]["output"];
        if outcome == "completed" && *output != submission.output(index) {
            return violation(format!(
                "task {}#{index} has an unexpected output",
                submission.key
            ));
        }
    }
    Ok(())
}

fn violation<T>(text: String) -> Result<T, ScenarioError> {
    Err(ScenarioError::Unexpected(text))
}
