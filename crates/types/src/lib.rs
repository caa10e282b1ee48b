//! Core types of the dispatcher: ids, contracts, jobs, tasks, ownership and the
//! bodies of the messages that processes exchange.
//!
//! The types do not depend on how messages are encoded and transported.

mod answer;
mod assignment;
mod best_effort_job;
mod cancelled_job;
mod configuration;
mod contract;
mod decision_event;
mod demand;
mod endpoint_report;
mod exchange;
mod ids;
mod job;
mod member;
mod now;
mod refusal;
mod resources;
mod routing;
mod step;
mod table;
mod task;

pub use {
    answer::{JobAnswer, JobStatus, TaskAnswer, TaskOutcome},
    assignment::{AssignedTask, Assignment, Revocation, TaskId, TaskPosition},
    best_effort_job::{BestEffortJob, BestEffortJobError, MAX_PAYLOAD_BYTES, MAX_STEP_TASKS},
    cancelled_job::CancelledJob,
    configuration::{Configuration, DrainState, RowRevisions},
    contract::{Contract, ContractBuilder, ContractError, Overflow},
    decision_event::DecisionEvent,
    demand::{ClassDemand, DemandClass},
    endpoint_report::{
        AgentUpdate, EndKind, EndpointCrash, EndpointInfo, Reserve, Resync, TaskEnd,
    },
    exchange::{
        Acknowledgement, AgentHello, Confirm, Confirmation, Fence, FenceReply, Finished, JobReply,
        KeyHash, KnownAgents, KnownRun, Lookup, LookupReply, RecordState, Reply, RunRecords,
        SentStart, Start, StartRefusal, StartRefused, Submit, TaskRecord, Vote, VoteBasis,
        VoteRequest,
    },
    ids::*,
    job::{JobError, JobRef, JobSpec, MAX_TASKS_PER_JOB},
    member::{Departure, Electorate, MAX_NAME_BYTES, Member, MemberError, MemberList, ShardOwner},
    now::Now,
    refusal::{Refusal, RefusalReason},
    resources::Resources,
    routing::{Route, RoutingTable},
    step::StepSpec,
    table::{TableRow, TableSnapshot, TableWrite, Versioned, WriteResult},
    task::{TaskRef, TaskSpec},
};
