//! Runs tasks at an endpoint over HTTP.

use {
    crate::{AgentError, Endpoint, RunFuture},
    chestnutrun_decisions::agent::RunOutcome,
    chestnutrun_net::was_not_sent,
    chestnutrun_types::{KindId, Start, TaskRef},
    ntex::{
        client::{Client, ClientRequest, Connector, error::ClientError},
        http::StatusCode,
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr},
};

/// Longest response body of an endpoint, in bytes.
const MAX_RESPONSE_BYTES: usize = 12 * 1024 * 1024;

/// Body of the request that starts a task at the endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRequest {
    /// Contract, key and position of the task.
    pub task: TaskRef,
    /// Kind of work, as the submission names it.
    pub kind: KindId,
    /// Input of the task, unchanged from the submission.
    pub input: String,
}

/// Body of the endpoint's response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunReply {
    /// The task completed with this output.
    Completed(String),
    /// The task failed with this error.
    Failed(String),
}

/// HTTP client of the endpoint beside the agent.
pub struct HttpEndpoint {
    url: String,
    client: Client,
}

impl fmt::Debug for HttpEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpEndpoint")
            .field("url", &self.url)
            .finish_non_exhaustive()
    }
}

impl HttpEndpoint {
    /// Creates a client for the endpoint at `address`, with at most `connections`
    /// open connections.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be set up.
    pub async fn new(address: SocketAddr, connections: u32) -> Result<Self, AgentError> {
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        let client = Client::builder()
            .connector::<&str>(Connector::default().limit(connections))
            .disable_timeout()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|e| AgentError::Client(format!("{e:?}")))?;
        Ok(Self {
            url: format!("http://{address}/run"),
            client,
        })
    }
}

impl Endpoint for HttpEndpoint {
    fn run(&self, start: Start) -> RunFuture {
        let request = self.client.post(&self.url);
        let body = RunRequest {
            task: start.task,
            kind: start.spec.kind,
            input: start.spec.input,
        };
        Box::pin(async move { run_once(request, &body).await })
    }
}

async fn run_once(request: ClientRequest, body: &RunRequest) -> RunOutcome {
    let res = match request.timeout(Millis::ZERO).send_json(body).await {
        Ok(res) => res,
        Err(error) => return outcome_without_response(&error),
    };
    match res.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return RunOutcome::NotStarted,
        status => return RunOutcome::Failed(format!("endpoint answered with status {status}")),
    }
    let Ok(buf) = res.body().limit(MAX_RESPONSE_BYTES).await else {
        return RunOutcome::Unknown;
    };
    match serde_json::from_slice(&buf) {
        Ok(RunReply::Completed(output)) => RunOutcome::Completed(output),
        Ok(RunReply::Failed(error)) => RunOutcome::Failed(error),
        Err(error) => RunOutcome::Failed(format!("endpoint's answer is not valid: {error}")),
    }
}

/// Returns the outcome of a request that got no response. The task did not start
/// if the request was never sent; otherwise nothing is known.
fn outcome_without_response(error: &ClientError) -> RunOutcome {
    if was_not_sent(error) {
        RunOutcome::NotStarted
    } else {
        RunOutcome::Unknown
    }
}
