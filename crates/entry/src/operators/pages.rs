//! JSON pages of contracts and endpoints.

use {
    chestnutrun_types::{
        Configuration, Contract, ContractId, DrainState, EndpointId, Revision, ShardId, ZoneId,
    },
    indexmap::IndexMap,
    serde::Serialize,
};

/// Contract with its revision, which a change must name.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ContractPage {
    /// Revision of the contract's row.
    pub(crate) revision: Revision,
    /// Contract, whose fields are inlined in the page.
    #[serde(flatten)]
    pub(crate) contract: Contract,
}

/// All contracts in the configuration of an entry.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ContractsPage {
    /// Revision of the whole configuration.
    pub(crate) revision: Revision,
    /// Contracts by id.
    pub(crate) contracts: IndexMap<ContractId, ContractPage>,
}

/// State of an endpoint, as an entry knows it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EndpointPage {
    /// Name of the endpoint.
    pub(crate) endpoint: EndpointId,
    /// Whether operators have drained the endpoint.
    pub(crate) drain: DrainState,
    /// Revision that a change of `drain` must name; 0 if there was no change yet.
    pub(crate) revision: Revision,
    /// Whether the endpoint's agent is linked to this entry.
    pub(crate) linked: bool,
    /// Whether the agent has announced that it is stopping.
    pub(crate) leaving: bool,
    /// Slots that the agent announced; 0 before its first hello.
    pub(crate) slots: u32,
    /// Shard whose owner may use the endpoint; none before the agent's first hello.
    pub(crate) shard: Option<ShardId>,
    /// Availability zone of the endpoint; none before the agent's first hello.
    pub(crate) zone: Option<ZoneId>,
}

/// All endpoints that an entry knows from agents or from operators' changes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EndpointsPage {
    /// Endpoints, sorted by name.
    pub(crate) endpoints: Vec<EndpointPage>,
}

impl ContractPage {
    /// Creates the page of a contract; returns none if the configuration lacks it.
    pub(crate) fn find(configuration: &Configuration, id: &str) -> Option<Self> {
        let contract = configuration.contracts.get(id)?;
        let revision = configuration.rows.contracts.get(id);
        Some(Self {
            revision: revision.copied().unwrap_or_default(),
            contract: contract.clone(),
        })
    }
}

impl ContractsPage {
    /// Creates the page of all contracts of the configuration.
    pub(crate) fn new(configuration: &Configuration) -> Self {
        let ids = configuration.contracts.keys();
        let pages = ids.filter_map(|id| {
            let page = ContractPage::find(configuration, id)?;
            Some((id.clone(), page))
        });
        Self {
            revision: configuration.revision,
            contracts: pages.collect(),
        }
    }
}

impl EndpointPage {
    /// Creates the page of an endpoint whose agent has not been linked yet.
    pub(crate) fn unannounced(configuration: &Configuration, endpoint: &EndpointId) -> Self {
        let drain = if configuration.is_draining(endpoint) {
            DrainState::Draining
        } else {
            DrainState::Serving
        };
        let revision = configuration.rows.drains.get(endpoint);
        Self {
            endpoint: endpoint.clone(),
            drain,
            revision: revision.copied().unwrap_or_default(),
            linked: false,
            leaving: false,
            slots: 0,
            shard: None,
            zone: None,
        }
    }
}
