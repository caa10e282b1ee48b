//! A small JSON reader, enough for the bodies that the programs send.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            rest: text.as_bytes(),
        };
        let value = reader.value()?;
        reader.skip_space();
        reader.rest.is_empty().then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a number as an integer; 0 if the value is none.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Encodes a text as JSON.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if u32::from(c) < 0x20 => quoted.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    rest: &'a [u8],
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while let [b' ' | b'\t' | b'\n' | b'\r', rest @ ..] = self.rest {
            self.rest = rest;
        }
    }

    fn take(&mut self, token: &str) -> bool {
        self.skip_space();
        match self.rest.strip_prefix(token.as_bytes()) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.rest.first()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true").then_some(Json::Bool(true)),
            b'f' => self.take("false").then_some(Json::Bool(false)),
            b'n' => self.take("null").then_some(Json::Null),
            _ => self.number(),
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take("{");
        let mut fields = BTreeMap::new();
        if self.take("}") {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_space();
            let key = self.text()?;
            if !self.take(":") {
                return None;
            }
            fields.insert(key, self.value()?);
            if self.take("}") {
                return Some(Json::Table(fields));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[");
        let mut list = Vec::new();
        if self.take("]") {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.take("]") {
                return Some(Json::List(list));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        let mut rest = self.rest.strip_prefix(b"\"")?;
        let mut bytes = Vec::new();
        loop {
            let (first, after) = rest.split_first()?;
            rest = after;
            match first {
                b'"' => break,
                b'\\' => {
                    let (escaped, after) = rest.split_first()?;
                    rest = after;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(rest.get(..4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            rest = &rest[4..];
                            let c = char::from_u32(code).unwrap_or('\u{fffd}');
                            bytes.extend(c.to_string().bytes());
                        }
                        other => bytes.push(*other),
                    }
                }
                other => bytes.push(*other),
            }
        }
        self.rest = rest;
        String::from_utf8(bytes).ok()
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |b: &u8| b.is_ascii_digit() || matches!(b, b'-' | b'+' | b'.' | b'e' | b'E');
        let length = self.rest.iter().take_while(|b| is_part(b)).count();
        let (number, rest) = self.rest.split_at(length);
        self.rest = rest;
        let number = std::str::from_utf8(number).ok()?.parse().ok()?;
        Some(Json::Number(number))
    }
}
