//! A small deployment on loopback addresses: the project's own programs as separate
//! processes, and stand-ins for the store, the executors and the clients.

use crate::{
    executor::{Conf, Executor},
    http::call,
    json::quote,
    record::Record,
    store::Store,
};
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime},
};

pub const SERVICE: &str = "desk";
pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/jobs/";

const PROGRAM: &str = "target/release/chestnutrun-platform";

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Has a child end with its parent, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    // The call only concerns the calling process.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
    Ok(())
}

/// A process of the project.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // The process is a child of this one that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Site {
    pub record: Record,
    pub store: Store,
    net: [u8; 2],
    folder: PathBuf,
}

impl Site {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let seed = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos() as u64
            ^ u64::from(std::process::id()) << 20;
        let mut last = None;
        for attempt in 0..50 {
            let word = (seed ^ attempt).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
            let net = [20 + (word % 200) as u8, 1 + (word / 200 % 250) as u8];
            let store = SocketAddr::new(host(net, 100), 8169);
            let is_free = TcpListener::bind(SocketAddr::new(host(net, 1), 7720)).is_ok();
            match Store::start(store) {
                Ok(started) if is_free => {
                    let folder =
                        std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
                    fs::create_dir_all(&folder)?;
                    return Ok(Self {
                        record: record.clone(),
                        store: started,
                        net,
                        folder,
                    });
                }
                Ok(_) => {}
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or_else(|| std::io::Error::other("no free addresses")))
    }

    pub fn ip(&self, number: u8) -> IpAddr {
        host(self.net, number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(number), port)
    }

    /// Writes a configuration with one queue.
    pub fn configure(&self, version: u64) {
        let text = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":{},\"path_prefix\":{},\"kind\":\"unsafe\",\
             \"timeout_ms\":20000,\"target_latency_ms\":60,\"priority\":1,\"service\":{},\"attempts\":3,\"stretch\":1.6}}],\
             \"services\":[{{\"name\":{},\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission_control\":true,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            quote(HOST),
            quote(PREFIX),
            quote(SERVICE),
            quote(SERVICE)
        );
        self.store.write("op", "config", &text);
        self.record.say(&format!(
            "operator: configuration {version} is acknowledged"
        ));
    }

    fn common(&self, name: &str, number: u8, seeds: &[u8], memory_mb: usize) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.at(*seed, 8166)))
            .collect();
        format!(
            "name: \"{name}\"\nzone: \"z1\"\nip: \"{}\"\nlink_port: 7720\nmetrics_port: 7721\nseeds: [{}]\n\
             store: \"{}\"\ngrace_seconds: 6\nlimits:\n  memory_mb: {memory_mb}\n  descriptors: 4096\n",
            self.ip(number),
            seeds.join(","),
            self.at(100, 8169)
        )
    }

    fn spawn(&self, role: &str, name: &str, settings: &str) -> std::io::Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(PROGRAM);
        // The function makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg(role)
            .env("CHESTNUTRUN_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.say(&format!("process {name} starts"));
        Ok(Process {
            name: name.to_owned(),
            child,
        })
    }

    /// Starts the entry of machine `number`.
    pub fn entry(&self, number: u8, seeds: &[u8]) -> std::io::Result<Process> {
        self.start_entry(number, seeds, "")
    }

    /// Starts the entry of machine `number`, which others link to at this address.
    pub fn entry_behind(
        &self,
        number: u8,
        seeds: &[u8],
        links: SocketAddr,
    ) -> std::io::Result<Process> {
        self.start_entry(number, seeds, &format!("announced_links: \"{links}\"\n"))
    }

    fn start_entry(&self, number: u8, seeds: &[u8], extra: &str) -> std::io::Result<Process> {
        let name = format!("edge-{number}");
        let settings = format!(
            "{}{extra}role:\n  callers: \"{}\"\n  ready: \"{}\"\n  executors: \"{}\"\n",
            self.common(&name, number, seeds, 260),
            self.at(number, 8161),
            self.at(number, 8167),
            self.at(number, 8166)
        );
        self.spawn("entry", &name, &settings)
    }

    /// Starts the agent of machine `number`.
    pub fn agent(&self, number: u8, seeds: &[u8]) -> std::io::Result<Process> {
        let name = format!("side-{number}");
        let settings = format!(
            "{}role:\n  executors: \"{}\"\n  executor: \"{}\"\n  service: \"{SERVICE}\"\n  evacuates_zones: false\n",
            self.common(&name, number, seeds, 128),
            self.at(number, 8166),
            self.at(number, 8165)
        );
        self.spawn("agent", &name, &settings)
    }

    /// Returns the settings of the executor on machine `number`.
    pub fn executor_conf(&self, number: u8) -> Conf {
        Conf {
            id: format!("i-{number}"),
            service: SERVICE.into(),
            zone: "z1".into(),
            address: self.at(number, 8165),
            listen: self.at(number, 8165),
            control: self.at(number, 8166),
            labels: vec!["a".into(), format!("r1-{number}")],
        }
    }

    pub fn executor(&self, number: u8) -> std::io::Result<Executor> {
        Executor::start(self.executor_conf(number), &self.record)
    }

    /// Waits until the entry is ready and knows this many endpoints.
    pub fn until_ready(&self, number: u8, endpoints: u64, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let ready = call(
                self.at(number, 8167),
                "GET",
                "/chestnutrun/ready",
                &[],
                "",
                second,
            );
            let metrics = call(self.at(number, 7721), "GET", "/metrics", &[], "", second);
            if ready.is_ok_and(|(status, _)| status == 200)
                && metrics.is_ok_and(|(_, text)| gauge(&text, "endpoints") == Some(endpoints))
            {
                self.record.say(&format!(
                    "edge-{number} is ready with {endpoints} executors"
                ));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.say(&format!("edge-{number} did not get ready"));
        false
    }

    /// Hands in a job; returns the status and body of the answer.
    pub fn post(
        &self,
        number: u8,
        id: &str,
        job: &str,
        deadline: Duration,
    ) -> std::io::Result<(u16, String)> {
        let millis = deadline.as_millis().to_string();
        self.record
            .say(&format!("client: POST {id} at edge-{number}: {job}"));
        let headers = [("Host", HOST), ("Request-Deadline", millis.as_str())];
        let path = format!("{PREFIX}{id}");
        let answer = call(
            self.at(number, 8161),
            "POST",
            &path,
            &headers,
            job,
            deadline,
        );
        self.record.say(&format!(
            "client: POST {id} at edge-{number} is answered {answer:?}"
        ));
        answer
    }

    /// Cancels a job; returns the status and body of the answer.
    pub fn delete(&self, number: u8, id: &str) -> std::io::Result<(u16, String)> {
        self.record
            .say(&format!("client: DELETE {id} at edge-{number}"));
        let path = format!("{PREFIX}{id}");
        let headers = [("Host", HOST)];
        let second = Duration::from_secs(1);
        let answer = call(self.at(number, 8161), "DELETE", &path, &headers, "", second);
        self.record
            .say(&format!("client: DELETE {id} is answered {answer:?}"));
        answer
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a gauge of the metrics of a process.
fn gauge(text: &str, name: &str) -> Option<u64> {
    let key = format!("{{name=\"{name}\"}} ");
    let mut found = text
        .lines()
        .filter_map(|line| line.split_once(key.as_str()));
    found.next()?.1.trim().parse().ok()
}

fn host(net: [u8; 2], number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], number))
}

/// Returns the body of a best-effort job with one step; `spec` tells the executors' stand-in
/// how long a task takes.
pub fn job(spec: &str, count: usize, cpu: u32, estimate_ms: u32) -> String {
    format!(
        "{{\"spec\":{},\"best_effort\":true,\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":64,\
         \"estimate_ms\":{estimate_ms}}}]}}",
        quote(spec)
    )
}
