//! Handles operators' requests: creates the pages that they read.

use {
    crate::{
        EntryDaemon,
        operators::{
            ContractPage, ContractsPage, EndpointPage, EndpointsPage, OperatorReply,
            OperatorRequest,
        },
        problem::Problem,
    },
    chestnutrun_decisions::owner::{AgentStage, OwnerMachine},
    chestnutrun_types::{Configuration, EndpointId, Now},
    indexmap::IndexMap,
    ntex::http::StatusCode,
    serde_json::{Value, json},
    tokio::sync::oneshot,
};

impl EntryDaemon {
    pub(super) fn handle_operator_request(
        &mut self,
        request: OperatorRequest,
        reply: oneshot::Sender<OperatorReply>,
    ) {
        let page = match request {
            OperatorRequest::Ready => self.ready_page(),
            OperatorRequest::Metrics => self.metrics_page(),
            OperatorRequest::Status => OperatorReply::Json(self.status()),
            OperatorRequest::Timeline => self.timeline_page(),
            OperatorRequest::Contracts => self.contracts_page(),
            OperatorRequest::Contract(id) => self.contract_page(&id),
            OperatorRequest::Endpoints => self.endpoints_page(),
        };
        // The operator may have disconnected.
        let _ = reply.send(page);
    }

    fn ready_page(&self) -> OperatorReply {
        if self.configuration.is_some() && self.stop_by.is_none() {
            OperatorReply::Text(200, "ready\n".to_owned())
        } else {
            OperatorReply::Text(503, "not ready\n".to_owned())
        }
    }

    fn metrics_page(&self) -> OperatorReply {
        self.set_gauges();
        match self.metrics.show() {
            Ok(text) => OperatorReply::Text(200, text),
            Err(error) => OperatorReply::Text(500, error.to_string()),
        }
    }

    fn timeline_page(&self) -> OperatorReply {
        let events: Vec<_> = self.timeline.events().collect();
        OperatorReply::Json(json!(events))
    }

    fn contracts_page(&self) -> OperatorReply {
        match &self.configuration {
            Some(configuration) => OperatorReply::Json(json!(ContractsPage::new(configuration))),
            None => OperatorReply::Problem(not_ready()),
        }
    }

    fn contract_page(&self, id: &str) -> OperatorReply {
        let Some(configuration) = &self.configuration else {
            return OperatorReply::Problem(not_ready());
        };
        match ContractPage::find(configuration, id) {
            Some(page) => OperatorReply::Json(json!(page)),
            None => OperatorReply::Problem(Problem::new(
                StatusCode::NOT_FOUND,
                "unknown-contract",
                format!("no contract {id} is in force at this entry"),
            )),
        }
    }

    fn endpoints_page(&self) -> OperatorReply {
        let Some(configuration) = &self.configuration else {
            return OperatorReply::Problem(not_ready());
        };
        let mut pages = self.announced_endpoints(configuration);
        for endpoint in configuration.drains.keys() {
            let unannounced = || EndpointPage::unannounced(configuration, endpoint);
            pages.entry(endpoint.clone()).or_insert_with(unannounced);
        }
        pages.sort_unstable_keys();
        let endpoints = pages.into_values().collect();
        OperatorReply::Json(json!(EndpointsPage { endpoints }))
    }

    fn announced_endpoints(
        &self,
        configuration: &Configuration,
    ) -> IndexMap<EndpointId, EndpointPage> {
        let agents = self.links.known_agents().into_iter();
        let pages = agents.map(|(hello, linked)| {
            let page = EndpointPage {
                linked,
                leaving: hello.leaving,
                slots: hello.slots,
                shard: Some(hello.shard),
                zone: Some(hello.zone),
                ..EndpointPage::unannounced(configuration, &hello.endpoint)
            };
            (hello.endpoint, page)
        });
        pages.collect()
    }

    fn status(&self) -> Value {
        let (agents, entries) = self.links.counts();
        json!({
            "process": self.me.entry,
            "incarnation": self.me.incarnation,
            "zone": self.me.zone,
            "configuration": self.configuration.as_ref().map(|c| c.revision),
            "agents": agents,
            "entries": entries,
            "pending_jobs": self.front.pending_requests(),
            "leaving": self.stop_by.is_some(),
            "owners": self.front.owners().collect::<Vec<_>>(),
            "shards": self.shards.iter().map(shard_status).collect::<Vec<_>>(),
        })
    }
}

fn not_ready() -> Problem {
    let detail = "the entry has read no configuration yet";
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "not-ready", detail)
}

fn shard_status(machine: &OwnerMachine) -> Value {
    let now = Now::read().instant;
    let endpoints: Vec<Value> = machine
        .endpoints()
        .map(|(endpoint, state)| {
            let slots = state.slots(now);
            json!({
                "endpoint": endpoint,
                "linked": state.stage >= AgentStage::Linked,
                "fenced": state.stage >= AgentStage::Fenced,
                "leased": state.stage == AgentStage::Leased,
                "draining": state.draining,
                "leaving": state.hello.leaving,
                "slots": slots.total,
                "taken": slots.taken,
            })
        })
        .collect();
    json!({
        "shard": machine.conf().shard,
        "epoch": machine.conf().epoch,
        "serving": machine.is_serving(),
        "recorded_jobs": machine.recorded_jobs(),
        "endpoints": endpoints,
    })
}
