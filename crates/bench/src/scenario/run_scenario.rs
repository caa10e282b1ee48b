//! Runs a scenario: starts its site, carries out its steps and checks the run.

use {
    crate::{
        scenario::{ClosingChecks, Scenario, ScenarioError, SiteSize, Transcript, runner::Runner},
        site::{Site, SitePlan},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
    tokio::time::sleep,
};

/// Upper bound of the random delay before each step of a variant, in milliseconds.
const MAX_DELAY_MS: u64 = 50;

/// Time limit for all processes of a new site to be linked.
const COMPLETE_WITHIN: Duration = Duration::from_secs(20);

/// The result of running a scenario.
#[derive(Debug)]
pub struct ScenarioRun {
    /// Text of the run, without times and ports, to compare with a golden file.
    pub transcript: Transcript,
    /// Measured times and memory, and the folder of the logs of a failed run.
    pub measurements: Vec<String>,
    /// Result of the steps and checks.
    pub result: Result<(), ScenarioError>,
}

/// Runs a scenario on a site of its own.
///
/// Variant 0 runs the steps as they are written. Every other variant waits a
/// random time before each step; its number is the seed.
///
/// # Errors
/// Returns an error if the site does not start or a contract is refused.
pub async fn run_scenario(scenario: Scenario, variant: u64) -> Result<ScenarioRun, ScenarioError> {
    let site = Site::start(plan(&scenario.site)).await?;
    for contract in &scenario.contracts {
        site.create_contract(&contract.contract()?).await?;
    }
    let mut runner = wait_until_complete(site).await?;
    runner.write_line(format!("# {}", scenario.about));
    let result = run_steps(&mut runner, &scenario, variant).await;
    let Runner {
        site,
        transcript,
        mut measurements,
        ..
    } = runner;
    // The logs of a failed run are kept.
    if result.is_ok() {
        site.close();
    } else {
        measurements.push(format!("logs in {}", site.folder().display()));
    }
    Ok(ScenarioRun {
        transcript,
        measurements,
        result,
    })
}

fn plan(size: &SiteSize) -> SitePlan {
    SitePlan::builder()
        .entries(size.entries)
        .endpoints(size.endpoints)
        .slots(size.slots)
        .relayed(size.relayed)
        .build()
}

async fn wait_until_complete(site: Site) -> Result<Runner, ScenarioError> {
    let deadline = std::time::Instant::now() + COMPLETE_WITHIN;
    while !site.is_complete().await {
        if std::time::Instant::now() >= deadline {
            let mut statuses = String::new();
            for entry in 0..site.plan.entries() {
                statuses = format!("{statuses}\n{}", site.status(entry).await);
            }
            return Err(ScenarioError::TooLate(format!(
                "links of the new site: {statuses}"
            )));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Runner::new(site).await
}

/// Carries out the steps and then checks the run, even if a step failed.
async fn run_steps(
    runner: &mut Runner,
    scenario: &Scenario,
    variant: u64,
) -> Result<(), ScenarioError> {
    let mut random = StdRng::seed_from_u64(variant);
    for step in &scenario.steps {
        if variant > 0 {
            sleep(Duration::from_millis(random.random_range(0..MAX_DELAY_MS))).await;
        }
        if let Err(error) = runner.step(step).await {
            return Err(match runner.verify(ClosingChecks::default()).await {
                Ok(()) => error,
                Err(violation) => ScenarioError::Unexpected(format!("{violation}; {error}")),
            });
        }
    }
    runner.collect_rest().await?;
    runner.verify(scenario.closing).await
}
