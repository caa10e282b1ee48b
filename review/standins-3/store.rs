//! The platform's store: rows, transactions and the feed of changes.

use crate::{
    http::{Answer, Request, Server},
    json::{Json, base64, quote},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

#[derive(Default)]
struct Rows {
    newest: u64,
    rows: BTreeMap<(String, String, String), (String, u64)>,
    /// Version, table and row of each change.
    changes: Vec<(u64, String, String)>,
}

#[derive(Default)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
}

pub struct Store {
    shared: Arc<Shared>,
    begun: Instant,
    _server: Server,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        let begun = Instant::now();
        let handler = {
            let shared = shared.clone();
            Arc::new(move |request: Request| answer(&shared, begun, &request))
        };
        Ok(Self {
            shared,
            begun,
            _server: Server::start(address, handler)?,
        })
    }

    /// Writes a row as the operator does.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.shared.rows.lock().unwrap();
        rows.newest += 1;
        put(&mut rows, table, "", key, &base64(value.as_bytes()));
        self.shared.changed.notify_all();
        let _ = self.begun;
    }
}

fn row_text(table: &str, part: &str, key: &str, value: &str, ver: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"ver\":{ver}}}",
        quote(table),
        quote(part),
        quote(key),
        quote(value)
    )
}

fn put(rows: &mut Rows, table: &str, part: &str, key: &str, value: &str) {
    let ver = rows.newest;
    rows.rows
        .insert((table.into(), part.into(), key.into()), (value.into(), ver));
    rows.changes
        .push((ver, table.into(), row_text(table, part, key, value, ver)));
}

fn answer(shared: &Shared, begun: Instant, request: &Request) -> Answer {
    let now_ms = || begun.elapsed().as_millis();
    let table = request.value("table").unwrap_or_default();
    match request.path.as_str() {
        "/chestnutrun/rows-get" => {
            let part = request.value("part").unwrap_or_default();
            let from = request.value("from").unwrap_or_default();
            let target = request.value("target");
            let rows = shared.rows.lock().unwrap();
            let found = rows.rows.iter().filter(|((t, p, key), _)| {
                *t == table
                    && *p == part
                    && *key >= from
                    && target.as_ref().is_none_or(|end| key < end)
            });
            let found: Vec<String> = found
                .map(|((t, p, key), (value, ver))| row_text(t, p, key, value, *ver))
                .collect();
            Some((
                200,
                format!(
                    "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{}}}",
                    found.join(","),
                    rows.newest,
                    now_ms()
                ),
            ))
        }
        "/chestnutrun/rows-feed" => {
            let after: u64 = request.value("after")?.parse().ok()?;
            let wait: u64 = request.value("wait_ms")?.parse().ok()?;
            let until = Instant::now() + Duration::from_millis(wait.min(30_000));
            let mut rows = shared.rows.lock().unwrap();
            loop {
                let news: Vec<String> = rows
                    .changes
                    .iter()
                    .filter(|(ver, t, _)| *ver > after && *t == table)
                    .map(|(_, _, row)| row.clone())
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !news.is_empty() || left.is_zero() {
                    let text = news.join(",");
                    return Some((
                        200,
                        format!(
                            "{{\"rows\":[{text}],\"ver\":{},\"now_ms\":{}}}",
                            rows.newest,
                            now_ms()
                        ),
                    ));
                }
                rows = shared.changed.wait_timeout(rows, left).unwrap().0;
            }
        }
        "/chestnutrun/rows-tx" => {
            let body = Json::parse(&request.body)?;
            let mut rows = shared.rows.lock().unwrap();
            rows.newest += 1;
            for row in body.get("writes").list() {
                let text = |key| row.get(key).text().unwrap_or_default().to_owned();
                put(
                    &mut rows,
                    &text("table"),
                    &text("part"),
                    &text("key"),
                    &text("value"),
                );
            }
            for row in body.get("remove").list() {
                let text = |key| row.get(key).text().unwrap_or_default().to_owned();
                let (table, part, key) = (text("table"), text("part"), text("key"));
                if rows
                    .rows
                    .remove(&(table.clone(), part.clone(), key.clone()))
                    .is_some()
                {
                    let ver = rows.newest;
                    let gone = format!(
                        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{ver},\"deleted\":true}}",
                        quote(&table),
                        quote(&part),
                        quote(&key)
                    );
                    rows.changes.push((ver, table, gone));
                }
            }
            shared.changed.notify_all();
            Some((
                200,
                format!("{{\"ver\":{},\"now_ms\":{}}}", rows.newest, now_ms()),
            ))
        }
        _ => Some((404, "{}".into())),
    }
}
