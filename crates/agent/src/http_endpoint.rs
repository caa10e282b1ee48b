//! An endpoint that is served over HTTP.

use {
    crate::{AgentError, Endpoint, Run},
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

/// Longest answer of an endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 12 * 1024 * 1024;

/// What the agent sends to its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRequest {
    /// The task.
    pub task: TaskRef,
    /// Its kind.
    pub kind: KindId,
    /// Its input, untouched.
    pub input: String,
}

/// What the endpoint answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunReply {
    /// The task completed with an output.
    Completed(String),
    /// The task failed with an error.
    Failed(String),
}

/// Client of one endpoint.
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
    /// Makes a client of the endpoint at `address`.
    ///
    /// # Errors
    /// Returns an error where the client cannot be set up.
    pub async fn new(address: SocketAddr, connections: u32) -> Result<Self, AgentError> {
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        let client = Client::builder()
            .connector::<&str>(Connector::default().limit(connections))
            .disable_timeout()
            .response_payload_limit(MAX_ANSWER_BYTES)
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
    fn run(&self, start: Start) -> Run {
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
        Err(error) => return not_answered(&error),
    };
    match res.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return RunOutcome::NotStarted,
        status => return RunOutcome::Failed(format!("endpoint answered with status {status}")),
    }
    let Ok(buf) = res.body().limit(MAX_ANSWER_BYTES).await else {
        return RunOutcome::Unknown;
    };
    match serde_json::from_slice(&buf) {
        Ok(RunReply::Completed(output)) => RunOutcome::Completed(output),
        Ok(RunReply::Failed(error)) => RunOutcome::Failed(error),
        Err(error) => RunOutcome::Failed(format!("endpoint's answer is not valid: {error}")),
    }
}

/// A request that never got a connection was not sent.
fn not_answered(error: &ClientError) -> RunOutcome {
    if was_not_sent(error) {
        RunOutcome::NotStarted
    } else {
        RunOutcome::Unknown
    }
}
