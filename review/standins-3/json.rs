//! A small JSON reader and writer for the stand-ins.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            buf: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.blank();
        (reader.at == reader.buf.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Num(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    buf: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn blank(&mut self) {
        while self.buf.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.buf[self.at..]
            .starts_with(word.as_bytes())
            .then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.blank();
        match *self.buf.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                self.blank();
                if self.take("}").is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.blank();
                    let key = self.string()?;
                    self.blank();
                    self.take(":")?;
                    map.insert(key, self.value()?);
                    self.blank();
                    if self.take(",").is_none() {
                        self.take("}")?;
                        return Some(Json::Map(map));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                self.blank();
                if self.take("]").is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    self.blank();
                    if self.take(",").is_none() {
                        self.take("]")?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => {
                let from = self.at;
                while self
                    .buf
                    .get(self.at)
                    .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.buf[from..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.buf.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.buf.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.buf.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend(c.to_string().as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

/// Returns bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
