//! Reading request bodies within limits of size, time and memory.

use {
    crate::{ClosingCause, RequestService, http::MAX_HEAD_BYTES},
    chestnutrun_decisions::intake::{Admission, SHORT_BODY_BYTES},
    ntex::{
        http::{Payload as HttpPayload, header},
        io::IoRef,
        util::Bytes,
        web::{HttpRequest, types::Payload},
    },
    std::{future::poll_fn, task::Poll, time::Duration},
    thiserror::Error,
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Bytes that the library keeps of a body before they are taken; the least, since short
/// pieces cost far more than their length.
const UNTAKEN_BYTES: usize = 1;

/// Bytes of a body that count as progress. A client that sends less yields to others.
const PROGRESS_BYTES: usize = 1_024;

/// How much of a refused body is read and dropped before its response, as a multiple of
/// the limit. A client that still sends when the connection closes sees a reset in place
/// of the response.
const MAX_DROPPED_FACTOR: usize = 4;

/// How long a refused body is read.
const DROP_TIME: Duration = Duration::from_secs(1);

/// Longest line between the pieces of a chunked body, in bytes: as long as a head, since
/// the library has no limit of its own for the extensions of a chunk.
const MAX_LINE_BYTES: usize = MAX_HEAD_BYTES;

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// Time within which the whole body has to arrive.
    pub timeout: Duration,
}

/// Why a body was not read whole.
#[derive(Debug, Error)]
pub enum BodyFault {
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
    /// The body did not arrive in time, or made no progress while others waited.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The bodies of other requests take all memory for bodies.
    #[error("there is no memory for the body at the moment")]
    NoBytes,
    /// A line between the pieces of a chunked body is too long.
    #[error("a chunk has an extension that is too long")]
    LongLine,
    /// The connection ended or the encoding is not valid.
    #[error("{0}")]
    Broken(String),
}

/// Reads the whole body of a request in service.
///
/// Nothing is read while the intake grants no bytes for the body, so that the client
/// stops to send.
///
/// # Errors
/// Returns why the body was not read whole; no part of the request ran.
pub async fn collect_body(
    req: &HttpRequest,
    payload: Payload,
    limits: BodyLimits,
    service: &RequestService,
) -> Result<Vec<u8>, BodyFault> {
    let mut body = Body::new(req, payload, limits, service);
    let read = body.read(content_length(req), limits.max_bytes).await;
    if let Err(fault) = &read {
        service.release_body();
        record(fault, service);
        if matches!(fault, BodyFault::TooLong | BodyFault::NoBytes) {
            body.deadline = Instant::now() + DROP_TIME;
            let max_bytes = limits.max_bytes.saturating_mul(MAX_DROPPED_FACTOR);
            body.drop_bytes(max_bytes).await;
        }
    }
    read
}

/// Reads a body up to a limit and drops it, since closing a connection with unread bytes
/// resets it and may lose the response.
pub async fn discard_body(
    req: &HttpRequest,
    payload: Payload,
    limits: BodyLimits,
    service: &RequestService,
) {
    let mut body = Body::new(req, payload, limits, service);
    if !matches!(body.payload, HttpPayload::None) {
        body.drop_bytes(limits.max_bytes).await;
        service.release_body();
    }
}

/// The body of a request in service while it is read.
struct Body<'a> {
    payload: HttpPayload,
    io: Option<&'a IoRef>,
    deadline: Instant,
    service: &'a RequestService,
}

impl<'a> Body<'a> {
    fn new(
        req: &'a HttpRequest,
        payload: Payload,
        limits: BodyLimits,
        service: &'a RequestService,
    ) -> Self {
        let payload = payload.into_inner();
        if let HttpPayload::H1(stream) = &payload {
            stream.max_buffer_size(UNTAKEN_BYTES);
        }
        Self {
            payload,
            io: req.io(),
            deadline: Instant::now() + limits.timeout,
            service,
        }
    }

    async fn read(
        &mut self,
        declared: Option<usize>,
        max_bytes: usize,
    ) -> Result<Vec<u8>, BodyFault> {
        if matches!(self.payload, HttpPayload::None) {
            return Ok(Vec::new());
        }
        let mut granted = declared.unwrap_or(SHORT_BODY_BYTES.min(max_bytes));
        let admission = self.service.begin_body(declared, max_bytes);
        self.until_granted(admission).await?;
        let mut buf = Vec::new();
        let mut progress_at = PROGRESS_BYTES;
        while let Some(chunk) = self.next_chunk().await? {
            let len = buf.len() + chunk.len();
            if len > max_bytes {
                return Err(BodyFault::TooLong);
            }
            if declared.is_none() && len > granted {
                granted = max_bytes;
                let admission = self.service.reserve(granted);
                self.until_granted(admission).await?;
            }
            if len >= progress_at {
                self.service.progress();
                progress_at = len + PROGRESS_BYTES;
            }
            extend(&mut buf, &chunk, granted);
        }
        Ok(buf)
    }

    /// Waits until the bytes of the body are granted.
    async fn until_granted(&self, admission: Admission) -> Result<(), BodyFault> {
        match admission {
            Admission::Granted => return Ok(()),
            Admission::TooLong => return Err(BodyFault::TooLong),
            Admission::Wait => {}
        }
        let signal = &self.service.signal;
        while !signal.is_granted.get() {
            if timeout_at(self.deadline, signal.changed.notified())
                .await
                .is_err()
            {
                return Err(BodyFault::NoBytes);
            }
        }
        Ok(())
    }

    /// Waits for the next piece; none at the end of the body.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyFault> {
        let (service, io) = (self.service, self.io);
        loop {
            if service.signal.is_refused.get() {
                service.record(ClosingCause::StalledBody);
                return Err(BodyFault::TooSlow);
            }
            tokio::select! {
                biased;
                chunk = self.payload.recv() => {
                    return chunk.transpose().map_err(|e| BodyFault::Broken(e.to_string()));
                }
                // The task of the connection polls this whenever bytes have arrived.
                () = poll_fn(|_| if has_long_line(io) { Poll::Ready(()) } else { Poll::Pending }) => {
                    service.record(ClosingCause::LongLine);
                    return Err(BodyFault::LongLine);
                }
                () = service.signal.changed.notified() => {}
                () = sleep_until(self.deadline) => {
                    service.record(ClosingCause::SlowBody);
                    return Err(BodyFault::TooSlow);
                }
            }
        }
    }

    /// Reads pieces up to a limit and drops them.
    async fn drop_bytes(&mut self, max_bytes: usize) {
        self.service.begin_discard();
        let mut dropped = 0;
        // A body that broke, is refused or comes too late is not read further either.
        while let Ok(Some(chunk)) = self.next_chunk().await {
            dropped += chunk.len();
            if dropped > max_bytes {
                return;
            }
        }
    }
}

/// Returns whether bytes were received that are part of a line which is too long: the
/// library reads on only while it has nothing to pass on.
fn has_long_line(io: Option<&IoRef>) -> bool {
    io.is_some_and(|io| io.with_read_buf(|buf| buf.len()) > MAX_LINE_BYTES)
}

/// Appends a piece; the allocation grows by doubling and never beyond what is granted.
fn extend(buf: &mut Vec<u8>, chunk: &Bytes, granted: usize) {
    let len = buf.len() + chunk.len();
    if len > buf.capacity() {
        let first = if buf.is_empty() {
            granted.min(SHORT_BODY_BYTES)
        } else {
            2 * buf.capacity()
        };
        let capacity = first.min(granted).max(len);
        buf.reserve_exact(capacity - buf.len());
    }
    buf.extend_from_slice(chunk);
}

fn record(fault: &BodyFault, service: &RequestService) {
    match fault {
        BodyFault::TooLong => service.record(ClosingCause::LongBody),
        BodyFault::NoBytes => service.record(ClosingCause::NoBytes),
        // Recorded where it is known which of the two it was, or no decision of ours.
        BodyFault::TooSlow | BodyFault::LongLine | BodyFault::Broken(_) => {}
    }
}

fn content_length(req: &HttpRequest) -> Option<usize> {
    let value = req.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
