//! The table's published format: JSON over HTTP.

use {
    chestnutrun_types::Revision,
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// One row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowReply {
    /// Key of the row.
    pub key: String,
    /// What the row says.
    pub value: Value,
    /// Revision of its last write.
    pub revision: Revision,
}

/// Rows with a common beginning of their keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowsReply {
    /// Revision of the table.
    pub revision: Revision,
    /// The rows, by key.
    pub rows: Vec<RowReply>,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that it must have; 0 where it must not exist.
    pub revision: Revision,
}

/// One row to write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// What it shall say; none removes it.
    pub value: Option<Value>,
}

/// A conditional transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// Id of the operation; one that took effect is not repeated.
    pub operation: String,
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What to write.
    pub writes: Vec<Write>,
}

/// A transaction took effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransactionReply {
    /// Revision of its writes.
    pub revision: Revision,
}

/// A transaction did not take effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConflictReply {
    /// Present rows of the conditions that did not hold.
    pub rows: Vec<RowReply>,
}
