//! Submits jobs.

use {
    crate::{
        CliError, Outcome,
        arguments::{CallerOptions, CommonOptions, JobSource},
        callers::{job_body::job_body, wait::wait_for_answer},
        client::{HttpClient, Request},
        output::show_job,
        site::CallerSite,
    },
    ntex::http::Method,
    std::time::{Duration, Instant},
    uuid::Uuid,
};

/// Submits a job and waits for its answer.
pub(crate) async fn submit(
    options: CallerOptions,
    common: &CommonOptions,
    key: Option<String>,
    wait: Duration,
    source: JobSource,
) -> Result<Outcome, CliError> {
    let site = CallerSite::new(options, common)?;
    let is_new = key.is_none();
    let key = key.unwrap_or_else(|| Uuid::new_v4().to_string());
    let body = job_body(source)?;
    let client = HttpClient::new().await?;
    let mut request = Request::new(Method::POST, site.jobs_url() + "?wait=0s", &site.token)
        .header("idempotency-key", &key)
        .body(body);
    if is_new {
        // No earlier request can have used a key that was just generated.
        request = request.header("submission-attempt", "1");
    }
    let until = Instant::now() + wait;
    let reply = client.send(request).await.inspect_err(|_| {
        eprintln!("submit again with --key {key}: the job runs only once");
    })?;
    let page = wait_for_answer(&client, &site, &key, reply.json()?, until).await?;
    Ok(show_job(&page, common.json))
}
