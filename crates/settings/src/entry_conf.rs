//! Settings of an entry.

use {
    crate::{
        ByteSize, Conf, LogConf, MachineConf, TlsConf,
        address_check::{self, NamedAddress},
        checks,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Policy by which the entry chooses the next task to run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Tasks run in the order of their arrival.
    FirstCome,
    /// Each task joins the queue of an endpoint chosen at random.
    RandomEndpoint,
    /// Each task joins the queue of the next endpoint in turn.
    RoundRobin,
    /// Short tasks run before long ones; contracts get slots by their shares.
    #[default]
    SizeAware,
    /// Each contract has a fixed part of the slots.
    StaticShares,
}

/// Accepted range of `stop_within`.
pub(crate) const STOP_WITHIN_RANGE: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_hours(1));

/// Accepted range of the time limits of a request.
const REQUEST_TIME_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(10));

/// Minimum of `limits.headers`; common clients send this many headers.
const MIN_HEADERS: usize = 8;

/// Limits of HTTP requests from callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Maximum size of a request body.
    pub body_size: ByteSize,
    /// Maximum number of headers of different names.
    pub headers: usize,
    /// Time within which the whole head of a request has to arrive.
    #[serde(with = "humantime_serde")]
    pub head_timeout: Duration,
    /// Time within which the whole body of a request has to arrive.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Longest time that a request may wait for a job's answer.
    #[serde(with = "humantime_serde")]
    pub longest_wait: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            body_size: ByteSize::mebibytes(8),
            headers: 64,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            longest_wait: Duration::from_mins(1),
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryConf {
    /// Name of the entry, unique within the site.
    pub name: String,
    /// Availability zone that the entry runs in.
    pub zone: String,
    /// Address that the entry listens on for callers.
    pub callers: SocketAddr,
    /// Address that the entry listens on for operators.
    pub operators: SocketAddr,
    /// Address that the entry listens on for agents and other entries.
    pub inner: SocketAddr,
    /// Address that agents and other entries connect to; `inner` if none is set.
    #[serde(default)]
    pub announced_inner: Option<SocketAddr>,
    /// Address of the platform's table.
    pub table: SocketAddr,
    /// File with the secret by which the site's processes authenticate each other.
    pub site_token_file: PathBuf,
    /// File with the token that operators' requests carry.
    pub operator_token_file: PathBuf,
    /// TLS for callers; plain HTTP is served if none is set.
    #[serde(default)]
    pub callers_tls: Option<TlsConf>,
    /// TLS for operators; plain HTTP is served if none is set.
    #[serde(default)]
    pub operators_tls: Option<TlsConf>,
    /// Number of shards of the site, the same at every entry.
    #[serde(default = "one_shard")]
    pub shards: u32,
    /// Policy by which the entry chooses the next task to run.
    #[serde(default)]
    pub policy: PolicyName,
    /// Limits of HTTP requests from callers.
    #[serde(default)]
    pub limits: RequestLimits,
    /// What the machine allows the process.
    #[serde(default)]
    pub machine: MachineConf,
    /// Longest time that a planned stop may take.
    #[serde(default = "half_a_minute", with = "humantime_serde")]
    pub stop_within: Duration,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogConf,
}

fn one_shard() -> u32 {
    1
}

fn half_a_minute() -> Duration {
    Duration::from_secs(30)
}

impl Conf for EntryConf {
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        checks::name(&mut problems, "name", &self.name);
        checks::name(&mut problems, "zone", &self.zone);
        checks::at_least(&mut problems, "shards", 1, self.shards as usize);
        let stop_within = self.stop_within;
        checks::within(&mut problems, "stop_within", STOP_WITHIN_RANGE, stop_within);
        self.limits.check(&mut problems);
        self.machine.check(&mut problems);
        let http = [("callers", self.callers), ("operators", self.operators)];
        let listening = [http[0], http[1], ("inner", self.inner)];
        problems.extend(address_check::without_port(&listening));
        problems.extend(address_check::unreachable(&self.dialed_addresses()));
        let table = ("table", self.table);
        problems.extend(address_check::duplicates(
            &[&listening[..], &[table]].concat(),
        ));
        problems
    }
}

impl EntryConf {
    /// Returns the addresses that this or another process connects to.
    fn dialed_addresses(&self) -> [NamedAddress; 2] {
        let inner = match self.announced_inner {
            Some(announced) => ("announced_inner", announced),
            None => ("inner", self.inner),
        };
        [inner, ("table", self.table)]
    }
}

impl RequestLimits {
    /// Adds a problem for each limit that is out of its accepted range.
    fn check(&self, problems: &mut Vec<String>) {
        checks::at_least(problems, "limits.body_size", 1, self.body_size.bytes());
        checks::at_least(problems, "limits.headers", MIN_HEADERS, self.headers);
        let times = [
            ("limits.head_timeout", self.head_timeout),
            ("limits.body_timeout", self.body_timeout),
            ("limits.longest_wait", self.longest_wait),
        ];
        for (key, value) in times {
            checks::within(problems, key, REQUEST_TIME_RANGE, value);
        }
    }
}
