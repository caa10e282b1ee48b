//! The configuration that operators change at run time: contracts and drained
//! endpoints.

use {
    crate::{Contract, ContractId, EndpointId, Revision, TableRow},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::hash::Hash,
};

/// Drain state of an endpoint, which decides whether it gets new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// The endpoint accepts new work.
    Serving,
    /// The endpoint gets no new work.
    Draining,
}

/// Revisions of the table rows that a configuration was read from.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct RowRevisions {
    /// Revision of the row of each contract.
    pub contracts: IndexMap<ContractId, Revision>,
    /// Revision of the drain row of each endpoint.
    pub drains: IndexMap<EndpointId, Revision>,
}

/// Contracts and drained endpoints at one revision of the platform's table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Configuration {
    /// Highest revision among the rows.
    pub revision: Revision,
    /// Contracts by name.
    pub contracts: IndexMap<ContractId, Contract>,
    /// Drain state of each endpoint that has a drain row.
    pub drains: IndexMap<EndpointId, DrainState>,
    /// Revision of each row, by which [`Self::merge`] keeps the newer of two rows.
    pub rows: Box<RowRevisions>,
}

impl Configuration {
    /// Creates a configuration with only the row of one accepted write; it has no
    /// rows if the written row is neither a contract nor a drain state.
    #[must_use]
    pub fn from_row(row: TableRow, revision: Revision) -> Self {
        let mut configuration = Self {
            revision,
            ..Self::default()
        };
        match row {
            TableRow::Contract(contract) => {
                configuration
                    .rows
                    .contracts
                    .insert(contract.id.clone(), revision);
                configuration
                    .contracts
                    .insert(contract.id.clone(), contract);
            }
            TableRow::Drain(endpoint, state) => {
                configuration.rows.drains.insert(endpoint.clone(), revision);
                configuration.drains.insert(endpoint, state);
            }
            TableRow::Member(_) | TableRow::MemberRemoval(_) | TableRow::Owner(_) => {}
        }
        configuration
    }

    /// Copies each row of `other` whose revision is higher than the same row's
    /// revision in `self`; returns whether anything changed.
    ///
    /// A row therefore never reverts, whatever order updates arrive in.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut is_changed = other.revision > self.revision;
        self.revision = self.revision.max(other.revision);
        for (id, contract) in &other.contracts {
            if raise_revision(&mut self.rows.contracts, id, other.rows.contracts.get(id)) {
                self.contracts.insert(id.clone(), contract.clone());
                is_changed = true;
            }
        }
        for (endpoint, state) in &other.drains {
            if raise_revision(
                &mut self.rows.drains,
                endpoint,
                other.rows.drains.get(endpoint),
            ) {
                self.drains.insert(endpoint.clone(), *state);
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns the part that an endpoint's agent needs: the endpoint's drain state.
    #[must_use]
    pub fn for_endpoint(&self, endpoint: &EndpointId) -> Self {
        let mut part = Self {
            revision: self.revision,
            ..Self::default()
        };
        if let Some(state) = self.drains.get(endpoint) {
            part.drains.insert(endpoint.clone(), *state);
        }
        if let Some(revision) = self.rows.drains.get(endpoint) {
            part.rows.drains.insert(endpoint.clone(), *revision);
        }
        part
    }

    /// Returns whether operators drained the endpoint.
    #[must_use]
    pub fn is_draining(&self, endpoint: &str) -> bool {
        self.drains.get(endpoint) == Some(&DrainState::Draining)
    }
}

/// Records the revision of a row if it is higher than the recorded one, or if
/// none is recorded; returns whether the revision was recorded.
fn raise_revision<K: Clone + Eq + Hash>(
    known: &mut IndexMap<K, Revision>,
    key: &K,
    revision: Option<&Revision>,
) -> bool {
    let revision = revision.copied().unwrap_or_default();
    match known.get(key) {
        Some(own) if *own >= revision => false,
        _ => {
            known.insert(key.clone(), revision);
            true
        }
    }
}
