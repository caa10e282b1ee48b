//! Measures an endpoint without the dispatcher.

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

/// Number of measured runs.
const RUNS: u16 = 20;

/// Run time of each run, in milliseconds.
const RUN_MILLISECONDS: u64 = 20;

/// Sends runs directly to the first endpoint and returns the overhead of each: its
/// response time minus its run time.
pub(crate) async fn endpoint_alone(site: &Site) -> Result<Vec<Duration>, SiteError> {
    let mut overheads = Vec::new();
    for index in 0..RUNS {
        let body = request_body(index)?;
        let begin = Instant::now();
        site.client
            .send_as_operator(Method::POST, site.plan.endpoint_address(0), "/run", body)
            .await?;
        let run_time = Duration::from_millis(RUN_MILLISECONDS);
        overheads.push(begin.elapsed().saturating_sub(run_time));
    }
    Ok(overheads)
}

/// Returns the body of the request that starts run number `index`.
fn request_body(index: u16) -> Result<String, SiteError> {
    let serialization_error =
        |e: serde_json::Error| SiteError::NoAnswer("/run".to_owned(), e.to_string());
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
        input: serde_json::to_string(&input).map_err(serialization_error)?,
    };
    serde_json::to_string(&request).map_err(serialization_error)
}
