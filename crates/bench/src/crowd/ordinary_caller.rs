//! A caller that keeps to the limits, beside a crowd.

use {
    crate::crowd::{ClientRequests, OWN_ID},
    std::{fmt, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// How long an ordinary caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// Length of the beginning of a response that holds its status.
const STATUS_BYTES: usize = "HTTP/1.1 200".len();

/// Answers that ordinary callers got.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrdinaryAnswers {
    /// Submissions.
    pub submitted: u64,
    /// Submissions that were answered with a result.
    pub served: u64,
    /// Submissions that were refused.
    pub refused: u64,
}

impl OrdinaryAnswers {
    /// Submits a job on a new connection, and counts the answer.
    pub async fn submit(&mut self, to: SocketAddr, requests: &dyn ClientRequests, number: u64) {
        self.submitted += 1;
        let answer = timeout(PATIENCE, submit(to, requests, number)).await;
        // A connection that failed and one without an answer are counted by what is missing.
        match answer.ok().and_then(Result::ok).as_deref() {
            Some("200") => self.served += 1,
            Some(_) => self.refused += 1,
            None => {}
        }
    }
}

impl fmt::Display for OrdinaryAnswers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unanswered = self.submitted - self.served - self.refused;
        write!(
            f,
            "{} served, {} refused and {unanswered} without an answer of {}",
            self.served, self.refused, self.submitted
        )
    }
}

/// Returns the status of the response to a submission.
async fn submit(
    to: SocketAddr,
    requests: &dyn ClientRequests,
    number: u64,
) -> std::io::Result<String> {
    let mut connection = TcpStream::connect(to).await?;
    let body = requests.job();
    let id = format!("{number:016x}");
    let head = requests.submission_head().replace(OWN_ID, &id);
    let req = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    connection.write_all(req.as_bytes()).await?;
    let mut buf = [0; STATUS_BYTES];
    connection.read_exact(&mut buf).await?;
    let text = String::from_utf8_lossy(&buf);
    Ok(text.rsplit(' ').next().unwrap_or_default().to_owned())
}
