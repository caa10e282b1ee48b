//! Conversion between the dispatcher's rows and the table's keys and values.

use {
    crate::{RowReply, TableError, Write, decoded_rows::DecodedRows, odd_rows::OddRow},
    chestnutrun_types::{Configuration, ShardId, TableRow, TableSnapshot, Versioned},
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
};

/// Prefix of the keys of all rows that entries read.
pub(crate) const SITE: &str = "site/";

const MEMBER: &str = "site/entry/";
const OWNER: &str = "site/owner/";
const CONTRACT: &str = "site/contract/";
const DRAIN: &str = "site/drain/";
const HISTORY: &str = "history/contract/";

/// Returns the key of a row.
pub(crate) fn key(row: &TableRow) -> String {
    match row {
        TableRow::Member(member) => format!("{MEMBER}{}", member.entry),
        TableRow::MemberRemoval(entry) => format!("{MEMBER}{entry}"),
        TableRow::Owner(owner) => format!("{OWNER}{}", owner.shard),
        TableRow::Contract(contract) => format!("{CONTRACT}{}", contract.id),
        TableRow::Drain(endpoint, _) => format!("{DRAIN}{endpoint}"),
    }
}

/// Returns the key of a contract's history.
pub(crate) fn history_key(contract: &str) -> String {
    format!("{HISTORY}{contract}")
}

/// Returns the write that sets or removes a row.
pub(crate) fn write(row: &TableRow) -> Result<Write, TableError> {
    let value = match row {
        TableRow::Member(member) => Some(to_value(member)?),
        TableRow::MemberRemoval(_) => None,
        TableRow::Owner(owner) => Some(to_value(owner)?),
        TableRow::Contract(contract) => Some(to_value(contract)?),
        TableRow::Drain(_, state) => Some(to_value(state)?),
    };
    Ok(Write {
        key: key(row),
        value,
    })
}

/// Builds a snapshot from rows of the table; ignores rows whose keys have none of
/// the dispatcher's prefixes. Returns the rows that are not valid as well.
///
/// # Errors
/// Returns an error if the ownership of a shard is not valid: an entry that missed it
/// could go on as the owner.
pub(crate) fn snapshot(reply: DecodedRows) -> Result<(TableSnapshot, Vec<OddRow>), TableError> {
    let mut snapshot = TableSnapshot {
        revision: reply.revision,
        ..TableSnapshot::default()
    };
    let mut odd = reply.odd;
    for row in reply.rows {
        let key = row.key.clone();
        if let Err(error) = add_row(&mut snapshot, row) {
            odd.push(OddRow {
                key: Some(key),
                reason: error.to_string(),
            });
        }
    }
    match odd.iter().find(|row| is_ownership(row)) {
        Some(OddRow { key, reason }) => Err(TableError::Answer(format!(
            "row {key:?}, the ownership of a shard: {reason}"
        ))),
        None => Ok((snapshot, odd)),
    }
}

fn is_ownership(row: &OddRow) -> bool {
    let shard = row.key.as_ref().and_then(|key| key.strip_prefix(OWNER));
    shard.is_some_and(|shard| shard.parse::<ShardId>().is_ok())
}

fn add_row(snapshot: &mut TableSnapshot, row: RowReply) -> Result<(), TableError> {
    let revision = row.revision;
    if let Some(entry) = row.key.strip_prefix(MEMBER) {
        let value = from_value(row.value)?;
        let member = Versioned { value, revision };
        snapshot.members.insert(entry.into(), member);
    } else if row.key.starts_with(OWNER) {
        let value: chestnutrun_types::ShardOwner = from_value(row.value)?;
        let owner = Versioned { value, revision };
        snapshot.owners.insert(owner.value.shard, owner);
    } else if let Some(id) = row.key.strip_prefix(CONTRACT) {
        let contract = from_value(row.value)?;
        raise_revision(&mut snapshot.configuration, revision);
        let configuration = &mut snapshot.configuration;
        configuration.contracts.insert(id.into(), contract);
        configuration.rows.contracts.insert(id.into(), revision);
    } else if let Some(endpoint) = row.key.strip_prefix(DRAIN) {
        let state = from_value(row.value)?;
        raise_revision(&mut snapshot.configuration, revision);
        let configuration = &mut snapshot.configuration;
        configuration.drains.insert(endpoint.into(), state);
        let revisions = &mut configuration.rows.drains;
        revisions.insert(endpoint.into(), revision);
    }
    Ok(())
}

fn raise_revision(configuration: &mut Configuration, revision: u64) {
    configuration.revision = configuration.revision.max(revision);
}

pub(crate) fn to_value(row: &impl Serialize) -> Result<Value, TableError> {
    serde_json::to_value(row).map_err(|e| TableError::Answer(e.to_string()))
}

pub(crate) fn from_value<T: DeserializeOwned>(value: Value) -> Result<T, TableError> {
    serde_json::from_value(value).map_err(|e| TableError::Answer(e.to_string()))
}
