//! Times an endpoint without the dispatcher.

use {
    crate::{
        site::{Site, SiteError},
        standins::RunInput,
    },
    chestnutrun_agent::RunRequest,
    chestnutrun_types::TaskRef,
    ntex::http::Method,
    std::time::{Duration, Instant},
};

/// How many runs are timed.
const RUNS: u16 = 20;

/// Run time of each, in milliseconds.
const RUN_MILLISECONDS: u64 = 20;

/// Returns how long runs at an endpoint took beyond their run time.
pub(crate) async fn endpoint_alone(site: &Site) -> Result<Vec<Duration>, SiteError> {
    let mut beyond = Vec::new();
    for index in 0..RUNS {
        let body = request(index)?;
        let begin = Instant::now();
        site.client
            .send_as_operator(Method::POST, site.plan.endpoint_address(0), "/run", body)
            .await?;
        let run_time = Duration::from_millis(RUN_MILLISECONDS);
        beyond.push(begin.elapsed().saturating_sub(run_time));
    }
    Ok(beyond)
}

fn request(index: u16) -> Result<String, SiteError> {
    let failed = |e: serde_json::Error| SiteError::NoAnswer("/run".to_owned(), e.to_string());
    let input = RunInput {
        run_ms: RUN_MILLISECONDS,
        ..RunInput::default()
    };
    let request = RunRequest {
        task: TaskRef {
            contract: "endpoint-alone".into(),
            key: "run".into(),
            index,
        },
        kind: "endpoint-alone".into(),
        input: serde_json::to_string(&input).map_err(failed)?,
    };
    serde_json::to_string(&request).map_err(failed)
}
