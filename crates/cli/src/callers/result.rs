//! Shows the results of jobs.

use {
    crate::{
        CliError, Outcome,
        arguments::{CallerOptions, CommonOptions},
        callers::wait::{get_job, wait_for_answer},
        client::HttpClient,
        output::show_job,
        site::CallerSite,
    },
    std::time::{Duration, Instant},
};

/// Shows a job's answer, or its state if it has not ended within `wait`.
pub(crate) async fn result(
    options: CallerOptions,
    common: &CommonOptions,
    key: &str,
    wait: Duration,
) -> Result<Outcome, CliError> {
    let site = CallerSite::new(options, common)?;
    let client = HttpClient::new().await?;
    let until = Instant::now() + wait;
    let first = get_job(&client, &site, key, Duration::ZERO).await?;
    let page = wait_for_answer(&client, &site, key, first, until).await?;
    Ok(show_job(&page, common.json))
}
