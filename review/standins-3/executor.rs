//! An executor: it registers at the agent of its machine and runs tasks on orders.

use crate::{
    http::{Answer, Client, Request, Server},
    json::{Json, quote},
    record::{Record, Run},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Longest lease, in milliseconds.
const HOLD_MAX_MS: u64 = 1_000;

/// How long a stop takes, in milliseconds; at most `stop_ms`.
const STOP_MS: u64 = 5;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Share of the orders that executors leave unanswered and carry out late.
pub static LATE_PERCENT: AtomicU64 = AtomicU64::new(0);

static DRAWN: AtomicU64 = AtomicU64::new(0);

#[derive(Clone)]
pub struct Conf {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Address on which it accepts orders, and which it announces.
    pub address: SocketAddr,
    /// Address on which the orders arrive, if something stands between.
    pub listen: SocketAddr,
    /// The agent's address for heartbeats, or what stands before it.
    pub control: SocketAddr,
    pub labels: Vec<String>,
}

struct Work {
    task: String,
    run: u64,
    begun: Instant,
    takes: Duration,
    stops_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    running: Vec<Work>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run that was stopped or ended, by task.
    over: BTreeMap<String, u64>,
}

struct Life {
    conf: Conf,
    born: u64,
    begun: Instant,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
    is_over: AtomicBool,
    is_draining: AtomicBool,
    is_leaving: AtomicBool,
    seq: Mutex<u64>,
    /// Connection to the agent, which heartbeats keep open.
    control: Mutex<Client>,
}

/// One life of an executor.
pub struct Executor {
    life: Arc<Life>,
    server: Server,
}

impl Executor {
    pub fn start(conf: Conf, record: &Record) -> std::io::Result<Self> {
        Self::start_as(conf, record, None, Duration::ZERO)
    }

    /// Starts a life on a listener that its supervisor kept open, with its first heartbeat
    /// after a while.
    pub fn start_as(
        conf: Conf,
        record: &Record,
        listener: Option<TcpListener>,
        first_heartbeat: Duration,
    ) -> std::io::Result<Self> {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let life = Arc::new(Life {
            born: since.unwrap_or_default().as_millis() as u64,
            begun: Instant::now(),
            record: record.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_over: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            seq: Mutex::new(0),
            control: Mutex::new(Client::new(conf.control)),
            conf,
        });
        let handler = {
            let life = life.clone();
            Arc::new(move |request: Request| life.answer(&request))
        };
        let server = match listener {
            Some(listener) => Server::start_on(listener, handler)?,
            None => Server::start(life.conf.listen, handler)?,
        };
        record.say(&format!(
            "{} begins to run, born {}, labels {:?}",
            life.conf.id, life.born, life.conf.labels
        ));
        let ticking = life.clone();
        thread::spawn(move || {
            while !ticking.is_over.load(Ordering::SeqCst) {
                ticking.tick();
                thread::sleep(Duration::from_millis(1));
            }
        });
        let beating = life.clone();
        thread::spawn(move || {
            thread::sleep(first_heartbeat);
            while !beating.is_over.load(Ordering::SeqCst)
                && !beating.is_leaving.load(Ordering::SeqCst)
            {
                let pause = if beating.beat() {
                    HEARTBEAT
                } else {
                    Duration::from_millis(200)
                };
                let until = Instant::now() + pause;
                while Instant::now() < until && !beating.is_over.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
        Ok(Self { life, server })
    }

    pub fn born(&self) -> u64 {
        self.life.born
    }

    /// Announces that it will end; returns whether that was acknowledged.
    pub fn drain(&self) -> bool {
        self.life.is_draining.store(true, Ordering::SeqCst);
        self.life.beat()
    }

    /// Says that it leaves, in a thread of its own since the answer may not come.
    pub fn say_leaving(&self) -> thread::JoinHandle<bool> {
        let life = self.life.clone();
        life.is_leaving.store(true, Ordering::SeqCst);
        thread::spawn(move || {
            let path = format!("/chestnutrun/executors/{}", life.conf.id);
            life.record
                .say(&format!("{} sends DELETE {path}", life.conf.id));
            let mut control = life.control.lock().unwrap();
            let answer = control.call("DELETE", &path, &[], "", Duration::from_secs(2));
            life.record
                .say(&format!("{} DELETE: {answer:?}", life.conf.id));
            answer.is_ok_and(|(status, _)| status / 100 == 2)
        })
    }

    pub fn running(&self) -> usize {
        self.life.state.lock().unwrap().running.len()
    }

    /// Ends the process: all that runs terminates, and connections close.
    pub fn end(self, how: &str) {
        drop(self.end_keeping_listener(how));
    }

    /// Ends the process; the listener stays open for the next one.
    pub fn end_keeping_listener(mut self, how: &str) -> Option<TcpListener> {
        self.life.is_over.store(true, Ordering::SeqCst);
        let mut state = self.life.state.lock().unwrap();
        let life = &self.life;
        for work in state.running.drain(..) {
            life.record
                .ended(&life.conf.id, life.born, &work.task, work.run, how);
        }
        drop(state);
        self.life.changed.notify_all();
        let listener = self.server.stop();
        life_over(&self.life, how);
        listener
    }
}

fn life_over(life: &Life, how: &str) {
    life.record.say(&format!("{} is over: {how}", life.conf.id));
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn beat(&self) -> bool {
        let mut seq = self.seq.lock().unwrap();
        *seq += 1;
        let state = if self.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let labels: Vec<String> = self.conf.labels.iter().map(|label| quote(label)).collect();
        let body = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":32000,\"mem_mb\":131072,\"gpu\":0}},\"labels\":[{}],\
             \"clock_ms\":{},\"seq\":{seq},\"born\":{}}}",
            quote(&self.conf.service),
            self.conf.address,
            quote(&self.conf.zone),
            labels.join(","),
            self.clock_ms(),
            self.born
        );
        let path = format!("/chestnutrun/executors/{}", self.conf.id);
        let answer =
            self.control
                .lock()
                .unwrap()
                .call("PUT", &path, &[], &body, Duration::from_secs(1));
        let is_acked = answer.as_ref().is_ok_and(|(status, _)| status / 100 == 2);
        if !self.is_over.load(Ordering::SeqCst) {
            let heard = if is_acked {
                "acknowledged"
            } else {
                "not acknowledged"
            };
            self.record.say(&format!(
                "{} heartbeat {seq} {state}: {heard}",
                self.conf.id
            ));
        }
        is_acked
    }

    /// Ends the tasks that are done, stopped, or whose lease is over.
    fn tick(&self) {
        let (now, clock) = (Instant::now(), self.clock_ms());
        let mut state = self.state.lock().unwrap();
        if self.is_over.load(Ordering::SeqCst) {
            return;
        }
        let has_lapsed = state.lease_ms <= clock;
        let mut over = Vec::new();
        state.running.retain(|work| {
            let how = if work.stops_at.is_some_and(|at| at <= now) {
                "stopped"
            } else if now >= work.begun + work.takes {
                "done"
            } else if has_lapsed {
                "lapsed"
            } else {
                return true;
            };
            over.push((work.task.clone(), work.run, how));
            false
        });
        if over.is_empty() {
            return;
        }
        for (task, run, how) in over {
            state.ends += 1;
            let number = state.ends;
            let highest = state.over.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            self.record.ended(&self.conf.id, self.born, &task, run, how);
            state.ended.push((number, task, run, how));
        }
        self.changed.notify_all();
    }

    /// Answers an order, or leaves it unanswered and carries it out late.
    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        let percent = LATE_PERCENT.load(Ordering::SeqCst);
        if percent > 0 && request.path.starts_with("/chestnutrun/") {
            let word = self.record.now_ms().wrapping_mul(6_364_136_223_846_793_005)
                ^ self.born.wrapping_mul(0x9E37_79B9_7F4A_7C15)
                ^ DRAWN.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::SeqCst);
            let draw = (word ^ word >> 31).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 33;
            if draw % 100 < percent {
                thread::sleep(Duration::from_millis(2_000 + draw / 100 % 10_000));
                let _ = self.carry_out(request);
                return None;
            }
        }
        self.carry_out(request)
    }

    fn carry_out(&self, request: &Request) -> Answer {
        if self.is_over.load(Ordering::SeqCst) {
            return None;
        }
        if request.path == "/health" {
            return Some((200, String::new()));
        }
        if request.header("Target-Instance") != self.conf.id {
            return Some((421, "{}".into()));
        }
        let body = Json::parse(&request.body)?;
        let token = body.get("fencing_token").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.fence {
            return Some(self.refusal("fence"));
        }
        state.fence = token;
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        match request.path.as_str() {
            "/chestnutrun/run-start" => {
                let until = body.get("until_ms").number().unwrap_or(0);
                if state
                    .running
                    .iter()
                    .any(|work| work.task == task && work.run == run)
                {
                    return Some(self.done());
                }
                if until <= self.clock_ms() {
                    return Some(self.refusal("late"));
                }
                state.lease_ms = state.lease_ms.max(until.min(self.clock_ms() + HOLD_MAX_MS));
                if state.over.get(&task).is_some_and(|highest| run <= *highest) {
                    return Some(self.refusal("old"));
                }
                let spec = body.get("spec").text().unwrap_or_default();
                let takes = spec
                    .split(' ')
                    .filter_map(|word| word.strip_prefix("ms="))
                    .next();
                let takes = takes.and_then(|ms| ms.parse().ok()).unwrap_or(100);
                state.running.push(Work {
                    task: task.clone(),
                    run,
                    begun: Instant::now(),
                    takes: Duration::from_millis(takes),
                    stops_at: None,
                });
                self.record.started(Run {
                    executor: self.conf.id.clone(),
                    born: self.born,
                    task,
                    number: run,
                    from_ms: self.record.now_ms(),
                    to_ms: None,
                    how: String::new(),
                });
                Some(self.done())
            }
            "/chestnutrun/run-stop" => {
                let highest = state.over.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                let at = Instant::now() + Duration::from_millis(STOP_MS);
                for work in state
                    .running
                    .iter_mut()
                    .filter(|work| work.task == task && work.run == run)
                {
                    work.stops_at.get_or_insert(at);
                }
                Some(self.done())
            }
            "/chestnutrun/hold" => {
                if let Some(until) = body.get("until_ms").number() {
                    state.lease_ms = state.lease_ms.max(until.min(self.clock_ms() + HOLD_MAX_MS));
                }
                let seen = body.get("last_seen").number().unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let wait = body.get("wait_ms").number().unwrap_or(0).min(2_000);
                let by = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() && !self.is_over.load(Ordering::SeqCst) {
                    let left = by.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if self.is_over.load(Ordering::SeqCst) {
                    return None;
                }
                Some((200, self.lists(&state)))
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn lists(&self, state: &State) -> String {
        let running = state.running.iter().map(|work| {
            let percent = work.begun.elapsed().as_millis() * 100 / work.takes.as_millis().max(1);
            format!(
                "[{},{},\"\",{},1000]",
                quote(&work.task),
                work.run,
                percent.min(99)
            )
        });
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.collect::<Vec<_>>().join(","),
            ended.collect::<Vec<_>>().join(",")
        )
    }

    fn done(&self) -> (u16, String) {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    fn refusal(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"clock_ms\":{},\"reason\":\"{reason}\"}}",
                self.clock_ms()
            ),
        )
    }
}
