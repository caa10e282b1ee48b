//! HTTP client of a site; it sends the requests of callers and operators.

use {
    crate::site::SiteError,
    chestnutrun_types::Contract,
    ntex::{
        SharedCfg,
        client::{Client, Connector},
        http::Method,
        time::Millis,
    },
    serde::Serialize,
    serde_json::Value,
    std::{fmt, net::SocketAddr},
};

/// Largest number of connections to one address.
const MAX_CONNECTIONS: usize = 2_048;

/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time limit for an answer.
const ANSWER_TIMEOUT: Millis = Millis(90_000);

/// The answer of a process of the site to one HTTP request.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON; a body that isn't JSON is a string.
    pub body: Value,
    /// Value of the `Retry-After` header, if present.
    pub retry_after: Option<String>,
    /// Value of the `Location` header, if present.
    pub location: Option<String>,
    /// Media type of the body, without parameters, if present.
    pub media_type: Option<String>,
}

/// Sends HTTP requests to the processes of a site.
#[derive(Clone)]
pub struct SiteClient {
    client: Client,
    operator_token: String,
}

impl fmt::Debug for SiteClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SiteClient").finish_non_exhaustive()
    }
}

impl SiteClient {
    /// Creates a client whose operators' requests carry `operator_token`.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be set up.
    pub async fn new(operator_token: impl Into<String>) -> Result<Self, SiteError> {
        let client = Client::builder()
            .connector::<&str>(Connector::default().limit(MAX_CONNECTIONS))
            .response_timeout(ANSWER_TIMEOUT)
            .response_payload_limit(MAX_ANSWER_BYTES)
            .build(SharedCfg::default())
            .await
            .map_err(|e| SiteError::NoAnswer("client".to_owned(), format!("{e:?}")))?;
        Ok(Self {
            client,
            operator_token: operator_token.into(),
        })
    }

    /// Returns the value of the `Authorization` header for operators.
    #[must_use]
    pub fn operator_header(&self) -> String {
        format!("Bearer {}", self.operator_token)
    }

    /// Sends a request and reads the answer with its whole body.
    ///
    /// # Errors
    /// Returns an error if the request fails or the body is incomplete.
    pub async fn send(
        &self,
        method: Method,
        url: String,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<HttpReply, SiteError> {
        let mut req = self.client.request(method, url.as_str());
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let no_answer = |e: String| SiteError::NoAnswer(url.clone(), e);
        let res = req
            .send_body(body)
            .await
            .map_err(|e| no_answer(e.to_string()))?;
        let header = |name: &str| {
            let value = res.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let (retry_after, location) = (header("retry-after"), header("location"));
        let media_type = header("content-type");
        let media_type =
            media_type.map(|value| value.split(';').next().unwrap_or_default().to_owned());
        let status = res.status().as_u16();
        let buf = res.body().await.map_err(|e| no_answer(e.to_string()))?;
        let text = || Value::String(String::from_utf8_lossy(&buf).into_owned());
        Ok(HttpReply {
            status,
            body: serde_json::from_slice(&buf).unwrap_or_else(|_| text()),
            retry_after,
            location,
            media_type,
        })
    }

    /// Submits a job under the idempotency key `key` and waits for the answer.
    ///
    /// # Errors
    /// Returns an error if no complete answer is received.
    pub async fn submit(
        &self,
        callers: SocketAddr,
        contract: &str,
        key: &str,
        body: &impl Serialize,
    ) -> Result<HttpReply, SiteError> {
        let url = format!("http://{callers}/v1/contracts/{contract}/jobs");
        let token = caller_token(contract);
        let headers = [
            ("authorization", token.as_str()),
            ("idempotency-key", key),
            ("content-type", "application/json"),
        ];
        let body = serde_json::to_string(body)
            .map_err(|e| SiteError::NoAnswer(url.clone(), e.to_string()))?;
        self.send(Method::POST, url, &headers, body).await
    }

    /// Requests the state of a job, with its outcomes once it has ended.
    ///
    /// `wait` is how long the entry may wait for the end, such as `10s`.
    ///
    /// # Errors
    /// Returns an error if no complete answer is received.
    pub async fn fetch_job(
        &self,
        callers: SocketAddr,
        contract: &str,
        key: &str,
        wait: &str,
    ) -> Result<HttpReply, SiteError> {
        let url = format!("http://{callers}/v1/contracts/{contract}/jobs/{key}?wait={wait}");
        let token = caller_token(contract);
        let headers = [("authorization", token.as_str())];
        self.send(Method::GET, url, &headers, String::new()).await
    }

    /// Sends a request with the operators' token.
    ///
    /// # Errors
    /// Returns an error if no complete answer is received.
    pub async fn send_as_operator(
        &self,
        method: Method,
        operators: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<HttpReply, SiteError> {
        let url = format!("http://{operators}{path}");
        let token = self.operator_header();
        let headers = [
            ("authorization", token.as_str()),
            ("content-type", "application/json"),
        ];
        self.send(method, url, &headers, body).await
    }

    /// Creates a contract through an entry.
    ///
    /// # Errors
    /// Returns an error if the entry does not accept the contract.
    pub async fn create_contract(
        &self,
        operators: SocketAddr,
        contract: &Contract,
    ) -> Result<(), SiteError> {
        let path = format!("/v1/contracts/{}", contract.id);
        let body = serde_json::to_string(contract)
            .map_err(|e| SiteError::NoAnswer(path.clone(), e.to_string()))?;
        let reply = self
            .send_as_operator(Method::PUT, operators, &path, body)
            .await?;
        if reply.status == 200 {
            Ok(())
        } else {
            Err(SiteError::UnexpectedAnswer(
                path,
                reply.status,
                reply.body.to_string(),
            ))
        }
    }
}

/// Returns the value of the `Authorization` header for callers of a contract.
///
/// Sites of the bench give every contract the token `token-of-` and its id.
fn caller_token(contract: &str) -> String {
    format!("Bearer token-of-{contract}")
}
