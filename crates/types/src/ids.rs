//! Ids, as aliases of standard types.

use std::sync::Arc;

/// Name of a contract, as operators chose it.
pub type ContractId = Arc<str>;

/// Key that the caller chose for a submission: 1 to 128 characters of
/// `A-Za-z0-9._-`.
pub type IdempotencyKey = Arc<str>;

/// Name of an endpoint, from its agent's settings.
pub type EndpointId = Arc<str>;

/// Name of an entry, from its settings.
pub type EntryId = Arc<str>;

/// Name of an availability zone, from settings.
pub type ZoneId = Arc<str>;

/// Name of a kind of task; run times are learned for each contract and kind.
pub type KindId = Arc<str>;

/// Number of a shard: a set of endpoints together with the keys that hash to it.
pub type ShardId = u32;

/// Number of an ownership of a shard; it grows with each change of owner.
pub type Epoch = u64;

/// Number of one run of a process; a restart under the same name gets another
/// one.
pub type Incarnation = u64;

/// Id that the caller chose for a best-effort job: 16 hexadecimal digits.
pub type JobId = Arc<str>;

/// Name of a route.
pub type RouteId = Arc<str>;

/// Name of a pool of endpoints.
pub type ServiceId = Arc<str>;

/// Name of an agent, from its settings.
pub type AgentId = Arc<str>;

/// A label of an endpoint, such as its kind or its rack.
pub type Label = Arc<str>;

/// Position of a step in its job, from 0.
pub type StepIndex = u16;

/// Number of an assignment, counted from 1 in each run of the entry.
pub type AssignmentId = u64;

/// Number of a start of a task at an endpoint; it grows with each start.
pub type RunNumber = u64;

/// Version of the routing table; it grows with each change.
pub type RoutingVersion = u64;

/// Position of a task in its job, from 0.
pub type TaskIndex = u16;

/// Number of earlier starts of a task that an owner sent under one ownership.
pub type Attempt = u32;

/// Revision of the platform's table; it grows with each accepted write.
pub type Revision = u64;

/// Digest of a submission's body.
pub type BodyDigest = u128;

/// Number that a request carries and its answer repeats, so that the answer is
/// matched to the moment of the request.
pub type Nonce = u64;
