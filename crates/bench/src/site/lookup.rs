//! Finds the processes of a site and queries their state.

use {
    crate::{
        site::{Site, SiteProcess},
        standins::StartLog,
    },
    ntex::http::Method,
    serde_json::Value,
};

impl Site {
    /// Returns the process with this name, such as `entry-0` or `table`.
    pub fn process_mut(&mut self, name: &str) -> Option<&mut SiteProcess> {
        self.entries
            .iter_mut()
            .chain(&mut self.agents)
            .chain(&mut self.endpoints)
            .chain([&mut self.table])
            .find(|process| process.name() == name)
    }

    /// Returns the number of the first entry that serves a shard, if any.
    pub async fn serving_entry(&self) -> Option<u16> {
        for entry in 0..self.plan.entries() {
            let status = self.status(entry).await;
            let shards = status["shards"].as_array().cloned().unwrap_or_default();
            if shards.iter().any(|shard| shard["serving"] == true) {
                return Some(entry);
            }
        }
        None
    }

    /// Returns whether every entry has links to all agents and other entries,
    /// knows an owner and has read the configuration.
    pub async fn is_complete(&self) -> bool {
        for entry in 0..self.plan.entries() {
            let status = self.status(entry).await;
            let is_linked = status["agents"] == self.plan.endpoints()
                && status["entries"] == self.plan.entries() - 1;
            let knows_owner = status["owners"].as_array().is_some_and(|o| !o.is_empty());
            if !is_linked || !knows_owner || status["configuration"].is_null() {
                return false;
            }
        }
        true
    }

    /// Returns the start log of an endpoint, or none if the endpoint does not
    /// answer.
    pub async fn starts(&self, endpoint: u16) -> Option<StartLog> {
        let url = format!("http://{}/starts", self.plan.endpoint_address(endpoint));
        let reply = self.client.send(Method::GET, url, &[], String::new()).await;
        serde_json::from_value(reply.ok()?.body).ok()
    }

    /// Sets the fault of the stand-in at `address`; returns whether the
    /// stand-in accepted the change.
    pub async fn set_fault(&self, address: std::net::SocketAddr, fault: Value) -> bool {
        let url = format!("http://{address}/fault");
        let headers = [("content-type", "application/json")];
        let body = fault.to_string();
        let reply = self.client.send(Method::PUT, url, &headers, body).await;
        reply.is_ok_and(|reply| reply.status < 300)
    }
}
