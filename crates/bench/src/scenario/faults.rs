//! Steps that inject faults into the processes, links and stand-ins of a site.

use {
    crate::{
        scenario::{
            EndpointStep, ScenarioError,
            runner::{ENTRY_ROLES, Runner},
            waits::CHECK_INTERVAL,
        },
        site::{Relay, SiteProcess},
        standins::TableFault,
    },
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Time limit for processes to exit after a request to stop.
const STOP_WITHIN: Duration = Duration::from_secs(30);

impl Runner {
    /// Returns the process with this name; an entry may also be named by its role.
    fn process(&mut self, name: &str) -> Result<&mut SiteProcess, ScenarioError> {
        let is_role = ENTRY_ROLES.contains(&name);
        let full_name = if is_role {
            format!("entry-{}", self.entry(name)?)
        } else {
            name.to_owned()
        };
        let process = self.site.process_mut(&full_name);
        process.ok_or(ScenarioError::Unknown(full_name))
    }

    pub(super) fn for_each_process(
        &mut self,
        names: &[String],
        verb: &str,
        action: impl Fn(&mut SiteProcess),
    ) -> Result<(), ScenarioError> {
        self.write_line(format!("! {verb} {}", names.join(", ")));
        for name in names {
            action(self.process(name)?);
        }
        Ok(())
    }

    pub(super) fn signal(&mut self, names: &[String], signal: &str) -> Result<(), ScenarioError> {
        self.write_line(format!("! {signal} {}", names.join(", ")));
        for name in names {
            self.process(name)?.signal(signal)?;
        }
        Ok(())
    }

    pub(super) async fn terminate(&mut self, names: &[String]) -> Result<(), ScenarioError> {
        self.signal(names, "TERM")?;
        let deadline = Instant::now() + STOP_WITHIN;
        for name in names {
            while self.process(name)?.exit_status().is_none() {
                if Instant::now() >= deadline {
                    return Err(ScenarioError::TooLate(format!("stop of {name}")));
                }
                sleep(CHECK_INTERVAL).await;
            }
        }
        Ok(())
    }

    pub(super) fn restart(&mut self, names: &[String]) -> Result<(), ScenarioError> {
        self.write_line(format!("! restart {}", names.join(", ")));
        for name in names {
            self.process(name)?.restart()?;
        }
        Ok(())
    }

    pub(super) fn for_each_relay(
        &mut self,
        names: &[String],
        verb: &str,
        action: impl Fn(&Relay),
    ) -> Result<(), ScenarioError> {
        self.write_line(format!("! {verb} links to {}", names.join(", ")));
        for name in names {
            let entry = usize::from(self.entry(name)?);
            let relay = self.site.relays.get(entry);
            action(relay.ok_or_else(|| ScenarioError::Unknown(format!("relay of {name}")))?);
        }
        Ok(())
    }

    pub(super) async fn set_table_fault(&mut self, fault: TableFault) -> Result<(), ScenarioError> {
        self.write_line(format!("! table {fault:?}"));
        let address = self.site.plan.table_address();
        if self.site.set_fault(address, json!(fault)).await {
            Ok(())
        } else {
            Err(ScenarioError::Unknown("table".to_owned()))
        }
    }

    pub(super) async fn set_endpoint_fault(
        &mut self,
        step: &EndpointStep,
    ) -> Result<(), ScenarioError> {
        self.write_line(format!("! endpoint-{} {:?}", step.number, step.fault));
        let address = self.site.plan.endpoint_address(step.number);
        if self.site.set_fault(address, json!(step.fault)).await {
            Ok(())
        } else {
            Err(ScenarioError::Unknown(format!("endpoint-{}", step.number)))
        }
    }
}
