//! Reads the headers of a change: expected revision, operation id and operator.

use {
    crate::problem::Problem,
    chestnutrun_types::Revision,
    ntex::{
        http::{StatusCode, header},
        web::HttpRequest,
    },
    uuid::Uuid,
};

/// Header with the id of the change; a change that is sent again with the same id
/// takes effect once.
const OPERATION_HEADER: &str = "operation-id";

/// Header with the operator's name, which the history of changes shows.
const OPERATOR_HEADER: &str = "operator-name";

/// Longest operation id or operator's name, in characters.
const MAX_CHARACTERS: usize = 64;

/// Values from the headers of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ChangeHeaders {
    /// Revision that the row must have; 0 if it must not exist.
    pub(crate) expected: Revision,
    /// Id of the operation; a random one if the header is missing.
    pub(crate) operation: String,
    /// Name of the operator; empty if the header is missing.
    pub(crate) operator: String,
}

impl ChangeHeaders {
    /// Reads the headers of a change; returns a problem if one is not valid.
    pub(crate) fn from_request(req: &HttpRequest) -> Result<Self, Problem> {
        Ok(Self {
            expected: required_revision(req)?,
            operation: match short_header(req, OPERATION_HEADER)? {
                Some(id) => id,
                None => Uuid::new_v4().to_string(),
            },
            operator: short_header(req, OPERATOR_HEADER)?.unwrap_or_default(),
        })
    }
}

fn required_revision(req: &HttpRequest) -> Result<Revision, Problem> {
    let Some(value) = req.headers().get(header::IF_MATCH) else {
        return Ok(0);
    };
    let text = value.to_str().unwrap_or_default();
    text.trim_matches('"').parse().map_err(|_| {
        let detail = "If-Match takes the present revision, such as `\"12\"`";
        Problem::new(StatusCode::BAD_REQUEST, "bad-if-match", detail)
    })
}

fn short_header(req: &HttpRequest, name: &str) -> Result<Option<String>, Problem> {
    let Some(value) = req.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let is_visible = text.chars().all(|c| c.is_ascii_graphic() || c == ' ');
    if (1..=MAX_CHARACTERS).contains(&text.len()) && is_visible {
        return Ok(Some(text.to_owned()));
    }
    let detail = format!("{name} has 1 to {MAX_CHARACTERS} visible ASCII characters");
    Err(Problem::new(StatusCode::BAD_REQUEST, "bad-header", detail))
}
