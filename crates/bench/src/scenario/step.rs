//! The steps of a scenario file.

use {
    crate::{
        scenario::ContractPlan,
        standins::{EndpointFault, TableFault},
    },
    serde::Deserialize,
    std::time::Duration,
};

/// One step of a scenario.
///
/// Processes are named `entry-0`, `agent-0`, `endpoint-0` and `table`. An entry
/// may also be named by its role at the start of the scenario: `owner`, `other`
/// or `third`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Step {
    /// Callers submit jobs while the next steps are carried out.
    Submit(SubmitStep),
    /// Callers request the answers of jobs.
    Ask(AskStep),
    /// Callers cancel jobs.
    Cancel(AskStep),
    /// Waits for the answers of calls and compares them with what is expected.
    Expect(ExpectStep),
    /// Kills processes.
    Kill(Vec<String>),
    /// Suspends processes (`SIGSTOP`).
    Freeze(Vec<String>),
    /// Resumes frozen processes (`SIGCONT`).
    Wake(Vec<String>),
    /// Sends processes `SIGTERM` and waits until they have exited.
    Terminate(Vec<String>),
    /// Kills processes that still run, and starts all with the same settings.
    Restart(Vec<String>),
    /// Cuts the open links to entries.
    Cut(Vec<String>),
    /// Drops all bytes of the open links to entries; the links stay open.
    Silence(Vec<String>),
    /// Waits until every agent and entry has a new link to a silenced entry.
    Relinked(RelinkedStep),
    /// Sets the fault of the table.
    Table(TableFault),
    /// Sets the fault of an endpoint.
    Endpoint(EndpointStep),
    /// An operator changes the configuration.
    Operate(OperateStep),
    /// Operators change the configuration concurrently.
    Race(RaceStep),
    /// Waits until entries show the same in-flight limit of a contract.
    InForce(InForceStep),
    /// Waits until endpoints have started tasks of a submission.
    Started(StartedStep),
    /// Waits until an entry serves with at least a number of endpoints.
    Serving(ServingStep),
    /// Opens connections that send input which no caller, operator or process
    /// would send.
    Hostile(HostileStep),
    /// Waits for this time.
    Pause(#[serde(with = "humantime_serde")] Duration),
}

/// Callers submit jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SubmitStep {
    /// Name of the submission within the scenario.
    pub name: String,
    /// Name of an earlier submission whose keys and bodies are sent again.
    pub again: Option<String>,
    /// Name of an earlier submission whose keys are reused with other bodies.
    pub keys_of: Option<String>,
    /// Entry that gets the first attempt, or `each` for a different one per job.
    pub at: String,
    /// Id of the contract.
    pub contract: String,
    /// Number of jobs.
    pub jobs: u32,
    /// Number of tasks of each job.
    pub tasks: u16,
    /// Actual run time of each task, which is also the declared one.
    #[serde(with = "humantime_serde")]
    pub run: Duration,
    /// Length of each task's output, in bytes.
    pub output_bytes: usize,
    /// Whether each task fails after its run time.
    pub fails: bool,
    /// Time between submission and deadline; no task starts after the deadline.
    #[serde(with = "humantime_serde")]
    pub deadline_in: Duration,
    /// Query parameter `wait`: how long the entry may wait for the job's end.
    pub wait: Option<String>,
    /// Whether the first attempt declares that the key was never sent before.
    pub first: bool,
    /// Whether the caller retries at the next entry until it gets a final answer.
    pub patient: bool,
    /// Time after which the caller disconnects.
    #[serde(with = "humantime_serde")]
    pub leave_after: Option<Duration>,
    /// Time between two submissions.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
}

impl Default for SubmitStep {
    fn default() -> Self {
        Self {
            name: String::new(),
            again: None,
            keys_of: None,
            at: "owner".to_owned(),
            contract: "letters".to_owned(),
            jobs: 1,
            tasks: 1,
            run: Duration::from_millis(1),
            output_bytes: 0,
            fails: false,
            deadline_in: Duration::from_mins(1),
            wait: None,
            first: false,
            patient: false,
            leave_after: None,
            every: Duration::ZERO,
        }
    }
}

/// Callers request the answers of a submission's jobs, or cancel the jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AskStep {
    /// Name of these calls within the scenario.
    pub name: String,
    /// Name of the submission.
    pub of: String,
    /// Entry that gets the requests.
    #[serde(default = "owner")]
    pub at: String,
    /// Query parameter `wait`: how long the entry may wait for the job's end.
    #[serde(default = "ten_seconds")]
    pub wait: String,
}

fn owner() -> String {
    "owner".to_owned()
}

fn ten_seconds() -> String {
    "10s".to_owned()
}

/// Waits for the answers of calls and compares them with what is expected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectStep {
    /// Names of the calls.
    pub of: Vec<String>,
    /// Allowed status codes; 0 stands for a call without an answer.
    pub status: Vec<u16>,
    /// Status of the job that every answer must state, if set.
    #[serde(default)]
    pub job: Option<String>,
    /// Allowed outcomes of the tasks; any if empty.
    #[serde(default)]
    pub outcomes: Vec<String>,
    /// Name of the problem that every answer must state, if set.
    #[serde(default)]
    pub problem: Option<String>,
    /// Time limit for all answers together.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
}

/// Sets the fault of an endpoint.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointStep {
    /// Number of the endpoint.
    pub number: u16,
    /// Fault that the endpoint simulates from now on.
    pub fault: EndpointFault,
}

/// An operator changes the configuration.
///
/// The change is the first that is set of `contract`, `drain` and `undrain`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperateStep {
    /// Entry that gets the request.
    #[serde(default = "owner")]
    pub at: String,
    /// Contract to create or replace.
    #[serde(default)]
    pub contract: Option<ContractPlan>,
    /// Number of an endpoint to drain.
    #[serde(default)]
    pub drain: Option<u16>,
    /// Number of a drained endpoint that is to serve again.
    #[serde(default)]
    pub undrain: Option<u16>,
    /// Expected status code; 0 for no answer.
    pub status: u16,
}

/// Operators change the configuration concurrently.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RaceStep {
    /// The changes; their expected status codes may come in any order.
    pub operators: Vec<OperateStep>,
}

/// Waits until entries show the same in-flight limit of a contract.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InForceStep {
    /// Id of the contract.
    pub contract: String,
    /// Allowed limits; all entries must show the same one of them.
    pub in_flight_limit: Vec<u32>,
    /// Entries that must show the limit.
    pub at: Vec<String>,
    /// Time limit.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
}

/// Waits until endpoints have started tasks of a submission.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartedStep {
    /// Name of the submission.
    pub of: String,
    /// Least number of starts of its tasks.
    pub tasks: usize,
    /// Time limit.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
}

/// Waits until an entry serves with at least a number of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingStep {
    /// Least number of usable endpoints.
    pub endpoints: usize,
    /// Time limit.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
}

/// Address to which hostile connections are opened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Port {
    /// Address of an entry for callers.
    Callers,
    /// Address of an entry for operators.
    Operators,
    /// Address of an entry for links.
    Inner,
    /// Address of the first agent for operators.
    Agent,
}

/// Input that a hostile connection sends.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum HostileInput {
    /// Bytes of no protocol.
    Garbage,
    /// A request whose head is incomplete.
    HalfHead,
    /// A request whose body is incomplete.
    HalfBody,
    /// A handshake of a link with a wrong site token.
    WrongToken,
    /// A handshake of a link with an unsupported version of the protocol.
    WrongVersion,
    /// A link that sends nothing after the handshake.
    NoHello,
    /// A link with a frame that is not a valid message.
    BadFrame,
    /// A link with a frame that announces far too large a size.
    LargeFrame,
}

/// Opens connections that send input which no caller, operator or process would
/// send, and waits until the site has closed all of them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostileStep {
    /// Entry to which the connections are opened; unused for the agent's address.
    #[serde(default = "owner")]
    pub at: String,
    /// Address of the entry or agent to which the connections are opened.
    pub port: Port,
    /// Input that each connection sends.
    pub send: HostileInput,
    /// Number of concurrent connections.
    pub connections: usize,
    /// Allowed status codes; 0 stands for a connection closed without one.
    pub status: Vec<u16>,
}

/// Waits until every agent and entry has a new link to a silenced entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelinkedStep {
    /// Entry whose links were silenced.
    pub at: String,
    /// Time limit.
    #[serde(with = "humantime_serde")]
    pub within: Duration,
}
