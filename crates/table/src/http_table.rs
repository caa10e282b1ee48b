//! Client of the platform's table over HTTP.

use {
    crate::{
        Condition, ConflictReply, RowReply, Table, TableError, TableFuture, Transaction,
        TransactionReply, decoded_rows::DecodedRows, odd_rows::OddRows, rows,
    },
    chestnutrun_types::{Revision, TableSnapshot, TableWrite, WriteResult},
    ntex::{client::Client, http::StatusCode, time::Millis},
    std::{fmt, net::SocketAddr},
};

/// Time limit for the head of the table's answer, and the same limit again for
/// its body.
const ANSWER_TIMEOUT: Millis = Millis(500);

/// Longest answer of the table that the client accepts, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Client of the platform's table.
#[derive(Clone)]
pub struct HttpTable {
    address: SocketAddr,
    client: Client,
    odd_rows: OddRows,
}

impl fmt::Debug for HttpTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpTable")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpTable {
    /// Creates a client of the table at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self {
            address,
            client,
            odd_rows: OddRows::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn client(&self) -> Client {
        self.client.clone()
    }
}

impl Table for HttpTable {
    fn read(&self) -> TableFuture<Result<TableSnapshot, TableError>> {
        let (client, address) = (self.client(), self.address());
        let odd_rows = self.odd_rows.clone();
        Box::pin(async move {
            let (snapshot, odd) = rows::snapshot(read_rows(&client, address, rows::SITE).await?)?;
            odd_rows.report(odd);
            Ok(snapshot)
        })
    }

    fn write(&self, write: TableWrite, operation: String) -> TableFuture<WriteResult> {
        let (client, address) = (self.client(), self.address());
        Box::pin(async move {
            match try_write(&client, address, &write, operation).await {
                Ok(result) => result,
                Err(error) => {
                    log::warn!(
                        "result of the write of row {} is unknown: {error}",
                        rows::key(&write.row)
                    );
                    WriteResult::Unknown
                }
            }
        })
    }
}

async fn try_write(
    client: &Client,
    address: SocketAddr,
    write: &TableWrite,
    operation: String,
) -> Result<WriteResult, TableError> {
    let transaction = Transaction {
        operation,
        conditions: vec![Condition {
            key: rows::key(&write.row),
            revision: write.expected,
        }],
        writes: vec![rows::write(&write.row)?],
    };
    match transact(client, address, &transaction).await? {
        TransactionOutcome::Accepted(revision) => Ok(WriteResult::Accepted(revision)),
        TransactionOutcome::Conflict(rows) => {
            let revision = rows.first().map_or(0, |row| row.revision);
            Ok(WriteResult::Conflict(revision))
        }
    }
}

/// Reads the rows whose keys begin with `prefix`.
pub(crate) async fn read_rows(
    client: &Client,
    address: SocketAddr,
    prefix: &str,
) -> Result<DecodedRows, TableError> {
    let res = client
        .get(format!("http://{address}/rows?prefix={prefix}"))
        .timeout(ANSWER_TIMEOUT)
        .send()
        .await
        .map_err(|e| TableError::Unreachable(e.to_string()))?;
    if res.status() != StatusCode::OK {
        return Err(TableError::Status(res.status().as_u16()));
    }
    DecodedRows::parse(&read_body(&res).await?)
}

/// Result of a transaction.
pub(crate) enum TransactionOutcome {
    /// The transaction took effect at this revision.
    Accepted(Revision),
    /// The transaction had no effect, since these rows do not have the expected
    /// revisions.
    Conflict(Vec<RowReply>),
}

/// Sends a transaction to the table.
pub(crate) async fn transact(
    client: &Client,
    address: SocketAddr,
    transaction: &Transaction,
) -> Result<TransactionOutcome, TableError> {
    let res = client
        .post(format!("http://{address}/transactions"))
        .timeout(ANSWER_TIMEOUT)
        .send_json(transaction)
        .await
        .map_err(|e| TableError::Unreachable(e.to_string()))?;
    let buf = read_body(&res).await?;
    match res.status() {
        StatusCode::OK => {
            let reply: TransactionReply = parse_json(&buf)?;
            Ok(TransactionOutcome::Accepted(reply.revision))
        }
        StatusCode::CONFLICT => {
            let reply: ConflictReply = parse_json(&buf)?;
            Ok(TransactionOutcome::Conflict(reply.rows))
        }
        status => Err(TableError::Status(status.as_u16())),
    }
}

async fn read_body(res: &ntex::client::ClientResponse) -> Result<ntex::util::Bytes, TableError> {
    res.body()
        .limit(MAX_ANSWER_BYTES)
        .timeout(ANSWER_TIMEOUT)
        .await
        .map_err(|e| TableError::Unreachable(e.to_string()))
}

fn parse_json<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Result<T, TableError> {
    serde_json::from_slice(buf).map_err(|e| TableError::Answer(e.to_string()))
}
