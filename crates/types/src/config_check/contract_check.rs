//! Checks the contracts that operators configure.

use {
    crate::{
        Configuration, Contract, Overflow,
        config_check::{ConfigChange, ConfigProblem, ConfigReport, config_change::Fields},
    },
    indexmap::IndexMap,
};

impl Configuration {
    /// Checks the contracts, and compares them with those in force. `slots` is the number
    /// of tasks that the site can run at a time; none if it is not known.
    #[must_use]
    pub fn check(&self, slots: Option<u32>, in_force: Option<&Self>) -> ConfigReport {
        let mut report = ConfigReport::default();
        for (id, contract) in &self.contracts {
            let place = |field: &str| format!("contracts.{id}.{field}");
            if let Err(error) = contract.check() {
                let place = format!("contracts.{id}");
                report
                    .problems
                    .push(ConfigProblem::error(place, error.to_string()));
            }
            if contract.id != *id {
                let text = format!("{:?} is not the name of the entry", contract.id);
                report
                    .problems
                    .push(ConfigProblem::error(place("id"), text));
            }
            if let Some(slots) = slots.filter(|slots| contract.in_flight_limit > *slots) {
                let text = format!(
                    "{} cannot be reached: the site has {slots} slots",
                    contract.in_flight_limit
                );
                report
                    .problems
                    .push(ConfigProblem::warning(place("in_flight_limit"), text));
            }
            if contract.overflow == Overflow::Queue && contract.queue_limit == 0 {
                let text = "0 leaves no queue, but tasks beyond the share are to wait in it";
                report
                    .problems
                    .push(ConfigProblem::warning(place("queue_limit"), text));
            }
        }
        if let Some(in_force) = in_force {
            let (from, to) = (in_force.fields(), self.fields());
            report.changes = ConfigChange::of_section("contracts", &from, &to);
        }
        report
    }

    fn fields(&self) -> IndexMap<String, Fields> {
        let contracts = self.contracts.iter();
        contracts
            .map(|(id, contract)| (id.to_string(), contract_fields(contract)))
            .collect()
    }
}

fn contract_fields(contract: &Contract) -> Fields {
    let overflow = match contract.overflow {
        Overflow::Queue => "queue",
        Overflow::Refuse => "refuse",
        Overflow::Borrow => "borrow",
    };
    Fields::from([
        ("in_flight_limit", contract.in_flight_limit.to_string()),
        ("queue_limit", contract.queue_limit.to_string()),
        ("urgency", contract.urgency.to_string()),
        ("weight", contract.weight.to_string()),
        ("overflow", overflow.to_owned()),
        ("token_hash", contract.token_hash.clone()),
    ])
}
