//! Reading request bodies within limits of size, time and memory.

use {
    crate::{ClosingCause, RequestService},
    chestnutrun_decisions::intake::{Admission, SHORT_BODY_BYTES},
    ntex::{
        http::{Payload as HttpPayload, header},
        util::Bytes,
        web::{HttpRequest, types::Payload},
    },
    std::time::Duration,
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
    let mut payload = payload.into_inner();
    if let HttpPayload::H1(stream) = &payload {
        stream.max_buffer_size(UNTAKEN_BYTES);
    }
    let deadline = Instant::now() + limits.timeout;
    let declared = content_length(req);
    let read = read_within(&mut payload, declared, limits.max_bytes, deadline, service).await;
    if let Err(fault) = &read {
        service.release_body(0);
        record(fault, service);
        if matches!(fault, BodyFault::TooLong | BodyFault::NoBytes) {
            let max_bytes = limits.max_bytes.saturating_mul(MAX_DROPPED_FACTOR);
            drop_bytes(&mut payload, max_bytes, Instant::now() + DROP_TIME).await;
        }
    }
    read
}

/// Reads a body up to a limit and drops it, since closing a connection with unread bytes
/// resets it and may lose the response.
pub async fn discard_body(payload: Payload, limits: BodyLimits) {
    let mut payload = payload.into_inner();
    let deadline = Instant::now() + limits.timeout;
    drop_bytes(&mut payload, limits.max_bytes, deadline).await;
}

async fn read_within(
    payload: &mut HttpPayload,
    declared: Option<usize>,
    max_bytes: usize,
    deadline: Instant,
    service: &RequestService,
) -> Result<Vec<u8>, BodyFault> {
    if matches!(payload, HttpPayload::None) {
        return Ok(Vec::new());
    }
    let mut granted = declared.unwrap_or(SHORT_BODY_BYTES.min(max_bytes));
    let admission = service.begin_body(declared, max_bytes);
    until_granted(admission, deadline, service).await?;
    let mut buf = Vec::new();
    let mut progress_at = PROGRESS_BYTES;
    while let Some(chunk) = next_chunk(payload, deadline, service).await? {
        let len = buf.len() + chunk.len();
        if len > max_bytes {
            return Err(BodyFault::TooLong);
        }
        if declared.is_none() && len > granted {
            granted = max_bytes;
            let admission = service.reserve(granted);
            until_granted(admission, deadline, service).await?;
        }
        if len >= progress_at {
            service.progress();
            progress_at = len + PROGRESS_BYTES;
        }
        extend(&mut buf, &chunk, granted);
    }
    Ok(buf)
}

/// Waits until the bytes of a body are granted.
async fn until_granted(
    admission: Admission,
    deadline: Instant,
    service: &RequestService,
) -> Result<(), BodyFault> {
    match admission {
        Admission::Granted => return Ok(()),
        Admission::TooLong => return Err(BodyFault::TooLong),
        Admission::Wait => {}
    }
    while !service.signal.is_granted.get() {
        if timeout_at(deadline, service.signal.changed.notified())
            .await
            .is_err()
        {
            return Err(BodyFault::NoBytes);
        }
    }
    Ok(())
}

/// Waits for the next piece of a body; none at its end.
async fn next_chunk(
    payload: &mut HttpPayload,
    deadline: Instant,
    service: &RequestService,
) -> Result<Option<Bytes>, BodyFault> {
    loop {
        if service.signal.is_refused.get() {
            service.record(ClosingCause::StalledBody);
            return Err(BodyFault::TooSlow);
        }
        tokio::select! {
            biased;
            chunk = payload.recv() => {
                return chunk.transpose().map_err(|e| BodyFault::Broken(e.to_string()));
            }
            () = service.signal.changed.notified() => {}
            () = sleep_until(deadline) => {
                service.record(ClosingCause::SlowBody);
                return Err(BodyFault::TooSlow);
            }
        }
    }
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

async fn drop_bytes(payload: &mut HttpPayload, max_bytes: usize, deadline: Instant) {
    let mut dropped = 0;
    while dropped <= max_bytes {
        match timeout_at(deadline, payload.recv()).await {
            Ok(Some(Ok(chunk))) => dropped += chunk.len(),
            // It ended, broke or came too late: nothing more is read in each case.
            _ => return,
        }
    }
}

fn record(fault: &BodyFault, service: &RequestService) {
    match fault {
        BodyFault::TooLong => service.record(ClosingCause::LongBody),
        BodyFault::NoBytes => service.record(ClosingCause::NoBytes),
        // Recorded where it is known which of the two it was, or no decision of ours.
        BodyFault::TooSlow | BodyFault::Broken(_) => {}
    }
}

fn content_length(req: &HttpRequest) -> Option<usize> {
    let value = req.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}
