//! The shards that this entry owns.

use {
    chestnutrun_decisions::owner::{OwnerAction, OwnerConf, OwnerInput, OwnerMachine, Takeover},
    chestnutrun_decisions::policy::{
        EndpointChoice, EndpointQueues, FirstCome, Policy, SizeAware, StaticShares,
    },
    chestnutrun_settings::PolicyName,
    chestnutrun_types::{AgentHello, Configuration, Now, ShardId},
    indexmap::IndexMap,
    rand::{SeedableRng, rngs::StdRng},
    std::rc::Rc,
};

/// Decision machines of the shards that this entry owns.
#[derive(Debug)]
pub(crate) struct Shards {
    policy: PolicyName,
    machines: IndexMap<ShardId, OwnerMachine>,
}

impl Shards {
    /// Creates an empty set; the machines created later use this policy.
    pub(crate) fn new(policy: PolicyName) -> Self {
        Self {
            policy,
            machines: IndexMap::new(),
        }
    }

    /// Creates the machine of a shard that this entry now owns.
    ///
    /// `agents` has the hello of each known agent and whether the agent is linked; the
    /// machine receives the hellos of the linked agents of its shard.
    pub(crate) fn begin_ownership(
        &mut self,
        now: Now,
        conf: OwnerConf,
        takeover: Takeover,
        agents: &[(AgentHello, bool)],
        configuration: Rc<Configuration>,
    ) -> Vec<OwnerAction> {
        let shard = conf.shard;
        let policy = new_policy(self.policy);
        let mut machine = OwnerMachine::new(conf, configuration, policy, takeover);
        let mut actions = Vec::new();
        for (hello, is_linked) in agents {
            if *is_linked && hello.shard == shard {
                actions.extend(machine.handle(now, OwnerInput::AgentUp(hello.clone())));
            }
        }
        actions.extend(machine.handle(now, OwnerInput::Tick));
        self.machines.insert(shard, machine);
        actions
    }

    /// Removes the machine of a shard that this entry no longer owns.
    pub(crate) fn end_ownership(&mut self, shard: ShardId) {
        self.machines.shift_remove(&shard);
    }

    /// Passes an input to the machine of one shard; does nothing if this entry does
    /// not own the shard.
    pub(crate) fn handle(
        &mut self,
        now: Now,
        shard: ShardId,
        input: OwnerInput,
    ) -> Vec<OwnerAction> {
        match self.machines.get_mut(&shard) {
            Some(machine) => machine.handle(now, input),
            None => Vec::new(),
        }
    }

    /// Passes an input to the machines of all owned shards.
    pub(crate) fn handle_all(&mut self, now: Now, input: &OwnerInput) -> Vec<OwnerAction> {
        let mut actions = Vec::new();
        for machine in self.machines.values_mut() {
            actions.extend(machine.handle(now, input.clone()));
        }
        actions
    }

    /// Returns the machines of all owned shards.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &OwnerMachine> {
        self.machines.values()
    }

    /// Returns whether a job of an owned shard waits, runs or is being recovered.
    pub(crate) fn has_open_jobs(&self) -> bool {
        self.machines.values().any(OwnerMachine::has_open_jobs)
    }
}

fn new_policy(name: PolicyName) -> Box<dyn Policy> {
    match name {
        PolicyName::FirstCome => Box::new(FirstCome::default()),
        PolicyName::RandomEndpoint => {
            let rng = StdRng::from_rng(&mut rand::rng());
            Box::new(EndpointQueues::new(EndpointChoice::Random(Box::new(rng))))
        }
        PolicyName::RoundRobin => Box::new(EndpointQueues::new(EndpointChoice::RoundRobin(0))),
        PolicyName::SizeAware => Box::new(SizeAware::default()),
        PolicyName::StaticShares => Box::new(StaticShares::default()),
    }
}
