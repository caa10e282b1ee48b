//! Waits for answers and compares them with what a scenario expects.

use {
    crate::scenario::{CallResult, ExpectStep, ScenarioError, runner::Runner},
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Time limit at the end of a scenario for the calls that no step waited for.
const LAST_CALLS_WITHIN: Duration = Duration::from_secs(65);

impl Runner {
    pub(super) async fn expect(&mut self, step: &ExpectStep) -> Result<(), ScenarioError> {
        let since = Instant::now();
        for name in &step.of {
            let left = step.within.saturating_sub(since.elapsed());
            let results = self.collect(name, left).await?;
            for result in &results {
                check(result, step)?;
            }
            self.write_line(format!("< {name}: {}", summary(step, results.len())));
            self.results.extend(results);
        }
        self.record_duration(&format!("answers of {}", step.of.join(", ")), since);
        Ok(())
    }

    /// Waits for the calls that no step has waited for.
    pub(super) async fn collect_rest(&mut self) -> Result<(), ScenarioError> {
        for name in self.pending_calls() {
            let results = self.collect(&name, LAST_CALLS_WITHIN).await?;
            self.results.extend(results);
        }
        Ok(())
    }

    /// Waits until all calls with this name have ended.
    async fn collect(
        &mut self,
        name: &str,
        within: Duration,
    ) -> Result<Vec<CallResult>, ScenarioError> {
        let deadline = tokio::time::Instant::now() + within;
        let calls = self.take_calls(name);
        if calls.is_empty() {
            return Err(ScenarioError::Unknown(format!("call {name}")));
        }
        let mut results = Vec::new();
        for call in calls {
            let left = deadline.saturating_duration_since(tokio::time::Instant::now());
            match timeout(left, call).await {
                Ok(Ok(result)) => results.push(result),
                _ => return Err(ScenarioError::TooLate(format!("answer of {name}"))),
            }
        }
        Ok(results)
    }
}

fn check(result: &CallResult, step: &ExpectStep) -> Result<(), ScenarioError> {
    let is_status = step.status.contains(&result.status());
    let is_job = step
        .job
        .as_ref()
        .is_none_or(|job| result.body()["status"] == job.as_str());
    let is_problem = step
        .problem
        .as_ref()
        .is_none_or(|name| result.body()["type"] == format!("urn:chestnutrun:problem:{name}"));
    let allowed = |outcome: &String| step.outcomes.is_empty() || step.outcomes.contains(outcome);
    if is_status && is_job && is_problem && result.outcomes().iter().all(allowed) {
        return Ok(());
    }
    let body: String = result.body().to_string().chars().take(600).collect();
    Err(ScenarioError::Unexpected(format!(
        "call {} for job {} got status {} and {body}; expected {}",
        result.name,
        result.submission.key,
        result.status(),
        summary(step, 1),
    )))
}

fn summary(step: &ExpectStep, count: usize) -> String {
    let status: Vec<String> = step.status.iter().map(u16::to_string).collect();
    let mut parts = vec![
        format!("{count} answers"),
        format!("status {}", status.join(" or ")),
    ];
    parts.extend(step.job.clone());
    if !step.outcomes.is_empty() {
        parts.push(format!("tasks {}", step.outcomes.join(" or ")));
    }
    parts.extend(step.problem.as_ref().map(|name| format!("problem {name}")));
    parts.push(format!("within {:?}", step.within));
    parts.join(", ")
}
