//! Cancels jobs.

use {
    crate::{
        CliError, Outcome,
        arguments::{CallerOptions, CommonOptions},
        client::{HttpClient, Request},
        output::show_job,
        site::CallerSite,
    },
    ntex::http::Method,
    std::time::Duration,
};

/// How long the server may wait for running tasks to end before it answers.
const ANSWER_WAIT: Duration = Duration::from_mins(1);

/// Cancels the tasks of a job that have not started, and shows the job's answer.
pub(crate) async fn cancel(
    options: CallerOptions,
    common: &CommonOptions,
    key: &str,
) -> Result<Outcome, CliError> {
    let site = CallerSite::new(options, common)?;
    let client = HttpClient::new().await?;
    let url = format!("{}/{key}", site.jobs_url());
    let request = Request::new(Method::DELETE, url, &site.token).wait(ANSWER_WAIT);
    let page = client.send(request).await?.json()?;
    show_job(&page, common.json);
    Ok(Outcome::Done)
}
