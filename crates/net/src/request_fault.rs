//! Responses to requests that do not reach the application.

use {
    crate::{ClosingCause, SharedIntake},
    ntex::{
        http::{
            Response,
            error::DecodeError,
            h1::{Control, ControlAck, ProtocolError, control::Reason},
        },
        io::Filter,
        web::error::ErrorContainer,
    },
};

/// Why a request did not reach the application.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFault {
    /// The head has too many headers or is too long.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// The request is not valid HTTP.
    Malformed,
}

/// Creates the response to a request that did not reach the application.
pub type FaultResponse = fn(RequestFault) -> Response;

/// Answers a control message of the HTTP service: a request that did not reach
/// the application gets the response of its fault.
pub(crate) fn answer_control<F: Filter, E: ErrorContainer>(
    message: Control<F, E>,
    fault_response: FaultResponse,
    intake: &SharedIntake,
) -> ControlAck<F> {
    match message {
        Control::Disconnect(Reason::ProtocolError(error)) => match request_fault(error.err()) {
            Some(fault) => {
                match fault {
                    RequestFault::HeadTooLarge => intake.record(ClosingCause::LargeHead),
                    RequestFault::HeadTooSlow => intake.record(ClosingCause::SlowHead),
                    RequestFault::Malformed => {}
                }
                error.fail_with(fault_response(fault))
            }
            None => error.ack(),
        },
        message => message.ack(),
    }
}

fn request_fault(error: &ProtocolError) -> Option<RequestFault> {
    match error {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            Some(RequestFault::HeadTooLarge)
        }
        ProtocolError::Decode(_) => Some(RequestFault::Malformed),
        ProtocolError::SlowRequestTimeout => Some(RequestFault::HeadTooSlow),
        _ => None,
    }
}

/// Creates a response that has only the status of the fault.
pub(crate) fn plain_fault(fault: RequestFault) -> Response {
    match fault {
        RequestFault::HeadTooLarge => Response::RequestHeaderFieldsTooLarge().finish(),
        RequestFault::HeadTooSlow => Response::RequestTimeout().finish(),
        RequestFault::Malformed => Response::BadRequest().finish(),
    }
}
