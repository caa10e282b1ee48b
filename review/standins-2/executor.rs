//! A stand-in for an executor: it announces itself to the agent of its machine, and
//! carries out orders under a lease.

use crate::{
    http::{self, Request, Response},
    json::{Json, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval of the announcements, `heartbeat_ms` of the settings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Longest lease, `hold_max_ms` of the settings.
const MAX_LEASE_MS: u64 = 1_000;

/// Interval at which ended runs and leases are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Most ends in one list.
const MAX_ENDS: usize = 500;

/// What an executor is, and where it is reached.
#[derive(Clone)]
pub struct ExecutorConf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub orders: SocketAddr,
    /// Address at which the agent of its machine takes announcements.
    pub agent: SocketAddr,
    pub cpu: u64,
    pub labels: Vec<String>,
}

struct Run {
    task: String,
    began: Instant,
    work: Duration,
    cpu: u64,
}

struct State {
    conf: ExecutorConf,
    begin: Instant,
    born: u128,
    token: u64,
    lease_end: u64,
    running: BTreeMap<u64, Run>,
    /// Number, task, run and how it ended.
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    /// Highest run of each task that was stopped or ended.
    floors: BTreeMap<String, u64>,
    /// Number of the last announcement.
    seq: u64,
    is_draining: bool,
}

#[derive(Clone)]
pub struct Executor {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
}

impl Executor {
    pub fn serve(conf: ExecutorConf, record: Record) -> io::Result<Self> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let orders = conf.orders;
        let this = Self {
            state: Arc::new(Mutex::new(State {
                conf,
                begin: Instant::now(),
                born: since_epoch.as_millis(),
                token: 0,
                lease_end: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                floors: BTreeMap::new(),
                seq: 0,
                is_draining: false,
            })),
            changed: Arc::default(),
            record,
        };
        let executor = this.clone();
        http::serve(orders, Arc::new(move |req| executor.answer(req)))?;
        let executor = this.clone();
        thread::spawn(move || executor.announce());
        let executor = this.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(CHECK_INTERVAL);
                executor.advance();
            }
        });
        Ok(this)
    }

    /// Announces the executor to its agent until the process ends.
    fn announce(&self) {
        loop {
            // An agent that is down is tried again soon.
            let pause = match self.announce_once() {
                Some(200) => HEARTBEAT_INTERVAL,
                _ => HEARTBEAT_INTERVAL / 5,
            };
            thread::sleep(pause);
        }
    }

    /// Announces the executor to its agent, and returns the status of the answer.
    fn announce_once(&self) -> Option<u16> {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let body = state.announcement(state.seq);
        drop(state);
        self.send_announcement(&body)
    }

    fn send_announcement(&self, body: &str) -> Option<u16> {
        let (to, id) = {
            let state = self.state.lock().unwrap();
            (state.conf.agent, state.conf.id.clone())
        };
        let path = format!("/chestnutrun/executors/{id}");
        let answer = http::call(to, "PUT", &path, &[], body, Duration::from_secs(1));
        answer.ok().map(|(status, _)| status)
    }

    /// Announces that the executor drains, and keeps announcing it. Returns the status of
    /// the answer.
    pub fn drain(&self) -> Option<u16> {
        let id = {
            let mut state = self.state.lock().unwrap();
            state.is_draining = true;
            state.conf.id.clone()
        };
        let status = self.announce_once();
        self.record.write(&format!(
            "executor {id}: announces `draining`, is answered {status:?}"
        ));
        status
    }

    /// Sends an announcement that another writer wrote: it has a number that is too large.
    pub fn announce_odd_sequence(&self, seq: u64) {
        let body = self.state.lock().unwrap().announcement(seq);
        let status = self.send_announcement(&body);
        self.record.write(&format!(
            "another writer: announces {body}, is answered {status:?}"
        ));
    }

    /// Ends the runs whose work is done, and all of them when the lease is over.
    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let is_lapsed = state.lease_end <= state.clock_ms();
        let running = state.running.iter();
        let due = running.filter(|(_, run)| is_lapsed || run.began.elapsed() >= run.work);
        let due: Vec<(u64, bool)> = due
            .map(|(n, run)| (*n, run.began.elapsed() >= run.work))
            .collect();
        for (run, is_done) in due {
            state.end(&self.record, run, if is_done { "done" } else { "lapsed" });
            self.changed.notify_all();
        }
    }

    fn answer(&self, req: &Request) -> Response {
        let Some(body) = Json::parse(&req.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let target = req.header("target-instance");
        if target.is_some_and(|target| target != state.conf.id) {
            return (421, "{}".to_owned());
        }
        let token = body.get("fencing_token").number();
        if token < state.token {
            return state.refuse("fence");
        }
        state.token = token;
        match req.path.as_str() {
            "/chestnutrun/run-start" => state.start(&self.record, &body),
            "/chestnutrun/run-stop" => {
                let (task, run) = (body.get("task").text(), body.get("run").number());
                let floor = state.floors.entry(task.to_owned()).or_default();
                *floor = run.max(*floor);
                state.end(&self.record, run, "stopped");
                self.changed.notify_all();
                (200, format!("{{\"clock_ms\":{}}}", state.clock_ms()))
            }
            "/chestnutrun/hold" => {
                state.renew(&body);
                let last_seen = body.get("last_seen").number();
                state.ended.retain(|end| end.0 > last_seen);
                let wait = body.get("wait_ms").number().min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() || !state.ended.is_empty() {
                        return state.lists();
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn announcement(&self, seq: u64) -> String {
        let conf = &self.conf;
        let labels: Vec<String> = conf.labels.iter().map(|label| quote(label)).collect();
        let state = if self.is_draining {
            "\"draining\",\"remaining_ms\":5000"
        } else {
            "\"ready\""
        };
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":{state},\"cold_remaining_ms\":0,\"seq\":{seq},\
             \"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":{},\"born\":{}}}",
            quote(&conf.service),
            conf.orders,
            quote(&conf.zone),
            conf.cpu,
            labels.join(","),
            self.clock_ms(),
            self.born
        )
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.begin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn refuse(&self, reason: &str) -> Response {
        let clock = self.clock_ms();
        (
            409,
            format!("{{\"clock_ms\":{clock},\"reason\":{}}}", quote(reason)),
        )
    }

    fn renew(&mut self, body: &Json) {
        let longest = self.clock_ms() + MAX_LEASE_MS;
        let until = body.get("until_ms").number().min(longest);
        self.lease_end = self.lease_end.max(until);
    }

    fn start(&mut self, record: &Record, body: &Json) -> Response {
        if body.get("until_ms").number() <= self.clock_ms() {
            return self.refuse("late");
        }
        self.renew(body);
        let (task, run) = (body.get("task").text(), body.get("run").number());
        let done = format!("{{\"clock_ms\":{}}}", self.clock_ms());
        if self
            .running
            .get(&run)
            .is_some_and(|known| known.task == task)
        {
            return (200, done);
        }
        if self.floors.get(task).is_some_and(|floor| run <= *floor) {
            return self.refuse("old");
        }
        // The spec of a case's jobs says how long each task works, and on what.
        let spec = body.get("spec").text();
        let of_spec = |name: &str| {
            let mut words = spec
                .split_whitespace()
                .filter_map(|word| word.split_once('='));
            let value = words.find(|(key, _)| *key == name).map(|(_, value)| value);
            value
                .and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let cpu = of_spec("cpu");
        let used: u64 = self.running.values().map(|run| run.cpu).sum();
        if used + cpu > self.conf.cpu {
            return self.refuse("room");
        }
        record.run_event(&self.conf.id, task, run, None);
        let run_state = Run {
            task: task.to_owned(),
            began: Instant::now(),
            work: Duration::from_millis(of_spec("work_ms")),
            cpu,
        };
        self.running.insert(run, run_state);
        (200, done)
    }

    fn end(&mut self, record: &Record, run: u64, how: &'static str) {
        let Some(ended) = self.running.remove(&run) else {
            return;
        };
        record.run_event(&self.conf.id, &ended.task, run, Some(how));
        let floor = self.floors.entry(ended.task.clone()).or_default();
        *floor = run.max(*floor);
        self.ended.push((self.next_end, ended.task, run, how));
        self.next_end += 1;
    }

    fn lists(&self) -> Response {
        let running = self.running.iter().map(|(number, run)| {
            let percent = run.began.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
            format!(
                "[{},{number},\"\",{},{}]",
                quote(&run.task),
                percent.min(99),
                run.cpu
            )
        });
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(MAX_ENDS);
        let ended = ended.map(|(number, task, run, how)| {
            format!("[{number},{},{run},{},\"\"]", quote(task), quote(how))
        });
        let ended: Vec<String> = ended.collect();
        let (clock, born) = (self.clock_ms(), self.born);
        let (running, ended) = (running.join(","), ended.join(","));
        (
            200,
            format!(
                "{{\"clock_ms\":{clock},\"born\":{born},\"running\":[{running}],\"ended\":[{ended}]}}"
            ),
        )
    }
}
