//! Carries out the steps of a scenario.

use {
    crate::{
        scenario::{CallKind, CallResult, ScenarioError, Step, Submission, Transcript},
        site::{Relay, Site, SiteProcess},
    },
    indexmap::IndexMap,
    std::time::{Instant, SystemTime},
    tokio::{sync::oneshot, time::sleep},
};

/// Roles of the entries at the start of a scenario; the owner serves the shard.
pub(super) const ENTRY_ROLES: [&str; 3] = ["owner", "other", "third"];

/// An accepted request to drain an endpoint or to return it, with the time of the
/// answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainChange {
    pub(super) endpoint: u16,
    pub(super) drained: bool,
    pub(super) at: SystemTime,
}

/// Carries out the steps of a scenario.
#[derive(Debug)]
pub(super) struct Runner {
    pub(super) site: Site,
    pub(super) transcript: Transcript,
    pub(super) results: Vec<CallResult>,
    pub(super) drains: Vec<DrainChange>,
    pub(super) measurements: Vec<String>,
    /// Numbers of the entries, in the order of [`ENTRY_ROLES`].
    entries_by_role: Vec<u16>,
    submissions: IndexMap<String, Vec<Submission>>,
    /// Calls that no step has waited for, by name.
    calls: IndexMap<String, Vec<oneshot::Receiver<CallResult>>>,
}

impl Runner {
    /// Assigns the roles to the entries of a site whose processes are linked.
    pub(super) async fn new(site: Site) -> Result<Self, ScenarioError> {
        let owner = site.serving_entry().await;
        let owner = owner.ok_or_else(|| ScenarioError::Unknown("owner".to_owned()))?;
        let others = (0..site.plan.entries()).filter(|entry| *entry != owner);
        let entries_by_role = [owner].into_iter().chain(others).collect();
        Ok(Self {
            site,
            transcript: Transcript::default(),
            results: Vec::new(),
            drains: Vec::new(),
            measurements: Vec::new(),
            entries_by_role,
            submissions: IndexMap::new(),
            calls: IndexMap::new(),
        })
    }

    pub(super) async fn step(&mut self, step: &Step) -> Result<(), ScenarioError> {
        match step {
            Step::Submit(step) => self.submit(step),
            Step::Ask(step) => self.ask(step, CallKind::Ask),
            Step::Cancel(step) => self.ask(step, CallKind::Cancel),
            Step::Expect(step) => self.expect(step).await,
            Step::Kill(names) => self.for_each_process(names, "kill", SiteProcess::kill),
            Step::Freeze(names) => self.signal(names, "STOP"),
            Step::Wake(names) => self.signal(names, "CONT"),
            Step::Terminate(names) => self.terminate(names).await,
            Step::Restart(names) => self.restart(names),
            Step::Cut(names) => self.for_each_relay(names, "cut", Relay::cut),
            Step::Silence(names) => self.for_each_relay(names, "silence", Relay::silence),
            Step::Relinked(step) => self.relinked(step).await,
            Step::Table(fault) => self.set_table_fault(*fault).await,
            Step::Endpoint(step) => self.set_endpoint_fault(step).await,
            Step::Operate(step) => self.operate(step).await,
            Step::Race(step) => self.race(step).await,
            Step::InForce(step) => self.in_force(step).await,
            Step::Started(step) => self.started(step).await,
            Step::Serving(step) => self.serving(step).await,
            Step::Hostile(step) => self.hostile(step).await,
            Step::Pause(time) => {
                self.write_line(format!("pause {time:?}"));
                sleep(*time).await;
                Ok(())
            }
        }
    }

    /// Adds a line to the text that is compared with the golden file.
    pub(super) fn write_line(&mut self, text: impl Into<String>) {
        self.transcript.push_line(text);
    }

    /// Records the time since `since` as a measurement, outside the golden text.
    pub(super) fn record_duration(&mut self, what: &str, since: Instant) {
        let measurement = format!("{what}: {} ms", since.elapsed().as_millis());
        self.measurements.push(measurement);
    }

    /// Returns the number of the entry with this name or role.
    pub(super) fn entry(&self, name: &str) -> Result<u16, ScenarioError> {
        let of_role = ENTRY_ROLES.iter().position(|role| *role == name);
        let of_role = of_role.and_then(|role| self.entries_by_role.get(role).copied());
        let of_name = || name.strip_prefix("entry-")?.parse().ok();
        let entry = of_role.or_else(of_name);
        entry
            .filter(|entry| *entry < self.site.plan.entries())
            .ok_or_else(|| ScenarioError::Unknown(name.to_owned()))
    }

    pub(super) fn submissions(&self, name: &str) -> Result<&Vec<Submission>, ScenarioError> {
        let known = self.submissions.get(name);
        known.ok_or_else(|| ScenarioError::Unknown(format!("submission {name}")))
    }

    pub(super) fn store_submissions(&mut self, name: &str, submissions: Vec<Submission>) {
        self.submissions.insert(name.to_owned(), submissions);
    }

    pub(super) fn store_call(&mut self, name: &str, result: oneshot::Receiver<CallResult>) {
        self.calls.entry(name.to_owned()).or_default().push(result);
    }

    /// Removes and returns the calls with this name that no step has waited for.
    pub(super) fn take_calls(&mut self, name: &str) -> Vec<oneshot::Receiver<CallResult>> {
        self.calls.shift_remove(name).unwrap_or_default()
    }

    /// Returns the names of the calls that no step has waited for.
    pub(super) fn pending_calls(&self) -> Vec<String> {
        self.calls.keys().cloned().collect()
    }
}
