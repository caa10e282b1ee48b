//! Starts and stops the processes of a site.

use {
    crate::site::{Relay, SiteClient, SiteError, SitePlan, SiteProcess},
    chestnutrun_types::{Contract, ContractBuilder},
    ntex::http::Method,
    std::{
        fs,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Token that operators send to sites of the bench.
const OPERATOR_TOKEN: &str = "operators-of-the-bench";

/// Token that the processes of a site on the bench send to each other.
pub(crate) const SITE_TOKEN: &str = "site-of-the-bench";

/// Time limit for a site to become ready, and for a contract to come into force.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// Time limit for the status request to an entry.
const STATUS_WITHIN: Duration = Duration::from_millis(100);

/// Pause between two checks for readiness.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// A running site; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// Sizes and addresses of the site.
    pub plan: SitePlan,
    /// Client for requests of callers and operators.
    pub client: SiteClient,
    /// The stand-in for the table.
    pub table: SiteProcess,
    /// The entries, by number.
    pub entries: Vec<SiteProcess>,
    /// The agents, by the number of their endpoint.
    pub agents: Vec<SiteProcess>,
    /// The stand-ins for the endpoints, by number.
    pub endpoints: Vec<SiteProcess>,
    /// The relay in front of each entry; empty unless the plan is relayed.
    pub relays: Vec<Relay>,
    folder: PathBuf,
}

impl Site {
    /// Starts a site and waits until an entry serves with every endpoint.
    ///
    /// # Errors
    /// Returns an error if a process does not start or become ready.
    pub async fn start(plan: SitePlan) -> Result<Self, SiteError> {
        let folder = create_folder(&plan)?;
        write_file(&folder, "site.token", SITE_TOKEN)?;
        write_file(&folder, "operator.token", OPERATOR_TOKEN)?;
        let table = start_table(&plan, &folder)?;
        let mut site = Self {
            client: SiteClient::new(OPERATOR_TOKEN).await?,
            table,
            entries: Vec::new(),
            agents: Vec::new(),
            endpoints: Vec::new(),
            relays: open_relays(&plan).await?,
            folder,
            plan,
        };
        for number in 0..site.plan.endpoints {
            let endpoint = start_endpoint(&site.plan, &site.folder, number)?;
            site.endpoints.push(endpoint);
        }
        for number in 0..site.plan.entries {
            let entry = start_entry(&site.plan, &site.folder, number)?;
            site.entries.push(entry);
        }
        for number in 0..site.plan.endpoints {
            let agent = start_agent(&site.plan, &site.folder, number)?;
            site.agents.push(agent);
        }
        site.wait_until_serving(usize::from(site.plan.endpoints))
            .await?;
        Ok(site)
    }

    /// Returns the folder with the settings and logs of the processes.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the folder that a site of this plan uses.
    #[must_use]
    pub fn folder_of(plan: &SitePlan) -> PathBuf {
        std::env::temp_dir().join(format!("chestnutrun-{}", plan.ip))
    }

    /// Returns a builder of a contract with the token that [`SiteClient`] sends.
    #[must_use]
    pub fn contract(id: &str) -> ContractBuilder {
        Contract::builder(id).token_hash(Contract::hash_token(&format!("token-of-{id}")))
    }

    /// Creates a contract and waits until every entry shows it.
    ///
    /// # Errors
    /// Returns an error if the contract is refused or does not come into force in
    /// time.
    pub async fn create_contract(&self, contract: &Contract) -> Result<(), SiteError> {
        let operators = self.plan.entry_operators_address(0);
        self.client.create_contract(operators, contract).await?;
        let deadline = Instant::now() + READY_WITHIN;
        for number in 0..self.plan.entries {
            while !self.has_contract(number, &contract.id).await {
                pause_until_retry(deadline, "contract").await?;
            }
        }
        Ok(())
    }

    /// Waits until one entry serves with at least `endpoints` usable endpoints.
    ///
    /// # Errors
    /// Returns an error if no entry reaches this state in time.
    pub async fn wait_until_serving(&self, endpoints: usize) -> Result<(), SiteError> {
        let deadline = Instant::now() + READY_WITHIN;
        loop {
            if self.is_serving(endpoints).await {
                return Ok(());
            }
            pause_until_retry(deadline, "site").await?;
        }
    }

    /// Returns whether one entry serves with at least `endpoints` usable endpoints.
    pub async fn is_serving(&self, endpoints: usize) -> bool {
        for number in 0..self.plan.entries {
            if self.usable_endpoints(number).await >= endpoints {
                return true;
            }
        }
        false
    }

    /// Returns the status of an entry, or null if it does not answer.
    pub async fn status(&self, entry: u16) -> serde_json::Value {
        let operators = self.plan.entry_operators_address(entry);
        let reply =
            self.client
                .send_as_operator(Method::GET, operators, "/v1/status", String::new());
        match timeout(STATUS_WITHIN, reply).await {
            Ok(Ok(reply)) => reply.body,
            _ => serde_json::Value::Null,
        }
    }

    async fn usable_endpoints(&self, entry: u16) -> usize {
        let status = self.status(entry).await;
        let shards = status["shards"].as_array().cloned().unwrap_or_default();
        shards
            .iter()
            .filter(|shard| shard["serving"] == true)
            .flat_map(|shard| shard["endpoints"].as_array().cloned().unwrap_or_default())
            .filter(|endpoint| endpoint["leased"] == true)
            .count()
    }

    async fn has_contract(&self, entry: u16, id: &str) -> bool {
        let operators = self.plan.entry_operators_address(entry);
        let reply = self
            .client
            .send_as_operator(Method::GET, operators, "/v1/contracts", String::new())
            .await;
        reply.is_ok_and(|reply| !reply.body["contracts"][id].is_null())
    }

    /// Stops every process and removes the site's folder.
    pub fn close(mut self) {
        for process in self.agents.iter_mut().chain(&mut self.entries) {
            process.kill();
        }
        for process in &mut self.endpoints {
            process.kill();
        }
        for relay in self.relays.drain(..) {
            relay.close();
        }
        self.table.kill();
        // A folder that cannot be removed does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

async fn open_relays(plan: &SitePlan) -> Result<Vec<Relay>, SiteError> {
    let mut relays = Vec::new();
    if plan.relayed {
        for entry in 0..plan.entries {
            let relay = Relay::open(
                plan.announced_links_address(entry),
                plan.links_address(entry),
            )
            .await?;
            relays.push(relay);
        }
    }
    Ok(relays)
}

/// Pauses before the next check; returns an error once the deadline has passed.
async fn pause_until_retry(deadline: Instant, what: &str) -> Result<(), SiteError> {
    if Instant::now() >= deadline {
        return Err(SiteError::NotReady(what.to_owned()));
    }
    sleep(READY_INTERVAL).await;
    Ok(())
}

fn create_folder(plan: &SitePlan) -> Result<PathBuf, SiteError> {
    let folder = Site::folder_of(plan);
    fs::create_dir_all(&folder).map_err(|e| SiteError::Io(folder.display().to_string(), e))?;
    Ok(folder)
}

fn write_file(folder: &Path, name: &str, text: &str) -> Result<PathBuf, SiteError> {
    let path = folder.join(name);
    match fs::write(&path, text) {
        Ok(()) => Ok(path),
        Err(error) => Err(SiteError::Io(path.display().to_string(), error)),
    }
}

fn start_table(plan: &SitePlan, folder: &Path) -> Result<SiteProcess, SiteError> {
    let listen = plan.table_address().to_string();
    let arguments = ["table", "--listen", &listen].map(str::to_owned);
    SiteProcess::start("table", "chestnutrun-bench", arguments, folder)
}

fn start_endpoint(plan: &SitePlan, folder: &Path, number: u16) -> Result<SiteProcess, SiteError> {
    let name = format!("endpoint-{number}");
    let listen = plan.endpoint_address(number).to_string();
    let slots = plan.slots.to_string();
    let arguments = ["endpoint", "--listen", &listen, "--slots", &slots].map(str::to_owned);
    SiteProcess::start(name, "chestnutrun-bench", arguments, folder)
}

fn start_entry(plan: &SitePlan, folder: &Path, number: u16) -> Result<SiteProcess, SiteError> {
    let name = format!("entry-{number}");
    let text = format!(
        "name: {name}\nzone: {zone}\ncallers: {callers}\noperators: {operators}\n\
         inner: {inner}\nannounced_inner: {announced}\ntable: {table}\nsite_token_file: {folder}/site.token\n\
         operator_token_file: {folder}/operator.token\npolicy: {policy}\n\
         log:\n  level: {level}\n{further}",
        zone = plan.zone(number),
        callers = plan.callers_address(number),
        operators = plan.entry_operators_address(number),
        inner = plan.links_address(number),
        announced = plan.announced_links_address(number),
        table = plan.table_address(),
        folder = folder.display(),
        policy = plan.policy,
        level = plan.log_level,
        further = plan.entry_settings,
    );
    start_daemon(plan, &name, "chestnutrun-entry", &text, folder)
}

fn start_agent(plan: &SitePlan, folder: &Path, number: u16) -> Result<SiteProcess, SiteError> {
    let name = format!("agent-{number}");
    let entries: Vec<String> = (0..plan.entries)
        .map(|entry| format!("\"{}\"", plan.announced_links_address(entry)))
        .collect();
    let text = format!(
        "endpoint: endpoint-{number}\nzone: {zone}\nendpoint_address: {endpoint}\n\
         slots: {slots}\nconnections: {connections}\nentries: [{entries}]\n\
         operators: {operators}\nsite_token_file: {folder}/site.token\n\
         log:\n  level: {level}\n",
        zone = plan.zone(number),
        endpoint = plan.endpoint_address(number),
        slots = plan.slots,
        connections = plan.connections,
        entries = entries.join(", "),
        operators = plan.agent_operators_address(number),
        folder = folder.display(),
        level = plan.log_level,
    );
    start_daemon(plan, &name, "chestnutrun-agent", &text, folder)
}

fn start_daemon(
    plan: &SitePlan,
    name: &str,
    program: &str,
    settings: &str,
    folder: &Path,
) -> Result<SiteProcess, SiteError> {
    let path = write_file(folder, &format!("{name}.yaml"), settings)?;
    let arguments = ["--conf".to_owned(), path.display().to_string()];
    SiteProcess::start_within(name, program, arguments, folder, plan.descriptors)
}
