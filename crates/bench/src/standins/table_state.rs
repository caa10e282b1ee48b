//! Rows and transactions of the stand-in for the table.

use {
    chestnutrun_table::{ConflictReply, RowReply, RowsReply, Transaction, TransactionReply, Write},
    indexmap::IndexMap,
    serde_json::Value,
};

/// Rows, and the revision of each operation that took effect.
#[derive(Debug, Default)]
pub struct TableState {
    revision: u64,
    rows: IndexMap<String, RowReply>,
    operations: IndexMap<String, u64>,
}

impl TableState {
    /// Returns the rows whose keys begin with `prefix`.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> RowsReply {
        let rows = self.rows.values();
        RowsReply {
            revision: self.revision,
            rows: rows
                .filter(|row| row.key.starts_with(prefix))
                .cloned()
                .collect(),
        }
    }

    /// Applies a transaction if all its conditions hold.
    ///
    /// A repeated operation changes nothing and returns its first revision.
    ///
    /// # Errors
    /// Returns the current rows of the conditions that do not hold.
    pub fn transact(&mut self, tx: Transaction) -> Result<TransactionReply, ConflictReply> {
        if let Some(revision) = self.operations.get(&tx.operation) {
            return Ok(TransactionReply {
                revision: *revision,
            });
        }
        let conflicts: Vec<RowReply> = tx
            .conditions
            .iter()
            .filter(|condition| self.revision_of(&condition.key) != condition.revision)
            .map(|condition| self.current_row(&condition.key))
            .collect();
        if !conflicts.is_empty() {
            return Err(ConflictReply { rows: conflicts });
        }
        self.revision += 1;
        for write in tx.writes {
            self.apply_write(write);
        }
        self.operations.insert(tx.operation, self.revision);
        Ok(TransactionReply {
            revision: self.revision,
        })
    }

    fn apply_write(&mut self, write: Write) {
        match write.value {
            None => {
                self.rows.shift_remove(&write.key);
            }
            Some(value) => {
                let row = RowReply {
                    key: write.key.clone(),
                    value,
                    revision: self.revision,
                };
                self.rows.insert(write.key, row);
            }
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.revision)
    }

    fn current_row(&self, key: &str) -> RowReply {
        self.rows.get(key).cloned().unwrap_or_else(|| RowReply {
            key: key.to_owned(),
            value: Value::Null,
            revision: 0,
        })
    }
}
