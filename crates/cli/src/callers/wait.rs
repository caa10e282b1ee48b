//! Waits for a job's answer.

use {
    crate::{
        CliError,
        client::{HttpClient, Request},
        output::Spinner,
        site::CallerSite,
    },
    ntex::http::Method,
    serde_json::Value,
    std::{
        pin::pin,
        time::{Duration, Instant},
    },
    tokio::time::{interval, sleep},
};

/// Longest time that one request asks the server to wait.
const REQUEST_WAIT: Duration = Duration::from_secs(20);

/// Delay between requests. It is needed because a server may answer without waiting.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval at which the spinner is redrawn.
const DRAW_INTERVAL: Duration = Duration::from_millis(100);

/// Requests the job's page until the job has ended or `until` is reached; returns
/// the latest page. `first` is the page of an earlier request.
pub(crate) async fn wait_for_answer(
    client: &HttpClient,
    site: &CallerSite,
    key: &str,
    first: Value,
    until: Instant,
) -> Result<Value, CliError> {
    if is_ended(&first) || Instant::now() >= until {
        return Ok(first);
    }
    let spinner = Spinner::new(format!("{}/{key}", site.contract));
    let mut polling = pin!(poll_job(client, site, key, until));
    let mut draw = interval(DRAW_INTERVAL);
    let page = loop {
        tokio::select! {
            page = &mut polling => break page,
            _ = draw.tick() => spinner.draw(),
        }
    };
    spinner.close();
    page
}

/// Requests the job's page; the server waits up to `wait` for the job to end.
pub(crate) async fn get_job(
    client: &HttpClient,
    site: &CallerSite,
    key: &str,
    wait: Duration,
) -> Result<Value, CliError> {
    let url = format!("{}/{key}?wait={}ms", site.jobs_url(), wait.as_millis());
    let request = Request::new(Method::GET, url, &site.token).wait(wait);
    client.send(request).await?.json()
}

async fn poll_job(
    client: &HttpClient,
    site: &CallerSite,
    key: &str,
    until: Instant,
) -> Result<Value, CliError> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let page = get_job(client, site, key, left.min(REQUEST_WAIT)).await?;
        if is_ended(&page) || Instant::now() >= until {
            return Ok(page);
        }
        sleep(RETRY_DELAY).await;
    }
}

fn is_ended(page: &Value) -> bool {
    page["state"] == "ended"
}
