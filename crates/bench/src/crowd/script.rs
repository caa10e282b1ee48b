//! Bytes that each client of a crowd sends.

/// Text that a client replaces by 16 hexadecimal digits wherever it sends it: an id that
/// no other request of the crowd has. It has the same length.
pub const OWN_ID: &str = "{{ own job id }}";

/// What each client of a crowd sends: a head, then a piece that it repeats, then a tail.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Script {
    /// Bytes that are sent first.
    pub head: Vec<u8>,
    /// Bytes that are sent next, again and again.
    pub piece: Vec<u8>,
    /// How often the piece is sent.
    pub repeats: usize,
    /// Bytes that are sent last.
    pub tail: Vec<u8>,
    /// Whether the client reads what it is sent.
    pub reads: bool,
}

/// Returns the bytes with this id in place of each [`OWN_ID`]; none if there is none.
pub(crate) fn with_id(bytes: &[u8], id: u64) -> Option<Vec<u8>> {
    let mark = OWN_ID.as_bytes();
    let starts = |bytes: &[u8], at: usize| bytes[at..].starts_with(mark);
    let mut at = (0..bytes.len()).find(|at| starts(bytes, *at))?;
    let digits = format!("{id:016x}");
    let mut text = bytes.to_vec();
    while at < text.len() {
        if starts(&text, at) {
            text[at..at + mark.len()].copy_from_slice(digits.as_bytes());
        }
        at += 1;
    }
    Some(text)
}
