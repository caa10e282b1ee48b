//! Conditions under which a new owner may start tasks.

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
/// Tasks may start once every run of an agent that may hold records of an earlier
/// ownership is fenced, or else once the lease of that ownership has expired. In
/// the second case, the records of the runs that are not fenced count as unread.
#[derive(Debug)]
pub struct Takeover {
    unread_runs: IndexMap<AgentRun, Instant>,
    read_runs: IndexSet<AgentRun>,
    written_at: Instant,
    acknowledged_at: Option<Instant>,
    unknown_agents_until: Option<Instant>,
    runs_by_job: IndexMap<KeyHash, IndexSet<AgentRun>>,
    serving: bool,
}

impl Takeover {
    /// Starts a change of owner that the table accepted before `written_at`.
    ///
    /// `known` lists the agents that may hold records. If the list is not
    /// complete, unknown agents may hold records too.
    #[must_use]
    pub fn new(written_at: Instant, known: KnownAgents) -> Self {
        let forget_at = written_at + RECORD_WINDOW;
        let mut takeover = Self {
            unread_runs: IndexMap::new(),
            read_runs: IndexSet::new(),
            written_at,
            acknowledged_at: None,
            unknown_agents_until: (!known.complete).then_some(forget_at),
            runs_by_job: IndexMap::new(),
            serving: false,
        };
        takeover.add_agents(known);
        takeover
    }

    /// Adds the agents that another entry knows.
    pub fn add_agents(&mut self, known: KnownAgents) {
        if known.complete {
            self.unknown_agents_until = None;
        }
        let forget_at = self.written_at + RECORD_WINDOW;
        for known in known.runs {
            let run = (known.endpoint, known.incarnation);
            match known.records {
                RunRecords::Departed(jobs) => self.add_job_list(&run, jobs),
                RunRecords::AtAgent if self.read_runs.contains(&run) => {}
                RunRecords::AtAgent => {
                    self.unread_runs.entry(run).or_insert(forget_at);
                }
            }
        }
    }

    /// Records that from `at` on, no voter votes for an earlier ownership.
    pub fn acknowledge(&mut self, at: Instant) {
        self.acknowledged_at.get_or_insert(at);
    }

    /// Whether tasks may start.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.serving
    }

    /// Returns the moment by which the earlier owner's lease has surely expired;
    /// none until enough voters have acknowledged the new ownership.
    #[must_use]
    pub fn earlier_lease_ends_at(&self) -> Option<Instant> {
        self.acknowledged_at
            .map(|at| at + OWNERSHIP_LEASE + CLOCK_DRIFT_MARGIN)
    }

    /// Whether every record of earlier ownerships was read.
    #[must_use]
    pub fn has_all_records(&self) -> bool {
        self.unread_runs.is_empty() && self.unknown_agents_until.is_none()
    }

    /// Stores the list of jobs for which a run holds records.
    pub fn add_job_list(&mut self, run: &AgentRun, jobs: impl IntoIterator<Item = KeyHash>) {
        self.unread_runs.shift_remove(run);
        self.read_runs.insert(run.clone());
        for job in jobs {
            self.runs_by_job.entry(job).or_default().insert(run.clone());
        }
    }

    /// Returns the runs of agents that may hold records of a job.
    #[must_use]
    pub fn runs_with_records(&self, job: KeyHash) -> Option<&IndexSet<AgentRun>> {
        self.runs_by_job.get(&job)
    }

    /// Forgets which runs may hold records of a job, after they were read.
    pub fn forget_runs(&mut self, job: KeyHash) {
        self.runs_by_job.swap_remove(&job);
    }

    /// Updates whether tasks may start; returns true when they first may.
    pub fn advance(&mut self, at: Instant) -> bool {
        self.unread_runs.retain(|_, forget_at| *forget_at > at);
        if self.unknown_agents_until.is_some_and(|until| until <= at) {
            self.unknown_agents_until = None;
        }
        let changed = self.is_ready(at) && !self.serving;
        self.serving |= changed;
        changed
    }

    fn is_ready(&self, at: Instant) -> bool {
        // Before the acknowledgements, voters may still vote for the earlier
        // owner, and an agent that starts late and knows no ownership would
        // accept that owner.
        let lease_ends_at = self.earlier_lease_ends_at();
        lease_ends_at.is_some_and(|ends_at| self.has_all_records() || at >= ends_at)
    }
}
