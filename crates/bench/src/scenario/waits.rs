//! Steps that wait until a condition holds within a time limit.

use {
    crate::{
        scenario::{RelinkedStep, ScenarioError, ServingStep, StartedStep, runner::Runner},
        site::Site,
    },
    std::time::{Duration, Instant},
    tokio::time::{sleep, timeout},
};

/// Pause between two checks of a condition.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for one check, because a frozen process does not answer.
const CHECK_WITHIN: Duration = Duration::from_millis(500);

impl Runner {
    /// Waits until a condition holds; returns an error if it takes longer than
    /// `within`, also if the last check succeeds too late.
    pub(super) async fn wait_for(
        &self,
        what: &str,
        within: Duration,
        condition: impl AsyncFn(&Site) -> bool,
    ) -> Result<(), ScenarioError> {
        let deadline = Instant::now() + within;
        loop {
            let holds = timeout(CHECK_WITHIN, condition(&self.site)).await;
            if Instant::now() >= deadline {
                return Err(ScenarioError::TooLate(what.to_owned()));
            }
            if holds == Ok(true) {
                return Ok(());
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    pub(super) async fn relinked(&mut self, step: &RelinkedStep) -> Result<(), ScenarioError> {
        let text = format!("{} has new links within {:?}", step.at, step.within);
        self.write_line(format!("= {text}"));
        let entry = usize::from(self.entry(&step.at)?);
        let plan = &self.site.plan;
        let expected = u64::from(plan.endpoints() + plan.entries() - 1);
        let since = Instant::now();
        self.wait_for(&text, step.within, async |site| {
            let relay = site.relays.get(entry);
            relay.is_some_and(|relay| relay.opened_since_silence() >= expected)
        })
        .await?;
        self.record_duration("silent links replaced", since);
        Ok(())
    }

    pub(super) async fn started(&mut self, step: &StartedStep) -> Result<(), ScenarioError> {
        self.write_line(format!("= {} tasks of {} started", step.tasks, step.of));
        let keys: Vec<String> = self
            .submissions(&step.of)?
            .iter()
            .map(|submission| submission.key.clone())
            .collect();
        let what = format!("starts of {}", step.of);
        self.wait_for(&what, step.within, async |site| {
            let mut count = 0;
            for endpoint in 0..site.plan.endpoints() {
                let log = site.starts(endpoint).await.unwrap_or_default();
                let is_of_step = |key: &str| keys.iter().any(|k| k == key);
                count += log
                    .starts
                    .iter()
                    .filter(|s| is_of_step(&s.task.key))
                    .count();
            }
            count >= step.tasks
        })
        .await
    }

    pub(super) async fn serving(&mut self, step: &ServingStep) -> Result<(), ScenarioError> {
        let text = format!(
            "{} endpoints served within {:?}",
            step.endpoints, step.within
        );
        self.write_line(format!("= {text}"));
        let since = Instant::now();
        self.wait_for(&text, step.within, async |site| {
            site.is_serving(step.endpoints).await
        })
        .await?;
        self.record_duration("serving again", since);
        Ok(())
    }
}
