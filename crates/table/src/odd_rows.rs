//! Rows of the table that cannot be decoded, and their reports in the log.

use std::{cell::RefCell, rc::Rc};

/// A row of the table that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OddRow {
    /// Key of the row; none if the key cannot be read either.
    pub(crate) key: Option<String>,
    /// Why the row cannot be decoded.
    pub(crate) reason: String,
}

/// The odd rows of the last read. A row is logged once while it stays, since the table
/// is read several times a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct OddRows(Rc<RefCell<Vec<OddRow>>>);

impl OddRows {
    /// Logs the odd rows of a read that the last read did not have.
    pub(crate) fn report(&self, odd: Vec<OddRow>) {
        let mut known = self.0.borrow_mut();
        for row in odd.iter().filter(|row| !known.contains(row)) {
            log::warn!(
                "ignored row {:?} of the table, which is not valid: {}",
                row.key,
                row.reason
            );
        }
        *known = odd;
    }
}
