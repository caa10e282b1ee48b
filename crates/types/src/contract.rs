//! Contracts: limits and share of the site's slots for each customer.

use {
    crate::ContractId,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt::Write,
    thiserror::Error,
};

/// What happens to tasks beyond the contract's share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Overflow {
    /// The task waits in the contract's queue.
    Queue,
    /// The task is refused at once.
    Refuse,
    /// The task runs on slots that no other contract needs within its share.
    Borrow,
}

/// A contract of a customer, as operators configure it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the contract: 1 to 64 characters of `a-z0-9-`.
    pub id: ContractId,
    /// Most tasks that run at once within the share.
    pub in_flight_limit: u32,
    /// Most tasks that wait in the contract's queue.
    pub queue_limit: u32,
    /// Urgency relative to other contracts; tasks of contracts with a higher
    /// value run first.
    pub urgency: u8,
    /// Share of the slots relative to other contracts of the same urgency.
    pub weight: u32,
    /// What happens to tasks beyond the share.
    pub overflow: Overflow,
    /// SHA-256 of the caller's token, in hexadecimal digits.
    pub token_hash: String,
}

/// Why a contract is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ContractError {
    /// The name is empty, too long or has a character that is not allowed.
    #[error("a contract's name has 1 to 64 characters of a-z 0-9 -, not {0:?}")]
    BadName(ContractId),
    /// The named field is zero but must be positive.
    #[error("{0} must be at least 1")]
    Zero(&'static str),
    /// The token's hash is not a SHA-256 in hexadecimal digits.
    #[error("token_hash must be 64 hexadecimal digits (the SHA-256 of the token)")]
    BadTokenHash,
}

/// Length of a SHA-256 in hexadecimal digits.
const TOKEN_HASH_DIGITS: usize = 64;

/// Longest name of a contract, in characters.
const MAX_NAME_CHARACTERS: usize = 64;

impl Contract {
    /// Starts to build a contract with default limits and no token hash.
    pub fn builder(id: impl Into<ContractId>) -> ContractBuilder {
        ContractBuilder {
            contract: Self {
                id: id.into(),
                in_flight_limit: 1,
                queue_limit: 1_000,
                urgency: 0,
                weight: 1,
                overflow: Overflow::Queue,
                token_hash: String::new(),
            },
        }
    }

    /// Returns the SHA-256 of a caller's token, in lower-case hexadecimal digits.
    #[must_use]
    pub fn hash_token(token: &str) -> String {
        let mut digits = String::with_capacity(TOKEN_HASH_DIGITS);
        for byte in Sha256::digest(token.as_bytes()) {
            // Writing to a string does not fail.
            let _ = write!(digits, "{byte:02x}");
        }
        digits
    }

    /// Checks the name, the limits and the token hash.
    ///
    /// # Errors
    /// Returns the first rule that the contract breaks.
    pub fn check(&self) -> Result<(), ContractError> {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let fits = (1..=MAX_NAME_CHARACTERS).contains(&self.id.len());
        if !fits || !self.id.chars().all(allowed) {
            return Err(ContractError::BadName(self.id.clone()));
        }
        if self.in_flight_limit == 0 {
            return Err(ContractError::Zero("in_flight_limit"));
        }
        if self.weight == 0 {
            return Err(ContractError::Zero("weight"));
        }
        let is_digit = |c: char| c.is_ascii_hexdigit();
        if self.token_hash.len() != TOKEN_HASH_DIGITS || !self.token_hash.chars().all(is_digit) {
            return Err(ContractError::BadTokenHash);
        }
        Ok(())
    }
}

/// Builds a [`Contract`].
#[derive(Clone, Debug)]
pub struct ContractBuilder {
    contract: Contract,
}

impl ContractBuilder {
    /// Sets the most tasks that run at once within the share.
    #[must_use]
    pub fn in_flight_limit(mut self, limit: u32) -> Self {
        self.contract.in_flight_limit = limit;
        self
    }

    /// Sets the most tasks that wait in the contract's queue.
    #[must_use]
    pub fn queue_limit(mut self, limit: u32) -> Self {
        self.contract.queue_limit = limit;
        self
    }

    /// Sets the urgency relative to other contracts.
    #[must_use]
    pub fn urgency(mut self, urgency: u8) -> Self {
        self.contract.urgency = urgency;
        self
    }

    /// Sets the share of the slots relative to contracts of the same urgency.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.contract.weight = weight;
        self
    }

    /// Sets what happens to tasks beyond the share.
    #[must_use]
    pub fn overflow(mut self, overflow: Overflow) -> Self {
        self.contract.overflow = overflow;
        self
    }

    /// Sets the SHA-256 of the caller's token.
    #[must_use]
    pub fn token_hash(mut self, digits: impl Into<String>) -> Self {
        self.contract.token_hash = digits.into();
        self
    }

    /// Checks the contract and returns it.
    ///
    /// # Errors
    /// Returns the first rule that the contract breaks.
    pub fn build(self) -> Result<Contract, ContractError> {
        self.contract.check()?;
        Ok(self.contract)
    }
}
