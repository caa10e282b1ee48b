//! A small site: the real entries and agents as processes, with stand-ins for the store,
//! the executors and the callers.

use crate::{
    executor::{Executor, ExecutorConf},
    http,
    record::Record,
    relay::{self, Cut, Silences},
    store::Store,
};
use std::{
    env,
    error::Error,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub type Outcome<T> = Result<T, Box<dyn Error>>;

/// The program of `deploy/system.toml`; the commands there add the role.
const PROGRAM: &str = "target/release/chestnutrun-platform";

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// `bounds` of the settings that the cases check.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const CANCEL: Duration = Duration::from_millis(3_000);
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const STOP: Duration = Duration::from_millis(50);
const GRACE_S: u32 = 6;

/// How long the site may take to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// Processor capacity of each executor, in thousandths of a core.
const EXECUTOR_CPU: u64 = 16_000;

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    app: u16,
    store: u16,
    links: u16,
    metrics: u16,
}

impl Ports {
    fn from(first: u16) -> Self {
        Self {
            front: first,
            ready: first + 1,
            control: first + 2,
            app: first + 3,
            store: first + 4,
            links: first + 10,
            metrics: first + 11,
        }
    }
}

struct Process {
    role: &'static str,
    settings: PathBuf,
    output: Output,
    child: Option<Child>,
}

/// What becomes of the standard output and standard error of the processes.
#[derive(Clone, Copy, PartialEq)]
pub enum Output {
    /// They go to a file.
    Read,
    /// They go to pipes, of which nobody reads.
    Unread,
}

impl Process {
    fn start(&mut self) -> Outcome<()> {
        let mut command = Command::new(PROGRAM);
        command
            .arg(self.role)
            .env("CHESTNUTRUN_BOOT", &self.settings)
            .stdin(Stdio::null());
        match self.output {
            Output::Read => {
                let log = self.settings.with_extension("log");
                let log = File::options().create(true).append(true).open(log)?;
                command.stdout(log.try_clone()?).stderr(log);
            }
            Output::Unread => {
                command.stdout(Stdio::piped()).stderr(Stdio::piped());
            }
        }
        let child = command.spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The processes of a site.
pub struct Plan {
    pub entries: u8,
    pub agents: u8,
    /// The first configuration, a JSON text.
    pub config: String,
    /// An entry that can be cut off: the links of all entries, and its path to the store,
    /// lead through relays.
    pub cut_entry: Option<u8>,
    pub output: Output,
}

impl Plan {
    pub fn new(entries: u8, agents: u8, config: String) -> Self {
        Self {
            entries,
            agents,
            config,
            cut_entry: None,
            output: Output::Read,
        }
    }
}

pub struct Site {
    net: u8,
    ports: Ports,
    folder: PathBuf,
    entries: Vec<Process>,
    agents: Vec<Process>,
    output: Output,
    pub executors: Vec<Executor>,
    pub store: Store,
    pub cut: Cut,
    record: Record,
}

impl Site {
    /// Starts a site and waits until its entries are ready.
    pub fn start(record: &Record, plan: &Plan) -> Outcome<Self> {
        let Plan {
            entries,
            agents,
            cut_entry,
            ..
        } = *plan;
        let folder = env::temp_dir().join(format!("chestnutrun-review-2-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let (net, ports) = free_addresses(entries, agents)?;
        let store_address = address(net, 1, ports.store);
        let mut site = Self {
            net,
            ports,
            folder,
            entries: Vec::new(),
            agents: Vec::new(),
            output: plan.output,
            executors: Vec::new(),
            store: Store::serve(store_address)?,
            cut: Cut::default(),
            record: record.clone(),
        };
        site.store.write_config(&plan.config);
        for number in 0..agents {
            let conf = ExecutorConf {
                id: format!("i-{number}"),
                service: "splint".into(),
                zone: "tanta".into(),
                orders: address(net, agent_ip(number), ports.app),
                agent: address(net, agent_ip(number), ports.control),
                cpu: EXECUTOR_CPU,
                labels: vec!["a".into(), format!("r1-{number}")],
            };
            site.executors.push(Executor::serve(conf, record.clone())?);
            let role = format!(
                "role:\n  executors: {}\n  executor: {}\n  service: splint\n",
                address(net, agent_ip(number), ports.control),
                address(net, agent_ip(number), ports.app),
            );
            let name = format!("side-{number}");
            let settings =
                site.settings(&name, agent_ip(number), store_address, cut_entry.is_some());
            site.add("agent", &name, &(settings + &role))?;
        }
        for number in 0..entries {
            let ip = entry_ip(number);
            let is_cut = cut_entry == Some(number);
            let mut store_of_entry = store_address;
            let mut announced = String::new();
            if cut_entry.is_some() {
                let relayed = address(net, relay_ip(number), ports.links);
                let silences = if is_cut {
                    Silences::All
                } else {
                    Silences::OfProcess
                };
                relay::open(
                    relayed,
                    address(net, ip, ports.links),
                    site.cut.clone(),
                    silences,
                )?;
                announced = format!("announced_links: {relayed}\n");
            }
            if is_cut {
                store_of_entry = address(net, 2, ports.store);
                relay::open(
                    store_of_entry,
                    store_address,
                    site.cut.clone(),
                    Silences::All,
                )?;
            }
            let role = format!(
                "{announced}role:\n  callers: {}\n  ready: {}\n  executors: {}\n",
                address(net, ip, ports.front),
                address(net, ip, ports.ready),
                address(net, ip, ports.control),
            );
            let name = format!("edge-{number}");
            let settings = site.settings(&name, ip, store_of_entry, cut_entry.is_some());
            site.add("entry", &name, &(settings + &role))?;
            if is_cut
                && let Some(child) = site.entries.last().and_then(|entry| entry.child.as_ref())
            {
                site.cut.set_process(child.id());
            }
        }
        for number in 0..entries {
            site.until_ready(number)?;
        }
        Ok(site)
    }

    fn settings(&self, name: &str, ip: u8, store: SocketAddr, is_relayed: bool) -> String {
        // Links to the seed must not lead past its relay.
        let seed_ip = if is_relayed { relay_ip(0) } else { entry_ip(0) };
        format!(
            "name: {name}\nzone: tanta\nip: {}\nlink_port: {}\nmetrics_port: {}\nseeds: [\"{}\"]\n\
             store: {store}\ngrace_seconds: {GRACE_S}\n",
            address(self.net, ip, 1).ip(),
            self.ports.links,
            self.ports.metrics,
            address(self.net, seed_ip, self.ports.control),
        )
    }

    fn add(&mut self, role: &'static str, name: &str, settings: &str) -> Outcome<()> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let mut process = Process {
            role,
            settings: path,
            output: self.output,
            child: None,
        };
        process.start()?;
        match role {
            "entry" => self.entries.push(process),
            _ => self.agents.push(process),
        }
        Ok(())
    }

    /// Waits until an entry reports itself ready to the platform.
    pub fn until_ready(&self, entry: u8) -> Outcome<()> {
        let to = address(self.net, entry_ip(entry), self.ports.ready);
        let begin = Instant::now();
        while begin.elapsed() < READY_WITHIN {
            let answer = http::call(
                to,
                "GET",
                "/chestnutrun/ready",
                &[],
                "",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("edge-{entry} does not get ready").into())
    }

    /// Kills all entries from one on at once.
    pub fn kill_entries_from(&mut self, first: usize) {
        for entry in &mut self.entries[first..] {
            if let Some(child) = &mut entry.child {
                // The process may have ended by itself.
                let _ = child.kill();
            }
        }
        self.entries[first..].iter_mut().for_each(Process::kill);
        let last = self.entries.len() - 1;
        self.record
            .write(&format!("edge-{first} to edge-{last} are killed (SIGKILL)"));
    }

    /// Starts all entries from one on, which were killed.
    pub fn start_entries_from(&mut self, first: usize) -> Outcome<()> {
        let last = self.entries.len() - 1;
        self.record
            .write(&format!("edge-{first} to edge-{last} are started"));
        self.entries[first..]
            .iter_mut()
            .try_for_each(Process::start)
    }

    /// Sends a caller's request to an entry and records it and its answer. Returns the
    /// status; none without an answer.
    pub fn request(
        &self,
        entry: u8,
        method: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Option<u16> {
        self.caller().request(entry, method, path, body, wait)
    }

    /// Returns a caller, which other threads can use.
    pub fn caller(&self) -> Caller {
        Caller {
            net: self.net,
            front: self.ports.front,
            record: self.record.clone(),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.iter_mut().for_each(Process::kill);
        self.agents.iter_mut().for_each(Process::kill);
        // A folder that is left over does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[derive(Clone)]
pub struct Caller {
    net: u8,
    front: u16,
    record: Record,
}

impl Caller {
    pub fn request(
        &self,
        entry: u8,
        method: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Option<u16> {
        let to = address(self.net, entry_ip(entry), self.front);
        let deadline = wait.as_millis().to_string();
        let headers = [("host", HOST.to_owned()), ("request-deadline", deadline)];
        self.record
            .write(&format!("caller: {method} {path} at edge-{entry} is sent"));
        let answer = http::call(to, method, path, &headers, body, wait);
        match &answer {
            Ok((status, body)) => self.record.write(&format!(
                "caller: {method} {path} at edge-{entry} is answered {status} {body}"
            )),
            Err(error) => self.record.write(&format!(
                "caller: {method} {path} at edge-{entry} gets no answer: {error}"
            )),
        }
        answer.ok().map(|(status, _)| status)
    }
}

/// Returns a configuration with one queue for each name and path prefix.
pub fn config(version: u64, queues: &[(&str, &str)], timeout: Duration) -> String {
    let timeout_ms = timeout.as_millis();
    let routes = queues.iter().map(|(name, prefix)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"unsafe\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":60,\"priority\":1,\"service\":\"splint\",\
             \"attempts\":3,\"stretch\":1.6}}"
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"splint\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_control\":true,\"spare\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// Returns a best-effort job of steps that follow one another, one task in each.
pub fn chain_job(steps: usize, work_ms: u64) -> String {
    let steps = (0..steps).map(|step| {
        let after = if step == 0 {
            String::new()
        } else {
            format!(",\"after\":[{}]", step - 1)
        };
        format!("{{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":{work_ms}{after}}}")
    });
    let steps: Vec<String> = steps.collect();
    format!(
        "{{\"spec\":\"work_ms={work_ms} cpu=1000\",\"best_effort\":true,\"steps\":[{}]}}",
        steps.join(",")
    )
}

fn entry_ip(number: u8) -> u8 {
    10 + number
}

fn agent_ip(number: u8) -> u8 {
    50 + number
}

fn relay_ip(number: u8) -> u8 {
    110 + number
}

fn address(net: u8, ip: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, net, ip), port))
}

/// Finds a loopback network and ports that are free on all its addresses.
fn free_addresses(entries: u8, agents: u8) -> Outcome<(u8, Ports)> {
    let hosts = [1, 2].into_iter();
    let hosts = hosts.chain((0..entries).flat_map(|n| [entry_ip(n), relay_ip(n)]));
    let hosts: Vec<u8> = hosts.chain((0..agents).map(agent_ip)).collect();
    let begin = process::id();
    for attempt in 0..100 {
        let net = u8::try_from(20 + (begin + attempt) % 200)?;
        let first = u16::try_from(20_000 + (begin * 16 + attempt * 160) % 10_000)?;
        let is_free = |port: u16| {
            let mut hosts = hosts.iter();
            hosts.all(|host| TcpListener::bind(address(net, *host, port)).is_ok())
        };
        if (first..first + 12).all(is_free) {
            return Ok((net, Ports::from(first)));
        }
    }
    Err("no free addresses were found".into())
}
