//! What a process decided, and on what.

use {
    crate::{
        AgentId, AssignmentId, EndKind, EndpointId, EntryId, Incarnation, JobId, Revision, RouteId,
        RoutingVersion, RunNumber, ServiceId, StepTask,
    },
    serde::{Deserialize, Serialize},
    std::borrow::Cow,
};

/// One decision that touches a job or changes what a process believes.
///
/// Times are in whole milliseconds, processor in thousandths of a core.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum DecisionNote {
    /// An entry took a job in.
    JobTaken {
        /// The job.
        job: JobId,
        /// Its route.
        route: RouteId,
        /// Number of its tasks.
        tasks: usize,
        /// Longest chain of work that is expected.
        chain_ms: u64,
        /// How long its first tasks may wait to be in time.
        slack_ms: u64,
        /// How long its caller waits.
        caller_waits_ms: u64,
        /// Jobs that the entry holds, this one among them.
        held: usize,
    },
    /// An entry gave tasks of a job to an agent.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// The agent.
        agent: AgentId,
        /// Number of the assignment.
        assignment: AssignmentId,
        /// Number of tasks.
        tasks: usize,
        /// Time since the job came.
        after_ms: u64,
        /// Processor that the agent had free, as the entry knew.
        free_cpu_millis: u32,
        /// Age of that knowledge.
        report_age_ms: u64,
    },
    /// A task came back to its entry undone.
    TaskReturned {
        /// The job.
        job: JobId,
        /// The task.
        task: StepTask,
        /// The agent that had it.
        agent: AgentId,
        /// Number of the start; 0 where there was none.
        run: RunNumber,
        /// How it ended.
        how: EndKind,
        /// How long it ran.
        ran_ms: u64,
    },
    /// An entry told a caller how its job ended.
    JobAnswered {
        /// The job.
        job: JobId,
        /// Its route.
        route: RouteId,
        /// What the caller was told.
        outcome: Cow<'static, str>,
        /// Time since the job came.
        took_ms: u64,
        /// Time until its first task was placed; none where none was.
        placed_after_ms: Option<u64>,
        /// Tasks that ran to their end.
        done: usize,
        /// Tasks that an agent had or may have had at that moment.
        at_agents: usize,
        /// Tasks that came back undone.
        returned: u32,
    },
    /// An entry has no route for a request.
    RouteNotFound {
        /// Host that the request names.
        host: String,
        /// Its path.
        path: String,
        /// Version of the routing table in force.
        routing_version: RoutingVersion,
    },
    /// An entry dropped a job whose caller went away.
    CallerGone {
        /// The job.
        job: JobId,
        /// Time since the job came.
        took_ms: u64,
    },
    /// An agent's link opened and the agent told what it has.
    AgentLinked {
        /// The agent.
        agent: AgentId,
        /// Run of the agent.
        incarnation: Incarnation,
        /// Its endpoint, where it can be used.
        endpoint: Option<EndpointId>,
        /// Tasks of this entry that it has.
        live: usize,
    },
    /// An agent is out of reach; what it had is in doubt.
    AgentLost {
        /// The agent.
        agent: AgentId,
        /// Tasks that are in doubt.
        in_doubt: usize,
    },
    /// An agent's endpoint can be used, or no longer.
    EndpointChanged {
        /// The agent.
        agent: AgentId,
        /// The endpoint; none where it is gone.
        endpoint: Option<EndpointId>,
        /// Run of the endpoint.
        incarnation: Incarnation,
        /// Its pool.
        service: Option<ServiceId>,
        /// Its processor.
        cpu_millis: u32,
    },
    /// An agent sent a start to its endpoint.
    TaskStarted {
        /// The job.
        job: JobId,
        /// The task.
        task: StepTask,
        /// Number of the start.
        run: RunNumber,
        /// The entry that assigned it.
        entry: EntryId,
        /// Number of the assignment.
        assignment: AssignmentId,
        /// Time for which it waited at the agent.
        waited_ms: u64,
        /// Processor that was free.
        free_cpu_millis: u32,
    },
    /// The endpoint did not start a run.
    StartRefused {
        /// The job.
        job: JobId,
        /// The task.
        task: StepTask,
        /// Number of the start.
        run: RunNumber,
        /// What the endpoint answered; `no-answer` where nothing came.
        reason: Cow<'static, str>,
    },
    /// An agent has a run stopped.
    TaskStopped {
        /// The job.
        job: JobId,
        /// The task.
        task: StepTask,
        /// Number of the start.
        run: RunNumber,
        /// Why.
        reason: Cow<'static, str>,
        /// Progress that was last seen, in percent.
        percent: u32,
    },
    /// A task at an agent is over.
    TaskEnded {
        /// The job.
        job: JobId,
        /// The task.
        task: StepTask,
        /// Number of the start; 0 where there was none.
        run: RunNumber,
        /// How it ended.
        how: EndKind,
        /// How long it ran.
        ran_ms: u64,
    },
    /// The endpoint announced itself for the first time, leaves or is gone.
    EndpointNews {
        /// The endpoint.
        endpoint: EndpointId,
        /// Run of the endpoint.
        incarnation: Incarnation,
        /// What happened.
        news: Cow<'static, str>,
    },
    /// An entry counts as dead; what it assigned is stopped.
    EntryLost {
        /// The entry.
        entry: EntryId,
        /// Its tasks.
        tasks: usize,
        /// Age of the last proof that it lived.
        proof_age_ms: u64,
    },
    /// A routing table is in force.
    RoutingInForce {
        /// Its version.
        version: RoutingVersion,
        /// Version that it replaced.
        replaced: RoutingVersion,
        /// Who brought it.
        source: Cow<'static, str>,
    },
    /// The directory answered a read, or a feed that moved on or lost its place.
    DirectoryAnswer {
        /// What was called: `read` or `feed`.
        call: Cow<'static, str>,
        /// How it ended: `done` or `history-gone`.
        outcome: Cow<'static, str>,
        /// Revision after which a feed was to go on.
        after: Option<Revision>,
        /// Revision that the directory names as its newest.
        directory_revision: Option<Revision>,
        /// Revision at which the routing table was written, where it came.
        row_revision: Option<Revision>,
        /// Version of the routing table, where it came and can be read.
        routing_version: Option<RoutingVersion>,
    },
    /// Something that the process depends on was lost or is back.
    Dependency {
        /// What.
        name: Cow<'static, str>,
        /// Whether it is there.
        is_there: bool,
    },
    /// The process started, reloads, leaves or ends.
    Process {
        /// What happened.
        news: Cow<'static, str>,
        /// Jobs or tasks that it has.
        held: usize,
    },
    /// Lines were left out to bound the log.
    LinesLeftOut {
        /// How many since the last such line.
        count: u64,
    },
}

impl DecisionNote {
    /// Returns the job that it is about.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::JobTaken { job, .. }
            | Self::TasksPlaced { job, .. }
            | Self::TaskReturned { job, .. }
            | Self::JobAnswered { job, .. }
            | Self::CallerGone { job, .. }
            | Self::TaskStarted { job, .. }
            | Self::StartRefused { job, .. }
            | Self::TaskStopped { job, .. }
            | Self::TaskEnded { job, .. } => Some(job),
            _ => None,
        }
    }

    /// Returns the name of the event, as it stands in the log.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::JobTaken { .. } => "job-taken",
            Self::TasksPlaced { .. } => "tasks-placed",
            Self::TaskReturned { .. } => "task-returned",
            Self::JobAnswered { .. } => "job-answered",
            Self::RouteNotFound { .. } => "route-not-found",
            Self::CallerGone { .. } => "caller-gone",
            Self::AgentLinked { .. } => "agent-linked",
            Self::AgentLost { .. } => "agent-lost",
            Self::EndpointChanged { .. } => "endpoint-changed",
            Self::TaskStarted { .. } => "task-started",
            Self::StartRefused { .. } => "start-refused",
            Self::TaskStopped { .. } => "task-stopped",
            Self::TaskEnded { .. } => "task-ended",
            Self::EndpointNews { .. } => "endpoint-news",
            Self::EntryLost { .. } => "entry-lost",
            Self::RoutingInForce { .. } => "routing-in-force",
            Self::DirectoryAnswer { .. } => "directory-answer",
            Self::Dependency { .. } => "dependency",
            Self::Process { .. } => "process",
            Self::LinesLeftOut { .. } => "lines-left-out",
        }
    }

    /// Whether it tells of something that did not go well, or that is rare.
    #[must_use]
    pub fn is_remarkable(&self) -> bool {
        match self {
            Self::JobTaken { .. } | Self::TasksPlaced { .. } | Self::TaskStarted { .. } => false,
            Self::TaskEnded { how, .. } => *how != EndKind::Done,
            Self::JobAnswered { outcome, .. } => outcome != "completed",
            _ => true,
        }
    }
}
