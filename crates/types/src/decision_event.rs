//! Events of the structured log: what a process decided, and on which facts.

use {
    crate::{
        AgentId, AssignmentId, EndKind, EndpointId, EntryId, Incarnation, JobId, Revision, RouteId,
        RoutingVersion, RunNumber, ServiceId, TaskId, TaskPosition,
    },
    serde::{Deserialize, Serialize},
    std::borrow::Cow,
};

/// An event of the structured log: a decision about a job, or a change in what
/// the process knows of other processes and of its settings.
///
/// Fields in `_ms` are in whole milliseconds, those in `_cpu_millis` in
/// thousandths of a core.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum DecisionEvent {
    /// An entry accepted a job.
    JobTaken {
        /// The job.
        job: JobId,
        /// Route of the job.
        route: RouteId,
        /// Number of the job's tasks.
        tasks: usize,
        /// Expected run time of the longest chain of steps.
        chain_ms: u64,
        /// Longest wait of the first tasks with which the job still meets its latency
        /// objective.
        slack_ms: u64,
        /// How long the caller still waits for the answer.
        caller_waits_ms: u64,
        /// Number of unfinished jobs at the entry, including this one.
        held: usize,
    },
    /// A caller submitted a job under the id of a job that the entry holds.
    JobSubmittedAgain {
        /// The held job.
        job: JobId,
        /// Whether it is the same job, so that its callers share the answer.
        is_same: bool,
        /// Time since the entry accepted the held job.
        held_ms: u64,
        /// Number of callers that now wait for the held job.
        callers: usize,
    },
    /// An entry assigned tasks of a job to an agent.
    TasksPlaced {
        /// The job.
        job: JobId,
        /// The agent.
        agent: AgentId,
        /// Number of the assignment.
        assignment: AssignmentId,
        /// Number of tasks in the assignment.
        tasks: usize,
        /// Time since the entry accepted the job.
        after_ms: u64,
        /// Free processor capacity of the endpoint, as the agent last reported it.
        free_cpu_millis: u32,
        /// Age of that report.
        report_age_ms: u64,
    },
    /// An agent returned a task that did not complete.
    TaskReturned {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskPosition,
        /// The agent to which the task was assigned.
        agent: AgentId,
        /// Number of the start; 0 if the task did not start.
        run: RunNumber,
        /// How the task ended at the agent.
        how: EndKind,
        /// How long the task ran.
        ran_ms: u64,
    },
    /// An entry sent a caller the answer of a job.
    JobAnswered {
        /// The job.
        job: JobId,
        /// Route of the job.
        route: RouteId,
        /// Outcome in the answer, such as `completed`.
        outcome: Cow<'static, str>,
        /// Time since the entry accepted the job.
        took_ms: u64,
        /// Time until the first task was placed; none if no task was placed.
        placed_after_ms: Option<u64>,
        /// Number of tasks that completed.
        done: usize,
        /// Number of tasks that are or may be at an agent at the time of the
        /// answer.
        at_agents: usize,
        /// Number of times that an agent returned a task that did not complete.
        returned: u32,
    },
    /// An entry refused a job that by its view of the site cannot start in time.
    JobRefusedByForecast {
        /// The job.
        job: JobId,
        /// Time that the job would wait for room.
        wait_ms: u64,
        /// Time until the last moment at which the job can start.
        left_ms: u64,
        /// Work that gets room before the job, in thousandths of a core-second.
        work_core_ms: u64,
        /// Rate at which the endpoints work.
        rate_cpu_millis: u64,
        /// Mean age of the reports that the view consists of.
        view_age_ms: u64,
    },
    /// An entry gave up a job, since endpoints crashed under one of its tasks.
    JobGivenUp {
        /// The job.
        job: JobId,
        /// Number of the crashes.
        crashes: usize,
    },
    /// A caller cancelled a job, here or at another entry.
    CancelRequested {
        /// The job.
        job: JobId,
        /// Whether the request came to this entry.
        is_here: bool,
        /// Whether this entry held the job.
        is_held: bool,
    },
    /// An entry has no route for a request.
    RouteNotFound {
        /// Host of the request.
        host: String,
        /// Path of the request.
        path: String,
        /// Version of the routing table in force.
        routing_version: RoutingVersion,
    },
    /// An entry dropped a job because its caller disconnected.
    #[serde(rename = "caller-gone")]
    CallerDisconnected {
        /// The job.
        job: JobId,
        /// Time since the entry accepted the job.
        took_ms: u64,
    },
    /// An agent's link opened and the agent sent its first message.
    AgentLinked {
        /// The agent.
        agent: AgentId,
        /// Number of the agent's run.
        incarnation: Incarnation,
        /// The agent's endpoint; none if it cannot be used.
        endpoint: Option<EndpointId>,
        /// Number of this entry's tasks that wait or run at the agent.
        live: usize,
    },
    /// An entry lost contact with an agent, so that it no longer knows the state
    /// of the tasks there.
    AgentLost {
        /// The agent.
        agent: AgentId,
        /// Number of tasks whose state is unknown.
        in_doubt: usize,
    },
    /// An agent reported that its endpoint became usable or unusable.
    EndpointChanged {
        /// The agent.
        agent: AgentId,
        /// The endpoint; none if it can no longer be used.
        endpoint: Option<EndpointId>,
        /// Number of the endpoint's run.
        incarnation: Incarnation,
        /// Pool of the endpoint; none if the endpoint can no longer be used.
        service: Option<ServiceId>,
        /// Processor capacity of the endpoint, used and free.
        cpu_millis: u32,
    },
    /// An agent asked its endpoint to start a task.
    TaskStarted {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskPosition,
        /// Number of the start.
        run: RunNumber,
        /// The entry that assigned the task.
        entry: EntryId,
        /// Number of the assignment.
        assignment: AssignmentId,
        /// How long the task waited at the agent.
        waited_ms: u64,
        /// Free processor capacity of the endpoint.
        free_cpu_millis: u32,
    },
    /// An endpoint did not start a task that its agent asked it to start.
    StartRefused {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskPosition,
        /// Number of the start.
        run: RunNumber,
        /// The endpoint's answer; `no-answer` if it did not answer.
        reason: Cow<'static, str>,
    },
    /// An agent asked its endpoint to stop a task.
    TaskStopped {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskPosition,
        /// Number of the start.
        run: RunNumber,
        /// Why the task is stopped.
        reason: Cow<'static, str>,
        /// Last known progress of the task, in percent.
        percent: u32,
    },
    /// A task ended at an agent.
    TaskEnded {
        /// The job.
        job: JobId,
        /// The task.
        task: TaskPosition,
        /// Number of the start; 0 if the task did not start.
        run: RunNumber,
        /// How the task ended.
        how: EndKind,
        /// How long the task ran.
        ran_ms: u64,
    },
    /// An agent learned that its endpoint started, is leaving or is lost.
    #[serde(rename = "endpoint-news")]
    EndpointLifecycle {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of the endpoint's run.
        incarnation: Incarnation,
        /// The change, such as `announced`, `usable` or `silent`.
        news: Cow<'static, str>,
    },
    /// An agent learned that its endpoint crashed.
    EndpointCrashed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of the endpoint's run.
        incarnation: Incarnation,
        /// Tasks that were at the endpoint.
        at_work: Vec<TaskId>,
    },
    /// An agent considers an entry dead and stops the tasks that it assigned.
    EntryLost {
        /// The entry.
        entry: EntryId,
        /// Number of tasks that are stopped.
        tasks: usize,
        /// Time since the agent last knew the entry to be alive.
        proof_age_ms: u64,
    },
    /// The process started to use another routing table.
    RoutingInForce {
        /// Version of the table.
        version: RoutingVersion,
        /// Version that the table replaced.
        replaced: RoutingVersion,
        /// Origin of the table: `directory` or `peer`.
        source: Cow<'static, str>,
    },
    /// The directory answered a read, or a feed request with changes or with the
    /// reply that it no longer keeps the requested revision.
    DirectoryAnswer {
        /// Which request was answered: `read` or `feed`.
        call: Cow<'static, str>,
        /// Result of the request: `done` or `history-gone`.
        outcome: Cow<'static, str>,
        /// Revision after which the feed was to continue; none for a read.
        after: Option<Revision>,
        /// Revision that the directory names as its newest.
        directory_revision: Option<Revision>,
        /// Revision at which the routing table was written; none if the answer has
        /// no table.
        row_revision: Option<Revision>,
        /// Version of the routing table; none if the answer has no valid table.
        routing_version: Option<RoutingVersion>,
    },
    /// The process lost or regained a dependency.
    Dependency {
        /// The dependency, such as `directory` or `entry-link`.
        name: Cow<'static, str>,
        /// Whether the dependency is available.
        is_there: bool,
    },
    /// The process started, reloaded its settings, is leaving or ended.
    Process {
        /// The change: `started`, `reloaded`, `settings-refused`, `leaves` or
        /// `stopped`.
        news: Cow<'static, str>,
        /// Number of unfinished jobs of an entry, or of tasks at an agent.
        held: usize,
    },
    /// Lines were dropped because the log exceeded its rate limit.
    LinesLeftOut {
        /// Number of lines dropped since the last such event.
        count: u64,
    },
}

impl DecisionEvent {
    /// Returns the job that the event refers to, if any.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::JobTaken { job, .. }
            | Self::JobSubmittedAgain { job, .. }
            | Self::CancelRequested { job, .. }
            | Self::TasksPlaced { job, .. }
            | Self::TaskReturned { job, .. }
            | Self::JobAnswered { job, .. }
            | Self::JobRefusedByForecast { job, .. }
            | Self::JobGivenUp { job, .. }
            | Self::CallerDisconnected { job, .. }
            | Self::TaskStarted { job, .. }
            | Self::StartRefused { job, .. }
            | Self::TaskStopped { job, .. }
            | Self::TaskEnded { job, .. } => Some(job),
            _ => None,
        }
    }

    /// Returns the name of the event in the log.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::JobTaken { .. } => "job-taken",
            Self::JobSubmittedAgain { .. } => "job-submitted-again",
            Self::TasksPlaced { .. } => "tasks-placed",
            Self::TaskReturned { .. } => "task-returned",
            Self::JobAnswered { .. } => "job-answered",
            Self::JobRefusedByForecast { .. } => "job-refused-by-forecast",
            Self::JobGivenUp { .. } => "job-given-up",
            Self::CancelRequested { .. } => "cancel-requested",
            Self::RouteNotFound { .. } => "route-not-found",
            Self::CallerDisconnected { .. } => "caller-gone",
            Self::AgentLinked { .. } => "agent-linked",
            Self::AgentLost { .. } => "agent-lost",
            Self::EndpointChanged { .. } => "endpoint-changed",
            Self::TaskStarted { .. } => "task-started",
            Self::StartRefused { .. } => "start-refused",
            Self::TaskStopped { .. } => "task-stopped",
            Self::TaskEnded { .. } => "task-ended",
            Self::EndpointLifecycle { .. } => "endpoint-news",
            Self::EndpointCrashed { .. } => "endpoint-crashed",
            Self::EntryLost { .. } => "entry-lost",
            Self::RoutingInForce { .. } => "routing-in-force",
            Self::DirectoryAnswer { .. } => "directory-answer",
            Self::Dependency { .. } => "dependency",
            Self::Process { .. } => "process",
            Self::LinesLeftOut { .. } => "lines-left-out",
        }
    }

    /// Returns whether the event is rare or reports a problem; all other events
    /// are dropped first when the log exceeds its rate limit.
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
