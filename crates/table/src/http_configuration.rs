//! Changes of the configuration, written to the table over HTTP.

use {
    crate::{
        Change, ChangeResult, Condition, ConfigurationStore, CurrentRow, HistoryEntry, HttpTable,
        RowReply, TableError, TableFuture, Transaction, Write,
        http_table::{TransactionOutcome, read_rows, transact},
        rows,
    },
    chestnutrun_types::{Contract, ContractId, TableRow},
    ntex::client::Client,
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most changes that a contract's history keeps; older ones are dropped.
const MAX_HISTORY_ENTRIES: usize = 20;

/// Most attempts to write a change. Another attempt is made only if the
/// contract's history changed between the read and the write.
const MAX_HISTORY_ATTEMPTS: usize = 3;

/// A contract's history with the revision of its row.
struct History {
    entries: Vec<HistoryEntry>,
    revision: u64,
}

impl ConfigurationStore for HttpTable {
    fn change(&self, change: Change) -> TableFuture<ChangeResult> {
        let (client, address) = (self.client(), self.address());
        Box::pin(async move {
            match try_change(&client, address, &change).await {
                Ok(result) => result,
                Err(error) => {
                    log::warn!("result of change {} is unknown: {error}", change.operation);
                    ChangeResult::Unknown
                }
            }
        })
    }

    fn history(&self, contract: ContractId) -> TableFuture<Result<Vec<HistoryEntry>, TableError>> {
        let (client, address) = (self.client(), self.address());
        Box::pin(async move {
            let history = read_history(&client, address, &contract).await?;
            Ok(history.entries)
        })
    }
}

async fn try_change(
    client: &Client,
    address: SocketAddr,
    change: &Change,
) -> Result<ChangeResult, TableError> {
    let key = rows::key(&change.write.row);
    for _ in 0..MAX_HISTORY_ATTEMPTS {
        let transaction = build_transaction(client, address, change).await?;
        match transact(client, address, &transaction).await? {
            TransactionOutcome::Accepted(revision) => return Ok(ChangeResult::Accepted(revision)),
            TransactionOutcome::Conflict(rows) => {
                if let Some(row) = rows.into_iter().find(|row| row.key == key) {
                    return Ok(ChangeResult::Conflict(current_row(change, row)?));
                }
            }
        }
    }
    Err(TableError::Answer(
        "the contract's history changed during every attempt".to_owned(),
    ))
}

/// Builds the transaction that writes the row of a change and, for a contract,
/// its history.
async fn build_transaction(
    client: &Client,
    address: SocketAddr,
    change: &Change,
) -> Result<Transaction, TableError> {
    let row = &change.write.row;
    let write = rows::write(row)?;
    let mut transaction = Transaction {
        operation: operation_id(change, &write),
        conditions: vec![Condition {
            key: rows::key(row),
            revision: change.write.expected,
        }],
        writes: vec![write],
    };
    if let TableRow::Contract(contract) = row {
        let history = read_history(client, address, &contract.id).await?;
        let key = rows::history_key(&contract.id);
        transaction.conditions.push(Condition {
            key: key.clone(),
            revision: history.revision,
        });
        let entries = append_to_history(history.entries, change, contract);
        transaction.writes.push(Write {
            key,
            value: Some(rows::to_value(&entries)?),
        });
    }
    Ok(transaction)
}

/// Returns the id of the operation in the table.
///
/// The id includes a hash of the written row. If an operator reuses an operation
/// id for another change, the table therefore does not take the change for a
/// repetition.
fn operation_id(change: &Change, write: &Write) -> String {
    let value = write.value.clone().unwrap_or_default();
    let text = format!("{} {} {value}", write.key, change.write.expected);
    format!("{}-{:016x}", change.operation, xxh3_64(text.as_bytes()))
}

fn append_to_history(
    mut entries: Vec<HistoryEntry>,
    change: &Change,
    contract: &Contract,
) -> Vec<HistoryEntry> {
    entries.push(HistoryEntry {
        at: change.at,
        operator: change.operator.clone(),
        operation: change.operation.clone(),
        replaced: change.write.expected,
        contract: contract.clone(),
    });
    let excess = entries.len().saturating_sub(MAX_HISTORY_ENTRIES);
    entries.drain(..excess);
    entries
}

async fn read_history(
    client: &Client,
    address: SocketAddr,
    contract: &str,
) -> Result<History, TableError> {
    let key = rows::history_key(contract);
    let reply = read_rows(client, address, &key).await?;
    if let Some(odd) = reply.odd.iter().find(|row| row.key.as_ref() == Some(&key)) {
        let text = format!("row {key}: {}", odd.reason);
        return Err(TableError::Answer(text));
    }
    match reply.rows.into_iter().find(|row| row.key == key) {
        None => Ok(History {
            entries: Vec::new(),
            revision: 0,
        }),
        Some(row) => Ok(History {
            entries: rows::from_value(row.value)?,
            revision: row.revision,
        }),
    }
}

fn current_row(change: &Change, row: RowReply) -> Result<CurrentRow, TableError> {
    let mut current = CurrentRow {
        revision: row.revision,
        ..CurrentRow::default()
    };
    if row.revision > 0 {
        match change.write.row {
            TableRow::Contract(_) => current.contract = Some(rows::from_value(row.value)?),
            _ => current.drain = Some(rows::from_value(row.value)?),
        }
    }
    Ok(current)
}
