//! Sizes in bytes, written with a unit.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Units and their sizes in bytes, the largest first, so that formatting picks
/// the largest unit that divides a size.
const UNITS: [(&str, usize); 6] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("MB", 1_000_000),
    ("kB", 1_000),
    ("B", 1),
];

/// A size in bytes, written with a unit such as `8MiB`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct ByteSize(usize);

/// Error of parsing a text that is not a whole number with a unit, or is too
/// large.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error(
    "a size is a whole number with a unit (B, kB, MB, KiB, MiB, GiB), such as `8MiB`, not `{0}`"
)]
pub struct ByteSizeError(String);

impl ByteSize {
    /// Creates a size of `count` mebibytes.
    #[must_use]
    pub const fn mebibytes(count: usize) -> Self {
        Self(count << 20)
    }

    /// Returns the size in bytes.
    #[must_use]
    pub const fn bytes(self) -> usize {
        self.0
    }
}

impl FromStr for ByteSize {
    type Err = ByteSizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ByteSizeError(text.to_owned());
        let end = text.find(|c: char| !c.is_ascii_digit());
        let (digits, unit) = text.split_at(end.ok_or_else(error)?);
        let count: usize = digits.parse().map_err(|_| error())?;
        let unit = unit.trim_start();
        let found = UNITS.iter().find(|(name, _)| *name == unit);
        let (_, bytes) = found.ok_or_else(error)?;
        count.checked_mul(*bytes).map(Self).ok_or_else(error)
    }
}

impl TryFrom<String> for ByteSize {
    type Error = ByteSizeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fits = |bytes: usize| bytes == 1 || self.0 >= bytes && self.0.is_multiple_of(bytes);
        for (unit, bytes) in UNITS {
            if fits(bytes) {
                return write!(f, "{}{unit}", self.0 / bytes);
            }
        }
        Ok(())
    }
}
