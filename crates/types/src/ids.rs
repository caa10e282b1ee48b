//! Ids, as aliases of standard types.

use std::sync::Arc;

/// Name of a contract, as operators chose it.
pub type ContractId = Arc<str>;

/// The caller's key of a submission: 1 to 128 characters of `A-Za-z0-9._-`.
pub type IdempotencyKey = Arc<str>;

/// Name of an endpoint, from the settings of its agent.
pub type EndpointId = Arc<str>;

/// Name of an entry, from its settings.
pub type EntryId = Arc<str>;

/// Name of an availability zone, from settings.
pub type ZoneId = Arc<str>;

/// Name of a kind of task; run times are learned by contract and kind.
pub type KindId = Arc<str>;

/// Number of a shard: a set of endpoints together with the keys that hash to it.
pub type ShardId = u32;

/// Number of an ownership of a shard; grows with each change of owner.
pub type Epoch = u64;

/// Tells one run of a process from the next one under the same name.
pub type Incarnation = u64;

/// The caller's name of a best-effort job: 16 hexadecimal digits.
pub type JobId = Arc<str>;

/// Name of a route.
pub type RouteId = Arc<str>;

/// Name of a pool of endpoints.
pub type ServiceId = Arc<str>;

/// Name of an agent, from its settings.
pub type AgentId = Arc<str>;

/// A property of an endpoint, such as its kind or its rack.
pub type Label = Arc<str>;

/// Position of a step in its job, from 0.
pub type StepIndex = u16;

/// Number of an assignment, which grows with each one of an entry's run.
pub type AssignmentId = u64;

/// Number of a task's start at an endpoint; grows with each start.
pub type RunNumber = u64;

/// Version of the routing table; grows with each change.
pub type RoutingVersion = u64;

/// Position of a task in its job, from 0.
pub type TaskIndex = u16;

/// How often an owner has sent a task's start before, under one ownership.
pub type Attempt = u32;

/// Revision of the platform's table; grows with each accepted write.
pub type Revision = u64;

/// Digest of a submission's body.
pub type BodyDigest = u128;

/// Number that ties a confirmation to the moment when it was asked for.
pub type Nonce = u64;
