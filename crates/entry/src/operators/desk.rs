//! What the handlers of operators' requests share.

use {
    crate::{
        event::Event,
        operators::{OperatorReply, OperatorRequest},
        problem::Problem,
    },
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

/// What the handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Desk {
    /// Where requests go.
    pub(crate) tx: Sender<Event>,
    /// The operators' token.
    pub(crate) token: Rc<str>,
    /// Where changes are written.
    pub(crate) store: Rc<dyn ConfigurationStore>,
}

impl Desk {
    /// Asks the loop for a page.
    pub(crate) async fn ask(&self, request: OperatorRequest) -> HttpResponse {
        let (reply, answer) = oneshot::channel();
        let sent = self.tx.send(Event::Operator(request, reply)).await;
        match (sent, answer.await) {
            (Ok(()), Ok(OperatorReply::Text(status, text))) => {
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

    /// Tells the loop of an accepted change, so that it is in force before the
    /// table is read again.
    pub(crate) async fn tell(&self, row: TableRow, revision: Revision) {
        // A loop that ended has nothing left to configure.
        let _ = self.tx.send(Event::Changed(row, revision)).await;
    }

    /// Checks the operators' token.
    pub(crate) fn check(&self, req: &HttpRequest) -> Result<(), Problem> {
        let value = req.headers().get(header::AUTHORIZATION);
        let sent = value.map(header::HeaderValue::as_bytes).unwrap_or_default();
        let wanted = format!("Bearer {}", self.token);
        if bool::from(sent.ct_eq(wanted.as_bytes())) {
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
