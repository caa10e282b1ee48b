//! Jobs as callers submit them.

use {
    crate::{ContractId, IdempotencyKey, KeyHash, ShardId, TaskIndex, TaskRef, TaskSpec},
    serde::{Deserialize, Serialize},
    std::{fmt, time::SystemTime},
    thiserror::Error,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most tasks that one job may have.
pub const MAX_TASKS_PER_JOB: usize = 170;

/// Longest idempotency key, in characters.
const MAX_KEY_CHARACTERS: usize = 128;

/// Identifies one job by its contract and the caller's key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobRef {
    /// Contract under which the job was submitted.
    pub contract: ContractId,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
}

impl JobRef {
    /// Returns a hash of contract and key that is the same in every process.
    #[must_use]
    pub fn key_hash(&self) -> KeyHash {
        let mut buf = Vec::with_capacity(self.contract.len() + self.key.len() + 1);
        buf.extend_from_slice(self.contract.as_bytes());
        buf.push(b'/');
        buf.extend_from_slice(self.key.as_bytes());
        xxh3_64(&buf)
    }

    /// Returns the shard that the job belongs to, on a site with `shards` shards.
    #[must_use]
    pub fn shard(&self, shards: ShardId) -> ShardId {
        let rest = self.key_hash() % KeyHash::from(shards.max(1));
        ShardId::try_from(rest).unwrap_or_default()
    }

    /// Returns the reference to the job's task at `index`.
    #[must_use]
    pub fn task(&self, index: TaskIndex) -> TaskRef {
        TaskRef {
            contract: self.contract.clone(),
            key: self.key.clone(),
            index,
        }
    }
}

impl fmt::Display for JobRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.contract, self.key)
    }
}

/// The content of one submission: tasks, deadline and urgency.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// The tasks, 1 to [`MAX_TASKS_PER_JOB`].
    pub tasks: Vec<TaskSpec>,
    /// Moment after which no task of the job is started.
    pub deadline: SystemTime,
    /// Urgency within the contract; jobs with a higher value run first.
    pub urgency: u8,
}

/// Why a submission is not a valid job.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobError {
    /// The job has no task.
    #[error("a job needs at least one task")]
    NoTask,
    /// The job has too many tasks.
    #[error("a job has at most {MAX_TASKS_PER_JOB} tasks, this one has {0}")]
    TooManyTasks(usize),
    /// The key has a length or a character that is not allowed.
    #[error("an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters of A-Z a-z 0-9 . _ -")]
    BadKey,
    /// A task names no kind.
    #[error("task {0} has an empty kind")]
    EmptyKind(usize),
}

impl JobSpec {
    /// Checks the number of tasks and that each task names a kind.
    ///
    /// # Errors
    /// Returns the first rule that the job breaks.
    pub fn check(&self) -> Result<(), JobError> {
        if self.tasks.is_empty() {
            return Err(JobError::NoTask);
        }
        if self.tasks.len() > MAX_TASKS_PER_JOB {
            return Err(JobError::TooManyTasks(self.tasks.len()));
        }
        match self.tasks.iter().position(|task| task.kind.is_empty()) {
            Some(index) => Err(JobError::EmptyKind(index)),
            None => Ok(()),
        }
    }

    /// Checks the characters and the length of an idempotency key.
    ///
    /// # Errors
    /// Returns [`JobError::BadKey`] if the key breaks the rule.
    pub fn check_key(key: &str) -> Result<(), JobError> {
        let fits = (1..=MAX_KEY_CHARACTERS).contains(&key.len());
        let allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        if fits && key.chars().all(allowed) {
            Ok(())
        } else {
            Err(JobError::BadKey)
        }
    }
}
