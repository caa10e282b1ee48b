//! Rows of an answer of the table, decoded one by one.

use {
    crate::{RowReply, TableError, odd_rows::OddRow},
    chestnutrun_types::Revision,
    serde::Deserialize,
    serde_json::value::RawValue,
};

/// Answer to a read, whose rows are not decoded.
#[derive(Debug, Deserialize)]
struct RawRowsReply {
    revision: Revision,
    rows: Vec<Box<RawValue>>,
}

/// The key of a row, also of one that is not valid.
#[derive(Debug, Deserialize)]
struct KeyOnly {
    key: String,
}

/// Rows of an answer of the table, decoded one by one.
#[derive(Debug)]
pub(crate) struct DecodedRows {
    /// Revision of the table.
    pub(crate) revision: Revision,
    /// The rows that are valid, sorted by key.
    pub(crate) rows: Vec<RowReply>,
    /// The rows that are not valid.
    pub(crate) odd: Vec<OddRow>,
}

impl DecodedRows {
    /// Decodes an answer; rows that are not valid do not spoil the others.
    pub(crate) fn parse(buf: &[u8]) -> Result<Self, TableError> {
        let raw: RawRowsReply =
            serde_json::from_slice(buf).map_err(|e| TableError::Answer(e.to_string()))?;
        let mut decoded = Self {
            revision: raw.revision,
            rows: Vec::with_capacity(raw.rows.len()),
            odd: Vec::new(),
        };
        for row in &raw.rows {
            match serde_json::from_str(row.get()) {
                Ok(row) => decoded.rows.push(row),
                Err(error) => decoded.odd.push(OddRow {
                    key: serde_json::from_str(row.get())
                        .map(|KeyOnly { key }| key)
                        .ok(),
                    reason: error.to_string(),
                }),
            }
        }
        Ok(decoded)
    }
}
