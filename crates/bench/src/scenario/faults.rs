//! Faults of a site: processes, links and stand-ins.

use {
    crate::{
        scenario::{
            EndpointStep, ScenarioError,
            runner::{PARTS, Runner},
            waits::LOOK_INTERVAL,
        },
        site::{Relay, SiteProcess},
        standins::TableFault,
    },
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// How long a planned stop may take.
const STOP_WITHIN: Duration = Duration::from_secs(30);

impl Runner {
    fn process(&mut self, name: &str) -> Result<&mut SiteProcess, ScenarioError> {
        let is_part = PARTS.contains(&name);
        let full = if is_part {
            format!("entry-{}", self.entry(name)?)
        } else {
            name.to_owned()
        };
        let process = self.site.process_mut(&full);
        process.ok_or(ScenarioError::Unknown(full))
    }

    pub(super) fn each(
        &mut self,
        names: &[String],
        verb: &str,
        act: impl Fn(&mut SiteProcess),
    ) -> Result<(), ScenarioError> {
        self.say(format!("! {verb} {}", names.join(", ")));
        for name in names {
            act(self.process(name)?);
        }
        Ok(())
    }

    pub(super) fn signal(&mut self, names: &[String], signal: &str) -> Result<(), ScenarioError> {
        self.say(format!("! {signal} {}", names.join(", ")));
        for name in names {
            self.process(name)?.signal(signal)?;
        }
        Ok(())
    }

    pub(super) async fn terminate(&mut self, names: &[String]) -> Result<(), ScenarioError> {
        self.signal(names, "TERM")?;
        let by = Instant::now() + STOP_WITHIN;
        for name in names {
            while self.process(name)?.exit_status().is_none() {
                if Instant::now() >= by {
                    return Err(ScenarioError::TooLate(format!("stop of {name}")));
                }
                sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }

    pub(super) fn restart(&mut self, names: &[String]) -> Result<(), ScenarioError> {
        self.say(format!("! restart {}", names.join(", ")));
        for name in names {
            self.process(name)?.restart()?;
        }
        Ok(())
    }

    pub(super) fn disturb(
        &mut self,
        names: &[String],
        verb: &str,
        act: impl Fn(&Relay),
    ) -> Result<(), ScenarioError> {
        self.say(format!("! {verb} links to {}", names.join(", ")));
        for name in names {
            let entry = usize::from(self.entry(name)?);
            let relay = self.site.relays.get(entry);
            act(relay.ok_or_else(|| ScenarioError::Unknown(format!("relay of {name}")))?);
        }
        Ok(())
    }

    pub(super) async fn table(&mut self, fault: TableFault) -> Result<(), ScenarioError> {
        self.say(format!("! table {fault:?}"));
        let address = self.site.plan.table();
        if self.site.set_fault(address, json!(fault)).await {
            Ok(())
        } else {
            Err(ScenarioError::Unknown("table".to_owned()))
        }
    }

    pub(super) async fn endpoint(&mut self, step: &EndpointStep) -> Result<(), ScenarioError> {
        self.say(format!("! endpoint-{} {:?}", step.number, step.fault));
        let address = self.site.plan.endpoint(step.number);
        if self.site.set_fault(address, json!(step.fault)).await {
            Ok(())
        } else {
            Err(ScenarioError::Unknown(format!("endpoint-{}", step.number)))
        }
    }
}
