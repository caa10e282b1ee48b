//! Passes operators' requests to the loop and its replies back.

use {
    crate::{
        event::Event,
        operators::{OperatorReply, OperatorRequest},
        problem::Problem,
    },
    chestnutrun_net::Intakes,
    chestnutrun_table::ConfigurationStore,
    chestnutrun_types::{Revision, TableRow},
    ntex::{
        http::{StatusCode, header},
        web::{HttpRequest, HttpResponse},
    },
    std::rc::Rc,
    subtle::ConstantTimeEq,
    tokio::sync::{mpsc::Sender, oneshot},
};

/// Handle through which the handlers of operators' requests reach the loop and the
/// table.
#[derive(Clone, Debug)]
pub(crate) struct OperatorHandle {
    /// Queue of the loop.
    pub(crate) tx: Sender<Event>,
    /// What the listeners of the entry hold on behalf of their clients.
    pub(crate) intakes: Intakes,
    /// Token that operators must send.
    pub(crate) token: Rc<str>,
    /// Store to which changes are written and from which their history is read.
    pub(crate) store: Rc<dyn ConfigurationStore>,
}

impl OperatorHandle {
    /// Sends a request to the loop and returns its reply as a response.
    pub(crate) async fn respond(&self, request: OperatorRequest) -> HttpResponse {
        let (reply, reply_rx) = oneshot::channel();
        let is_metrics = matches!(request, OperatorRequest::Metrics);
        let sent = self.tx.send(Event::Operator(request, reply)).await;
        match (sent, reply_rx.await) {
            (Ok(()), Ok(OperatorReply::Text(status, mut text))) => {
                if is_metrics {
                    text.push_str(&self.intakes.metrics());
                }
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
                HttpResponse::build(status)
                    .content_type("text/plain; charset=utf-8")
                    .body(text)
            }
            (Ok(()), Ok(OperatorReply::Json(value))) => HttpResponse::Ok().json(&value),
            (Ok(()), Ok(OperatorReply::Problem(problem))) => problem.response(),
            _ => stopping().response(),
        }
    }

    /// Passes an accepted change to the loop, so that it takes effect before the table
    /// is read again.
    pub(crate) async fn apply_change(&self, row: TableRow, revision: Revision) {
        // Sending fails only if the loop has ended. Then there is nothing to configure.
        let _ = self.tx.send(Event::RowChanged(row, revision)).await;
    }

    /// Checks that a request has the operators' token.
    pub(crate) fn check_token(&self, req: &HttpRequest) -> Result<(), Problem> {
        let value = req.headers().get(header::AUTHORIZATION);
        let sent = value.map(header::HeaderValue::as_bytes).unwrap_or_default();
        let expected = format!("Bearer {}", self.token);
        if bool::from(sent.ct_eq(expected.as_bytes())) {
            return Ok(());
        }
        Err(Problem::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "this needs the operators' token",
        ))
    }
}

fn stopping() -> Problem {
    let detail = "the entry is stopping";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", detail)
}
