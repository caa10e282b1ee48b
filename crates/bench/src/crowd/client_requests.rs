//! Requests of one kind of client, from which the shapes of crowds are made.

use std::fmt;

/// Requests that a listener accepts, as the shapes of crowds need them.
///
/// [`OWN_ID`](crate::crowd::OWN_ID) in a text stands for an id that no other request of
/// the crowd has.
pub trait ClientRequests: fmt::Debug {
    /// Returns the request line and the headers of a submission, each with its line end,
    /// without a header on the length of the body and without the line that ends the
    /// head.
    fn submission_head(&self) -> String;

    /// Returns the body of a submission that is accepted.
    fn job(&self) -> String;

    /// Returns the body of a submission with the most tasks.
    fn wide_job(&self) -> String;

    /// Returns the request line and the first header of a request, each with its line
    /// end.
    fn open_head(&self) -> String;

    /// Returns a whole request for a page.
    fn page(&self) -> String;

    /// Returns a whole request that cancels a job which does not exist; under an id of its
    /// own if possible.
    fn cancel(&self) -> String;

    /// Returns the length of the longest body, in bytes.
    fn longest_body(&self) -> usize;
}
