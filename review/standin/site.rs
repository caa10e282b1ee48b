//! A small deployment on loopback: the store, executors, and the project's own
//! processes with the commands of its deploy file.

use {
    crate::{
        executor::{Executor, ExecutorConf, Shared},
        http::{Response, send},
        json::quote,
        record::Record,
        store::Store,
    },
    std::{
        env, fs,
        io::{self, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, ChildStdin, Command, Stdio, id},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/letters/";
/// Path prefix of the second queue.
pub const STAMPS: &str = "/stamps/";
pub const SERVICE: &str = "desk";

/// Commands of `deploy/system.toml`.
const PROGRAM: &str = "target/release/chestnutrun-platform";

/// `grace_s` of the sites.
const GRACE: Duration = Duration::from_secs(6);

/// How long the site may take to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// Ports, the same on every machine.
#[derive(Clone, Copy, Debug)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    app: u16,
    links: u16,
    metrics: u16,
    store: u16,
}

/// Ends the processes of a case if the driver itself is ended before it could.
struct Watchdog {
    child: Child,
    pids: ChildStdin,
}

impl Watchdog {
    /// Reads ids of processes until `done` or the end of its input, which comes when the
    /// driver has died; then it ends these processes.
    const SCRIPT: &str = "while read -r id; do [ \"$id\" = done ] && exit; ids=\"$ids $id\"; \
                          done; kill -KILL $ids 2>/dev/null";

    fn start() -> io::Result<Self> {
        let mut child = Command::new("sh")
            .args(["-c", Self::SCRIPT])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        let pids = child.stdin.take();
        let pids = pids.ok_or_else(|| io::Error::other("no input of the watchdog"))?;
        Ok(Self { child, pids })
    }

    fn add(&mut self, line: &str) {
        let _ = writeln!(self.pids, "{line}");
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        self.add("done");
        let _ = self.child.wait();
    }
}

/// One process of the project.
pub struct Process {
    name: String,
    role: &'static str,
    conf: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    watchdog: Arc<Mutex<Watchdog>>,
}

impl Process {
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("CHESTNUTRUN_BOOT", &self.conf)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!("{} starts as process {}", self.name, child.id()));
        self.watchdog.lock().unwrap().add(&child.id().to_string());
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: &str, record: &Record) {
        if let Some(child) = &self.child {
            record.line(&format!("{} gets SIG{signal}", self.name));
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &pid])
                .status();
        }
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
    pub fn terminate(&mut self, record: &Record) {
        self.signal("TERM", record);
        let until = Instant::now() + GRACE;
        while self.is_running() && Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        record.line(&format!("{} has ended", self.name));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A site with `entries` edge machines, each in a zone of its own, and `agents` side
/// machines in these zones by turns.
pub struct Site {
    pub shared: Shared,
    pub store: Store,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub executors: Vec<Executor>,
    net: u8,
    ports: Ports,
    folder: PathBuf,
    watchdog: Arc<Mutex<Watchdog>>,
}

/// Rate of the executors' clocks against true time.
#[derive(Clone, Copy)]
pub struct ClockRate(pub f64);

impl Site {
    pub fn start(
        record: Record,
        entries: usize,
        agents: usize,
        ClockRate(rate): ClockRate,
    ) -> io::Result<Self> {
        let net = free_net()?;
        let ports = Ports {
            front: free_port()?,
            ready: free_port()?,
            control: free_port()?,
            app: free_port()?,
            links: free_port()?,
            metrics: free_port()?,
            store: free_port()?,
        };
        let folder = env::temp_dir().join(format!("chestnutrun-review-{}", id()));
        fs::create_dir_all(&folder)?;
        let shared = Shared {
            record: Arc::new(record),
            starts: Arc::default(),
        };
        let store = Store::serve(address(net, 1, ports.store))?;
        let mut site = Self {
            shared,
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            executors: Vec::new(),
            net,
            ports,
            folder,
            watchdog: Arc::new(Mutex::new(Watchdog::start()?)),
        };
        site.store.write_config(&config(
            1,
            &[("desk-queue", PREFIX), ("stamp-queue", STAMPS)],
        ));
        for number in 0..agents {
            let conf = site.agent_conf(number, entries);
            let process = site.process(format!("agent-{number}"), "agent", &conf)?;
            site.agents.push(process);
        }
        for number in 0..entries {
            let conf = site.entry_conf(number, entries);
            let process = site.process(format!("entry-{number}"), "entry", &conf)?;
            site.entries.push(process);
        }
        for number in 0..agents {
            let conf = ExecutorConf {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                zone: zone(number % entries),
                rack: format!("r1-{}", number / 3),
                address: site.agent_address(number, ports.app),
                control: site.agent_address(number, ports.control),
                clock_rate: rate,
            };
            let executor = Executor::start(conf, site.shared.clone())?;
            site.executors.push(executor);
        }
        site.wait_until_ready(agents)?;
        Ok(site)
    }

    /// Starts an executor that has ended again, under its id.
    pub fn restart_executor(&mut self, number: usize) -> io::Result<()> {
        let conf = self.executors[number].conf.clone();
        let id = conf.id.clone();
        self.executors[number] = Executor::start(conf, self.shared.clone())?;
        let born = self.executors[number].born;
        self.record()
            .line(&format!("{id} has started again, born {born}"));
        Ok(())
    }

    pub fn record(&self) -> &Record {
        &self.shared.record
    }

    fn process(&self, name: String, role: &'static str, conf: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, conf)?;
        let mut process = Process {
            log: self.folder.join(format!("{name}.log")),
            name,
            role,
            conf: path,
            child: None,
            watchdog: self.watchdog.clone(),
        };
        process.start(self.record())?;
        Ok(process)
    }

    fn entry_address(&self, number: usize, port: u16) -> SocketAddr {
        address(self.net, 10 + number as u8, port)
    }

    pub fn agent_address(&self, number: usize, port: u16) -> SocketAddr {
        address(self.net, 50 + number as u8, port)
    }

    /// Returns the settings that both templates of the deploy file have.
    fn common_conf(&self, name: &str, zone: &str, ip: IpAddr, entries: usize) -> String {
        let seeds: Vec<String> = (0..entries.min(3))
            .map(|entry| quote(&self.entry_address(entry, self.ports.control).to_string()))
            .collect();
        format!(
            "name: {name:?}\nzone: {zone:?}\nip: \"{ip}\"\nlink_port: {}\nmetrics_port: {}\n\
             seeds: [{}]\nstore: \"{}\"\ngrace_seconds: {}\nrole:\n",
            self.ports.links,
            self.ports.metrics,
            seeds.join(","),
            address(self.net, 1, self.ports.store),
            GRACE.as_secs()
        )
    }

    fn entry_conf(&self, number: usize, entries: usize) -> String {
        let at = |port| self.entry_address(number, port);
        let name = format!("entry-{number}");
        let ip = at(0).ip();
        self.common_conf(&name, &zone(number), ip, entries)
            + &format!(
                "  callers: \"{}\"\n  ready: \"{}\"\n  executors: \"{}\"\n",
                at(self.ports.front),
                at(self.ports.ready),
                at(self.ports.control)
            )
    }

    fn agent_conf(&self, number: usize, entries: usize) -> String {
        let at = |port| self.agent_address(number, port);
        let name = format!("agent-{number}");
        let ip = at(0).ip();
        self.common_conf(&name, &zone(number % entries), ip, entries)
            + &format!(
                "  executors: \"{}\"\n  executor: \"{}\"\n  service: \"{SERVICE}\"\n",
                at(self.ports.control),
                at(self.ports.app)
            )
    }

    /// Waits until every entry is ready and knows every endpoint.
    fn wait_until_ready(&mut self, endpoints: usize) -> io::Result<()> {
        let until = Instant::now() + READY_WITHIN;
        for entry in 0..self.entries.len() {
            while !(self.ready_check(entry)() && self.endpoints(entry) == endpoints) {
                if Instant::now() > until {
                    let text = format!("entry-{entry} is not ready");
                    return Err(io::Error::other(text));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record().line("every entry is ready");
        Ok(())
    }

    /// Returns how many endpoints an entry can use, by its metrics.
    fn endpoints(&self, entry: usize) -> usize {
        let to = self.entry_address(entry, self.ports.metrics);
        let answer = send(to, "GET", "/metrics", &[], "", Duration::from_secs(1));
        let Ok((_, text)) = answer else {
            return 0;
        };
        let mut lines = text.lines();
        let found = lines.find(|line| line.starts_with("chestnutrun_state{name=\"endpoints\"}"));
        let value = found.and_then(|line| line.rsplit(' ').next());
        value
            .and_then(|v| v.parse::<f64>().ok())
            .map_or(0, |v| v as usize)
    }

    /// Returns a check of an entry's readiness, as the platform makes it.
    pub fn ready_check(&self, entry: usize) -> impl Fn() -> bool + Send + use<> {
        let to = self.entry_address(entry, self.ports.ready);
        move || is_ready(to)
    }

    /// Returns a client that connects to an entry.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller {
            record: self.shared.record.clone(),
            entry,
            to: self.entry_address(entry, self.ports.front),
        }
    }
}

impl Drop for Site {
    /// Ends all processes and removes the temporary folder.
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.agents) {
            process.kill();
        }
        if env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(to: SocketAddr) -> bool {
    let within = Duration::from_secs(1);
    let answer = send(to, "GET", "/chestnutrun/ready", &[], "", within);
    answer.is_ok_and(|(status, _)| status == 200)
}

/// A client that sends each request on a new connection.
pub struct Caller {
    record: Arc<Record>,
    entry: usize,
    to: SocketAddr,
}

impl Caller {
    /// Sends a request, waits at most `waits` for the answer, and records both.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        waits: Duration,
    ) -> io::Result<Response> {
        let entry = self.entry;
        self.record
            .line(&format!("client sends {method} {path} to entry-{entry}"));
        let deadline = waits.as_millis().to_string();
        let headers = [("Host", HOST), ("Request-Deadline", deadline.as_str())];
        let answer = send(self.to, method, path, &headers, body, waits);
        let text = match &answer {
            Ok((status, body)) => format!("client gets {status} {body}"),
            Err(error) => format!("client gets no answer ({error})"),
        };
        self.record
            .line(&format!("{text} for {method} {path} from entry-{entry}"));
        answer
    }
}

/// Returns a configuration with a queue for each name and path prefix.
pub fn config(version: u64, queues: &[(&str, &str)]) -> String {
    let routes: Vec<String> = queues
        .iter()
        .map(|(name, prefix)| {
            format!(
                "{{\"name\":{},\"host\":\"{HOST}\",\"path_prefix\":{},\"kind\":\"unsafe\",\
                 \"timeout_ms\":60000,\"target_latency_ms\":20000,\"priority\":0,\
                 \"service\":\"{SERVICE}\",\"attempts\":4,\"stretch\":1.6}}",
                quote(name),
                quote(prefix)
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_control\":true,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

pub fn zone(number: usize) -> String {
    format!("zone-{number}")
}

fn address(net: u8, ip: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, 7, ip)), port)
}

/// Returns the second part of loopback addresses that no other run of a case uses now.
fn free_net() -> io::Result<u8> {
    let first = 60 + (id() % 150) as u8;
    (0..40)
        .map(|step| 60 + (first - 60 + step) % 150)
        .find(|net| TcpListener::bind(address(*net, 254, 17_999)).is_ok())
        .ok_or_else(|| io::Error::other("no free loopback addresses"))
}

/// Returns a port that is free now.
fn free_port() -> io::Result<u16> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?.port())
}

/// Returns whether the program was built.
pub fn is_built() -> bool {
    Path::new(PROGRAM).exists()
}
