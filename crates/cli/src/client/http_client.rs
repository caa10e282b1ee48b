//! The HTTP client of commands.

use {
    crate::{CliError, client::HttpReply},
    ntex::{SharedCfg, client::Client, http::Method, time::Millis},
    std::{fmt, time::Duration},
};

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Time allowed for an answer in addition to the wait that the request asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// An HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    method: Method,
    url: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    wait: Duration,
}

impl Request {
    /// Creates a request with a bearer token.
    pub(crate) fn new(method: Method, url: impl Into<String>, token: &str) -> Self {
        Self {
            method,
            url: url.into(),
            headers: vec![("authorization", format!("Bearer {token}"))],
            body: Vec::new(),
            wait: Duration::ZERO,
        }
    }

    /// Adds a header.
    #[must_use]
    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body, which is JSON.
    #[must_use]
    pub(crate) fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self.header("content-type", "application/json")
    }

    /// Sets how long the server may wait before it answers; this prolongs the timeout
    /// of the request.
    #[must_use]
    pub(crate) fn wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }
}

/// Client that sends requests to entries and agents.
pub(crate) struct HttpClient {
    client: Client,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient").finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Creates a client without a timeout of its own; each request sets one.
    pub(crate) async fn new() -> Result<Self, CliError> {
        let client = Client::builder()
            .response_payload_limit(MAX_ANSWER_BYTES)
            .disable_timeout()
            .build(SharedCfg::default())
            .await
            .map_err(|e| CliError::Invalid(format!("cannot create the HTTP client: {e:?}")))?;
        Ok(Self { client })
    }

    /// Sends a request and reads the whole answer, also one with an error status.
    pub(crate) async fn send(&self, request: Request) -> Result<HttpReply, CliError> {
        let no_answer = |reason: String| CliError::NoAnswer {
            url: request.url.clone(),
            reason,
        };
        let mut req = self.client.request(request.method, request.url.as_str());
        for (name, value) in &request.headers {
            req = req.header(*name, value.as_str());
        }
        let timeout = request.wait + ANSWER_TIMEOUT;
        let timeout = Millis(u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX));
        let res = req
            .timeout(timeout)
            .send_body(request.body)
            .await
            .map_err(|e| no_answer(e.to_string()))?;
        let retry_after = res.headers().get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok());
        let (status, retry_after) = (res.status().as_u16(), retry_after.map(str::to_owned));
        let body = res.body().limit(MAX_ANSWER_BYTES).await;
        Ok(HttpReply {
            status,
            retry_after,
            body: body.map_err(|e| no_answer(e.to_string()))?.to_vec(),
        })
    }
}
