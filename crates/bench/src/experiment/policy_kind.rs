//! The placement policies that an experiment can compare.

use {
    crate::experiment::Ideal,
    chestnutrun_decisions::policy::{
        EndpointChoice, EndpointQueues, FirstCome, Policy, SizeAware, StaticShares,
    },
    rand::{SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A placement policy that an experiment can compare.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// First come, first served.
    FirstCome,
    /// Shortest of all waiting tasks first, with the true run times known.
    Ideal,
    /// A queue at each endpoint; each task goes to a random endpoint.
    RandomEndpoint,
    /// A queue at each endpoint; tasks go to the endpoints in turn.
    RoundRobin,
    /// Short tasks before long ones, with shares between contracts.
    SizeAware,
    /// A fixed share of the slots for each contract.
    StaticShares,
}

impl PolicyKind {
    /// Creates the policy; only the policy with random choices uses `seed`.
    #[must_use]
    pub fn policy(self, seed: u64) -> Box<dyn Policy> {
        match self {
            Self::FirstCome => Box::new(FirstCome::default()),
            Self::Ideal => Box::new(Ideal::default()),
            Self::RandomEndpoint => {
                let rng = StdRng::seed_from_u64(seed);
                Box::new(EndpointQueues::new(EndpointChoice::Random(Box::new(rng))))
            }
            Self::RoundRobin => Box::new(EndpointQueues::new(EndpointChoice::RoundRobin(0))),
            Self::SizeAware => Box::new(SizeAware::default()),
            Self::StaticShares => Box::new(StaticShares::default()),
        }
    }

    /// Returns the name of the policy in the settings of an entry.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstCome => "first-come",
            Self::Ideal => "ideal",
            Self::RandomEndpoint => "random-endpoint",
            Self::RoundRobin => "round-robin",
            Self::SizeAware => "size-aware",
            Self::StaticShares => "static-shares",
        }
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}
