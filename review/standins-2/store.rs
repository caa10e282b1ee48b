//! A stand-in for the platform's store: rows with versions and a feed of changes.

use crate::{
    http::{self, Request, Response},
    json::{Json, quote},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Most rows in an answer.
const MAX_ROWS: usize = 500;

#[derive(Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// In base64; none for a row that was removed.
    value: Option<String>,
    version: u64,
}

impl Row {
    fn is_at(&self, table: &str, part: &str, key: &str) -> bool {
        self.table == table && self.part == part && self.key == key
    }

    fn to_json(&self) -> String {
        let rest = match &self.value {
            Some(value) => format!("\"value\":{}", quote(value)),
            None => "\"deleted\":true".to_owned(),
        };
        let (table, part, key) = (quote(&self.table), quote(&self.part), quote(&self.key));
        format!(
            "{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{},{rest}}}",
            self.version
        )
    }
}

#[derive(Default)]
struct Rows {
    version: u64,
    /// Every change, in order.
    changes: Vec<Row>,
}

impl Rows {
    /// Returns the newest change of a row unless it was removed.
    fn present(&self, table: &str, part: &str, key: &str) -> Option<&Row> {
        let newest = self
            .changes
            .iter()
            .rev()
            .find(|row| row.is_at(table, part, key));
        newest.filter(|row| row.value.is_some())
    }
}

#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    changed: Arc<Condvar>,
    begin: Instant,
}

impl Store {
    pub fn serve(address: SocketAddr) -> io::Result<Self> {
        let this = Self {
            rows: Arc::default(),
            changed: Arc::default(),
            begin: Instant::now(),
        };
        let store = this.clone();
        http::serve(address, Arc::new(move |req| store.answer(req)))?;
        Ok(this)
    }

    /// Writes the operator's configuration, a JSON text.
    pub fn write_config(&self, config: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.changes.push(Row {
            table: "op".into(),
            part: String::new(),
            key: "config".into(),
            value: Some(base64(config.as_bytes())),
            version,
        });
        self.changed.notify_all();
    }

    fn answer(&self, req: &Request) -> Response {
        match req.path.as_str() {
            "/chestnutrun/rows-get" => self.get(req),
            "/chestnutrun/rows-feed" => self.feed(req),
            "/chestnutrun/rows-tx" => self.transact(&req.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, rows: &[Row], has_more: bool, version: u64) -> Response {
        let rows: Vec<String> = rows.iter().map(Row::to_json).collect();
        let now = self.begin.elapsed().as_millis();
        let rows = rows.join(",");
        (
            200,
            format!(
                "{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now}}}"
            ),
        )
    }

    fn get(&self, req: &Request) -> Response {
        let rows = self.rows.lock().unwrap();
        let (table, part, from) = (req.query("table"), req.query("part"), req.query("from"));
        let target = req.query("target");
        let limit = req.query("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let mut keys: Vec<&str> = rows
            .changes
            .iter()
            .filter(|row| row.table == table && row.part == part && row.key.as_str() >= from)
            .filter(|row| target.is_empty() || row.key.as_str() < target)
            .map(|row| row.key.as_str())
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let present = keys.iter().filter_map(|key| rows.present(table, part, key));
        let present: Vec<Row> = present.cloned().collect();
        let has_more = present.len() > limit;
        self.reply(&present[..present.len().min(limit)], has_more, rows.version)
    }

    fn feed(&self, req: &Request) -> Response {
        let after: u64 = req.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(req.query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let table = req.query("table");
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.changes.iter();
            let changes = changes.filter(|row| row.table == table && row.version > after);
            let changes: Vec<Row> = changes.take(MAX_ROWS).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return self.reply(&changes, false, rows.version);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> Response {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.rows.lock().unwrap();
        let at = |row: &Json| {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut conflicting = Vec::new();
        let mut is_conflict = false;
        for expected in body.get("expected_rev").list() {
            let (table, part, key) = at(expected);
            let present = rows.present(&table, &part, &key);
            is_conflict |= present.map_or(0, |row| row.version) != expected.get("ver").number();
            conflicting.extend(present.cloned());
        }
        if is_conflict {
            return (412, self.reply(&conflicting, false, rows.version).1);
        }
        let writes = body.get("writes").list().iter();
        let writes = writes.map(|row| (at(row), Some(row.get("value").text().to_owned())));
        let removals = body.get("remove").list().iter().map(|row| (at(row), None));
        let changes: Vec<_> = writes.chain(removals).collect();
        if changes
            .iter()
            .any(|((table, ..), _)| table == "op" || table == "servers")
        {
            return (403, "{}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for ((table, part, key), value) in changes {
            rows.changes.push(Row {
                table,
                part,
                key,
                value,
                version,
            });
        }
        self.changed.notify_all();
        self.reply(&[], false, version)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
