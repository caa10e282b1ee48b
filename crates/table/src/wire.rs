//! The JSON bodies of the table's published HTTP interface.

use {
    chestnutrun_types::Revision,
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// A row in an answer of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowReply {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: Value,
    /// Revision of the row's last write.
    pub revision: Revision,
}

/// Answer to a read: all rows whose keys have the requested prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowsReply {
    /// Revision of the table.
    pub revision: Revision,
    /// The rows, sorted by key.
    pub rows: Vec<RowReply>,
}

/// A condition on one row that must hold for a transaction to take effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 if the row must not exist.
    pub revision: Revision,
}

/// One row to write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row; none removes the row.
    pub value: Option<Value>,
}

/// Request for a transaction: all writes take effect, or none of them if a
/// condition does not hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// Id of the operation; a repetition with the same id has no further effect.
    pub operation: String,
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// Answer to a transaction that took effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransactionReply {
    /// Revision of the written rows.
    pub revision: Revision,
}

/// Answer to a transaction that did not take effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConflictReply {
    /// Current rows of the conditions that did not hold.
    pub rows: Vec<RowReply>,
}
