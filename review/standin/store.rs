//! The platform's metadata store: rows, transactions and the feed of one table.

use {
    crate::{
        http::{Request, Response, serve},
        json::{Json, quote},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    value: String,
    ver: u64,
    is_deleted: bool,
}

#[derive(Default)]
struct State {
    rows: Vec<Row>,
    ver: u64,
}

/// A store that answers every call.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    begin: Instant,
}

impl Store {
    pub fn serve(address: SocketAddr) -> io::Result<Self> {
        let this = Self {
            state: Arc::default(),
            begin: Instant::now(),
        };
        let served = this.clone();
        serve(address, move |req| served.handle(req))?;
        Ok(this)
    }

    /// Writes the operator's configuration; returns once it is in force in the store.
    pub fn write_config(&self, config: &str) {
        self.write("op", "", "config", &base64(config.as_bytes()));
    }

    fn write(&self, table: &str, part: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.ver += 1;
        put(&mut state, table, part, key, Some(value));
        changed.notify_all();
    }

    fn handle(&self, req: &Request) -> Response {
        match req.path.as_str() {
            "/chestnutrun/rows-get" => self.read(req),
            "/chestnutrun/rows-feed" => self.feed(req),
            "/chestnutrun/rows-tx" => self.transact(req),
            _ => (404, "{}".to_owned()),
        }
    }

    fn reply(&self, rows: &[&Row], ver: u64) -> Response {
        let rows: Vec<String> = rows
            .iter()
            .map(|row| {
                let deleted = if row.is_deleted {
                    ",\"deleted\":true"
                } else {
                    ""
                };
                format!(
                    "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"ver\":{}{deleted}}}",
                    quote(&row.table),
                    quote(&row.part),
                    quote(&row.key),
                    quote(&row.value),
                    row.ver
                )
            })
            .collect();
        let now = self.begin.elapsed().as_millis();
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{ver},\"now_ms\":{now}}}",
            rows.join(",")
        );
        (200, body)
    }

    fn read(&self, req: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let (table, from) = (req.query_value("table"), req.query_value("from"));
        let mut rows: Vec<&Row> = state
            .rows
            .iter()
            .filter(|row| {
                let is_in = row.table == table && row.part == req.query_value("part");
                is_in && !row.is_deleted && row.key.as_str() >= from
            })
            .collect();
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows.truncate(req.query_value("limit").parse().unwrap_or(500));
        self.reply(&rows, state.ver)
    }

    fn feed(&self, req: &Request) -> Response {
        let number = |name| req.query_value(name).parse::<u64>().unwrap_or(0);
        let (after, table) = (number("after"), req.query_value("table"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows: Vec<&Row> = state
                .rows
                .iter()
                .filter(|row| row.table == table && row.ver > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|row| row.ver);
                return self.reply(&rows, state.ver);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, req: &Request) -> Response {
        let Some(body) = Json::parse(&req.body) else {
            return (400, "{}".to_owned());
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let is_met = body.get("expected_rev").list().iter().all(|row| {
            let known = find(&state, row).filter(|known| !known.is_deleted);
            row.get("ver").int() == Some(known.map_or(0, |known| known.ver))
        });
        if !is_met {
            return (412, "{\"rows\":[]}".to_owned());
        }
        state.ver += 1;
        for (list, is_write) in [("writes", true), ("remove", false)] {
            for row in body.get(list).list() {
                let text = |name| row.get(name).text();
                let value = is_write.then(|| text("value"));
                put(&mut state, text("table"), text("part"), text("key"), value);
            }
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{},\"now_ms\":1}}", state.ver))
    }
}

fn find<'a>(state: &'a State, wanted: &Json) -> Option<&'a Row> {
    let text = |name| wanted.get(name).text();
    state.rows.iter().find(|row| {
        row.table == text("table") && row.part == text("part") && row.key == text("key")
    })
}

/// Writes a row at the newest version, or removes it if it has no value.
fn put(state: &mut State, table: &str, part: &str, key: &str, value: Option<&str>) {
    state
        .rows
        .retain(|row| !(row.table == table && row.part == part && row.key == key));
    let row = Row {
        table: table.to_owned(),
        part: part.to_owned(),
        key: key.to_owned(),
        value: value.unwrap_or_default().to_owned(),
        ver: state.ver,
        is_deleted: value.is_none(),
    };
    state.rows.push(row);
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > chunk.len();
            out.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[value as usize])
            });
        }
    }
    out
}
