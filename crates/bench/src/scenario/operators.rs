//! Steps in which operators change the configuration.

use {
    crate::{
        scenario::{
            ContractPlan, InForceStep, OperateStep, RaceStep, ScenarioError,
            runner::{DrainChange, Runner},
        },
        site::{HttpReply, Site, SiteClient},
    },
    chestnutrun_types::Contract,
    futures_util::future::join_all,
    ntex::http::Method,
    serde_json::Value,
    std::{
        net::SocketAddr,
        time::{Instant, SystemTime},
    },
};

/// An operator's request that changes one row of the configuration.
struct ChangeRequest {
    client: SiteClient,
    operators: SocketAddr,
    revision: u64,
    method: Method,
    path: String,
    body: String,
}

impl ContractPlan {
    /// Builds the contract, with the token that the bench's callers send.
    ///
    /// # Errors
    /// Returns an error if the contract is not valid.
    pub fn contract(&self) -> Result<Contract, ScenarioError> {
        let contract = Site::contract(&self.id)
            .in_flight_limit(self.in_flight_limit)
            .queue_limit(self.queue_limit)
            .overflow(self.overflow)
            .build()?;
        Ok(contract)
    }
}

impl Runner {
    pub(super) async fn operate(&mut self, step: &OperateStep) -> Result<(), ScenarioError> {
        self.write_line(format!(
            "> operator at {}: {}, status {}",
            step.at,
            describe(step),
            step.status
        ));
        let request = self.change_request(step).await?;
        let status = request.send().await;
        if status != step.status {
            let text = format!("operator got status {status}, not {}", step.status);
            return Err(ScenarioError::Unexpected(text));
        }
        self.record_drain(step, status);
        Ok(())
    }

    /// Sends changes concurrently; checks the status codes in any order.
    pub(super) async fn race(&mut self, step: &RaceStep) -> Result<(), ScenarioError> {
        let mut requests = Vec::new();
        for operator in &step.operators {
            self.write_line(format!(
                "> racing operator at {}: {}",
                operator.at,
                describe(operator)
            ));
            requests.push(self.change_request(operator).await?.send());
        }
        let mut statuses = join_all(requests).await;
        for (operator, status) in step.operators.iter().zip(&statuses) {
            self.record_drain(operator, *status);
        }
        let mut expected: Vec<u16> = step.operators.iter().map(|o| o.status).collect();
        statuses.sort_unstable();
        expected.sort_unstable();
        self.write_line(format!("< {expected:?}"));
        if statuses == expected {
            return Ok(());
        }
        let text = format!("operators got {statuses:?}, not {expected:?}");
        Err(ScenarioError::Unexpected(text))
    }

    pub(super) async fn in_force(&mut self, step: &InForceStep) -> Result<(), ScenarioError> {
        let text = format!(
            "{} has in_flight_limit {:?} at {} within {:?}",
            step.contract,
            step.in_flight_limit,
            step.at.join(", "),
            step.within
        );
        self.write_line(format!("= {text}"));
        let mut entries = Vec::new();
        for name in &step.at {
            entries.push(self.entry(name)?);
        }
        let since = Instant::now();
        self.wait_for(&text, step.within, async |site| {
            let mut limits = Vec::new();
            for entry in &entries {
                limits.push(in_flight_limit(site, *entry, &step.contract).await);
            }
            let first = limits.first().copied().unwrap_or_default();
            limits.iter().all(|limit| *limit == first)
                && step
                    .in_flight_limit
                    .iter()
                    .any(|l| Some(u64::from(*l)) == first)
        })
        .await?;
        self.record_duration("in force", since);
        Ok(())
    }

    /// Builds the request of a step for the revision that the step's entry shows.
    async fn change_request(&self, step: &OperateStep) -> Result<ChangeRequest, ScenarioError> {
        let (method, path, body) = if let Some(plan) = &step.contract {
            let contract = serde_json::to_string(&plan.contract()?);
            let body = contract.map_err(|e| ScenarioError::File(e.to_string()))?;
            (Method::PUT, format!("/v1/contracts/{}", plan.id), body)
        } else if let Some(endpoint) = step.drain {
            let path = format!("/v1/endpoints/endpoint-{endpoint}/drain");
            (Method::PUT, path, String::new())
        } else if let Some(endpoint) = step.undrain {
            let path = format!("/v1/endpoints/endpoint-{endpoint}/drain");
            (Method::DELETE, path, String::new())
        } else {
            return Err(ScenarioError::File(
                "an operator's step needs contract, drain or undrain".to_owned(),
            ));
        };
        let entry = self.entry(&step.at)?;
        Ok(ChangeRequest {
            client: self.site.client.clone(),
            operators: self.site.plan.entry_operators_address(entry),
            revision: revision(&self.site, entry, step).await,
            method,
            path,
            body,
        })
    }

    fn record_drain(&mut self, step: &OperateStep, status: u16) {
        let change = match (step.drain, step.undrain) {
            (Some(endpoint), _) => Some((endpoint, true)),
            (_, Some(endpoint)) => Some((endpoint, false)),
            _ => None,
        };
        if let Some((endpoint, drained)) = change.filter(|_| status == 200) {
            self.drains.push(DrainChange {
                endpoint,
                drained,
                at: SystemTime::now(),
            });
        }
    }
}

impl ChangeRequest {
    /// Sends the change; returns the status code, or 0 if no answer is received.
    async fn send(self) -> u16 {
        let url = format!("http://{}{}", self.operators, self.path);
        let token = self.client.operator_header();
        let revision = format!("\"{}\"", self.revision);
        let headers = [
            ("authorization", token.as_str()),
            ("content-type", "application/json"),
            ("if-match", revision.as_str()),
        ];
        let reply = self.client.send(self.method, url, &headers, self.body);
        reply.await.map_or(0, |reply: HttpReply| reply.status)
    }
}

/// Returns the revision of the row that a step changes, as the entry shows it,
/// or 0 if the entry does not show the row.
async fn revision(site: &Site, entry: u16, step: &OperateStep) -> u64 {
    if let Some(plan) = &step.contract {
        let page = fetch_page(site, entry, "/v1/contracts").await;
        return page["contracts"][&plan.id]["revision"]
            .as_u64()
            .unwrap_or_default();
    }
    let number = step.drain.or(step.undrain).unwrap_or_default();
    let name = format!("endpoint-{number}");
    let page = fetch_page(site, entry, "/v1/endpoints").await;
    let mut endpoints = page["endpoints"].as_array().into_iter().flatten();
    let of_step = endpoints.find(|endpoint| endpoint["endpoint"] == name.as_str());
    of_step.map_or(0, |endpoint| {
        endpoint["revision"].as_u64().unwrap_or_default()
    })
}

/// Fetches a page from an entry's address for operators; returns null if no answer
/// is received.
async fn fetch_page(site: &Site, entry: u16, path: &str) -> Value {
    let operators = site.plan.entry_operators_address(entry);
    let reply = site
        .client
        .send_as_operator(Method::GET, operators, path, String::new())
        .await;
    reply.map_or(Value::Null, |reply| reply.body)
}

async fn in_flight_limit(site: &Site, entry: u16, contract: &str) -> Option<u64> {
    let page = fetch_page(site, entry, "/v1/contracts").await;
    page["contracts"][contract]["in_flight_limit"].as_u64()
}

fn describe(step: &OperateStep) -> String {
    if let Some(plan) = &step.contract {
        return format!(
            "contract {} with in_flight_limit {}",
            plan.id, plan.in_flight_limit
        );
    }
    match (step.drain, step.undrain) {
        (Some(endpoint), _) => format!("drain endpoint-{endpoint}"),
        (_, Some(endpoint)) => format!("return endpoint-{endpoint}"),
        _ => "nothing".to_owned(),
    }
}
