//! What must be known before a new owner may start work.

use {
    crate::timing::{CLOCK_DRIFT_MARGIN, OWNERSHIP_LEASE, RECORD_WINDOW},
    chestnutrun_types::{EndpointId, Incarnation, KeyHash, KnownAgents, RunRecords},
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// One run of an agent.
pub type AgentRun = (EndpointId, Incarnation);

/// Progress of a change of owner.
///
/// Every run of an agent that may hold records of an earlier ownership is
/// either fenced, or its lease is waited out and its records count as unread.
#[derive(Debug)]
pub struct Takeover {
    unread: IndexMap<AgentRun, Instant>,
    read: IndexSet<AgentRun>,
    written_at: Instant,
    acknowledged_at: Option<Instant>,
    blind_until: Option<Instant>,
    traces: IndexMap<KeyHash, IndexSet<AgentRun>>,
    serving: bool,
}

impl Takeover {
    /// Starts a change of owner that the table accepted before `written_at`.
    ///
    /// `known` are the agents that may hold records; where it is not complete,
    /// there may be others that nobody named.
    #[must_use]
    pub fn new(written_at: Instant, known: KnownAgents) -> Self {
        let forget_at = written_at + RECORD_WINDOW;
        let mut takeover = Self {
            unread: IndexMap::new(),
            read: IndexSet::new(),
            written_at,
            acknowledged_at: None,
            blind_until: (!known.complete).then_some(forget_at),
            traces: IndexMap::new(),
            serving: false,
        };
        takeover.learn(known);
        takeover
    }

    /// Takes what another entry knows of the agents.
    pub fn learn(&mut self, known: KnownAgents) {
        if known.complete {
            self.blind_until = None;
        }
        let forget_at = self.written_at + RECORD_WINDOW;
        for known in known.runs {
            let run = (known.endpoint, known.incarnation);
            match known.records {
                RunRecords::Departed(jobs) => self.read(&run, jobs),
                RunRecords::AtAgent if self.read.contains(&run) => {}
                RunRecords::AtAgent => {
                    self.unread.entry(run).or_insert(forget_at);
                }
            }
        }
    }

    /// Notes that nobody vouches for an earlier ownership from `at` on.
    pub fn acknowledge(&mut self, at: Instant) {
        self.acknowledged_at.get_or_insert(at);
    }

    /// Whether work may start.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// Returns the moment at which the earlier owner's lease is surely over,
    /// once that is known.
    #[must_use]
    pub fn lease_over_at(&self) -> Option<Instant> {
        self.acknowledged_at
            .map(|at| at + OWNERSHIP_LEASE + CLOCK_DRIFT_MARGIN)
    }

    /// Whether every record of earlier ownerships was read.
    #[must_use]
    pub fn knows_all(&self) -> bool {
        self.unread.is_empty() && self.blind_until.is_none()
    }

    /// Takes an agent's list of jobs.
    pub fn read(&mut self, run: &AgentRun, jobs: impl IntoIterator<Item = KeyHash>) {
        self.unread.shift_remove(run);
        self.read.insert(run.clone());
        for job in jobs {
            self.traces.entry(job).or_default().insert(run.clone());
        }
    }

    /// Returns the runs of agents that hold records of a job.
    #[must_use]
    pub fn traced(&self, job: KeyHash) -> Option<&IndexSet<AgentRun>> {
        self.traces.get(&job)
    }

    /// Forgets where a job's records are, after they were read.
    pub fn resolve(&mut self, job: KeyHash) {
        self.traces.swap_remove(&job);
    }

    /// Decides whether work may start; returns whether that changed.
    pub fn advance(&mut self, at: Instant) -> bool {
        self.unread.retain(|_, forget_at| *forget_at > at);
        if self.blind_until.is_some_and(|until| until <= at) {
            self.blind_until = None;
        }
        let changed = self.is_ready(at) && !self.serving;
        self.serving |= changed;
        changed
    }

    fn is_ready(&self, at: Instant) -> bool {
        // Without the acknowledgements, others may vouch for the earlier owner
        // to an agent that starts later and knows no ownership.
        let lease_over_at = self.lease_over_at();
        lease_over_at.is_some_and(|over_at| self.knows_all() || at >= over_at)
    }
}
