//! An executor: carries out orders under a lease on its own clock, and sends heartbeats
//! to the agent of its machine.

use {
    crate::{
        http::{Request, Response, Server, send, serve},
        json::{Json, quote},
        record::Record,
    },
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

/// `hold_max_ms` of the sites.
const HOLD_MAX_MS: u64 = 1_000;

/// `heartbeat_ms` of the sites.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Processor and memory of an executor.
const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 65_536;

/// What every executor of a case shares.
#[derive(Clone)]
pub struct Shared {
    pub record: Arc<Record>,
    pub starts: Arc<Mutex<Vec<Started>>>,
}

/// One run at an executor, for the check of the rule.
#[derive(Clone, Debug)]
pub struct Started {
    pub task: String,
    pub run: u64,
    pub executor: String,
    /// Since the start of the case.
    pub begin: Duration,
    pub end: Option<Duration>,
    pub how: &'static str,
}

#[derive(Clone, Debug)]
pub struct ExecutorConf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    /// Address on which it accepts orders.
    pub address: SocketAddr,
    /// Address of its agent for heartbeats.
    pub control: SocketAddr,
    /// Rate of its clock against true time.
    pub clock_rate: f64,
}

struct Run {
    task: String,
    number: u64,
    cpu: u64,
    begin: Instant,
    work: Duration,
    index: usize,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest number of a run of each task that was stopped or ended here.
    floors: HashMap<String, u64>,
    is_down: bool,
    /// Whether answers are withheld.
    is_mute: bool,
    is_draining: bool,
    /// Whether the next start is left unanswered and kept, to be carried out late.
    keeps_next_start: bool,
    kept_start: Option<String>,
}

#[derive(Clone)]
pub struct Executor {
    pub conf: ExecutorConf,
    shared: Shared,
    state: Arc<(Mutex<State>, Condvar)>,
    begin: Instant,
    pub born: u64,
    server: Arc<Mutex<Option<Server>>>,
}

impl Executor {
    /// Starts an incarnation of an executor.
    pub fn start(conf: ExecutorConf, shared: Shared) -> io::Result<Self> {
        let this = Self {
            conf,
            shared,
            state: Arc::default(),
            begin: Instant::now(),
            born: unix_ms(),
            server: Arc::default(),
        };
        let served = this.clone();
        let server = serve(this.conf.address, move |req| served.handle(req))?;
        *this.server.lock().unwrap() = Some(server);
        let announcing = this.clone();
        thread::spawn(move || announcing.announce());
        let advancing = this.clone();
        thread::spawn(move || advancing.advance());
        Ok(this)
    }

    /// Ends the process of the executor without notice: all runs end, its port is closed.
    pub fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.is_down = true;
        for run in std::mem::take(&mut state.running) {
            self.record_end(&run, "lost", Instant::now());
        }
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
    }

    /// Withholds all answers to orders, which are carried out, or delivers them again.
    pub fn set_mute(&self, is_mute: bool) {
        self.state.0.lock().unwrap().is_mute = is_mute;
    }

    /// Leaves the next start unanswered and keeps it.
    pub fn keep_next_start(&self) {
        self.state.0.lock().unwrap().keeps_next_start = true;
    }

    /// Takes the start that was left unanswered, once there is one.
    pub fn take_kept_start(&self) -> Option<String> {
        self.state.0.lock().unwrap().kept_start.take()
    }

    /// Carries out an order that was left unanswered before.
    pub fn carry_out_late(&self, start: &str) {
        let Some(body) = Json::parse(start) else {
            return;
        };
        let (status, answer) = self.run_start(&body);
        let id = &self.conf.id;
        self.shared.record.line(&format!(
            "{id} carries out the late start: {status} {answer}"
        ));
    }

    /// Ends in a planned way: reports `draining`, serves on for `drain`, sends DELETE and
    /// ends.
    pub fn leave(&self, drain: Duration) {
        self.state.0.lock().unwrap().is_draining = true;
        let id = &self.conf.id;
        let path = format!("/chestnutrun/executors/{id}");
        let body = self.heartbeat(1_000_000);
        let within = Duration::from_secs(1);
        let sent = send(self.conf.control, "PUT", &path, &[], &body, within);
        self.shared
            .record
            .line(&format!("{id} reports that it is draining: {sent:?}"));
        thread::sleep(drain);
        let sent = send(self.conf.control, "DELETE", &path, &[], "", within);
        self.shared
            .record
            .line(&format!("{id} says that it leaves: {sent:?}"));
        self.crash();
    }

    /// Returns how many tasks run here.
    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running.len()
    }

    fn clock_ms(&self) -> u64 {
        let true_ms = self.begin.elapsed().as_secs_f64() * 1_000.0;
        (true_ms * self.conf.clock_rate) as u64
    }

    /// Returns the body of a heartbeat.
    pub fn heartbeat(&self, seq: u64) -> String {
        let is_draining = self.state.0.lock().unwrap().is_draining;
        let state = if is_draining { "draining" } else { "ready" };
        format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEMORY_MB},\"gpu\":0}},\
             \"labels\":[\"a\",{}],\"clock_ms\":{},\"seq\":{seq},\"born\":{}}}",
            quote(&self.conf.service),
            quote(&self.conf.address.to_string()),
            quote(&self.conf.zone),
            state,
            quote(&self.conf.rack),
            self.clock_ms(),
            self.born
        )
    }

    fn announce(&self) {
        let path = format!("/chestnutrun/executors/{}", self.conf.id);
        let mut seq = 0;
        while !self.state.0.lock().unwrap().is_down {
            seq += 1;
            let body = self.heartbeat(seq);
            let within = Duration::from_secs(1);
            // An agent that is down gets the next heartbeat.
            let sent = send(self.conf.control, "PUT", &path, &[], &body, within);
            let pause = if sent.is_ok_and(|(status, _)| status == 200) {
                HEARTBEAT_INTERVAL
            } else {
                Duration::from_millis(200)
            };
            thread::sleep(pause);
        }
    }

    /// Ends runs whose work is done, and all runs when the lease is over.
    fn advance(&self) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let (state, changed) = &*self.state;
            let mut state = state.lock().unwrap();
            if state.is_down {
                return;
            }
            if self.end_due_runs(&mut state) {
                changed.notify_all();
            }
        }
    }

    /// Ends the runs that are due by now, each at its exact moment; returns whether there
    /// were any.
    fn end_due_runs(&self, state: &mut State) -> bool {
        let lapse_at = self.begin
            + Duration::from_secs_f64(state.lease_end as f64 / 1_000.0 / self.conf.clock_rate);
        let now = Instant::now();
        let mut ended = Vec::new();
        for run in std::mem::take(&mut state.running) {
            let done_at = run.begin + run.work;
            if done_at.min(lapse_at) > now {
                state.running.push(run);
            } else if done_at <= lapse_at {
                ended.push((run, "done", done_at));
            } else {
                ended.push((run, "lapsed", lapse_at));
            }
        }
        for (run, how, at) in &ended {
            self.end_run(state, run, how, *at);
        }
        !ended.is_empty()
    }

    fn end_run(&self, state: &mut State, run: &Run, how: &'static str, at: Instant) {
        self.record_end(run, how, at);
        state.last_end += 1;
        let number = state.last_end;
        state
            .ended
            .push((number, run.task.clone(), run.number, how));
        let floor = state.floors.entry(run.task.clone()).or_default();
        *floor = (*floor).max(run.number);
    }

    fn record_end(&self, run: &Run, how: &'static str, at: Instant) {
        let id = &self.conf.id;
        let at = self.shared.record.at(at);
        self.shared.record.line(&format!(
            "run {} of {} at {id} has ended at {:.4}: {how}",
            run.number,
            run.task,
            at.as_secs_f64()
        ));
        let mut starts = self.shared.starts.lock().unwrap();
        starts[run.index].end = Some(at);
        starts[run.index].how = how;
    }

    fn handle(&self, req: &Request) -> Response {
        let target = req.header("target-instance");
        if !target.is_empty() && target != self.conf.id {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&req.body) else {
            return (400, "{}".to_owned());
        };
        if req.path == "/chestnutrun/run-start" && self.keeps(req) {
            // The agent gives up long before.
            thread::sleep(Duration::from_secs(5));
            return (503, "{}".to_owned());
        }
        let answer = match req.path.as_str() {
            "/chestnutrun/run-start" => self.run_start(&body),
            "/chestnutrun/run-stop" => self.run_stop(&body),
            "/chestnutrun/hold" => self.hold(&body),
            _ => (404, "{}".to_owned()),
        };
        while self.state.0.lock().unwrap().is_mute {
            thread::sleep(Duration::from_millis(5));
        }
        answer
    }

    /// Keeps a start for later if it is to be left unanswered.
    fn keeps(&self, req: &Request) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if !std::mem::take(&mut state.keeps_next_start) {
            return false;
        }
        let id = &self.conf.id;
        self.shared
            .record
            .line(&format!("{id} leaves a start unanswered: {}", req.body));
        state.kept_start = Some(req.body.clone());
        true
    }

    fn refuse(&self, reason: &str) -> Response {
        let clock = self.clock_ms();
        let body = format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}");
        (409, body)
    }

    fn done(&self) -> Response {
        (200, format!("{{\"clock_ms\":{}}}", self.clock_ms()))
    }

    /// Records the token of an order; returns whether the order is valid.
    fn takes_token(state: &mut State, body: &Json) -> bool {
        let token = body.get("fencing_token").int().unwrap_or(0);
        let is_valid = token >= state.token;
        state.token = state.token.max(token);
        is_valid
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        self.end_due_runs(state);
        let longest = self.clock_ms() + HOLD_MAX_MS;
        let until = body.get("until_ms").int().unwrap_or(0).min(longest);
        state.lease_end = state.lease_end.max(until);
    }

    fn run_start(&self, body: &Json) -> Response {
        let mut state = self.state.0.lock().unwrap();
        if !Self::takes_token(&mut state, body) {
            return self.refuse("fence");
        }
        if body.get("until_ms").int().unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend_lease(&mut state, body);
        let task = body.get("task").text().to_owned();
        let number = body.get("run").int().unwrap_or(0);
        let is_there = |run: &Run| run.task == task && run.number == number;
        if state.running.iter().any(is_there) {
            return self.done();
        }
        if state
            .floors
            .get(&task)
            .is_some_and(|floor| number <= *floor)
        {
            return self.refuse("old");
        }
        let (work, cpu) = work_of(body.get("spec").text());
        let used: u64 = state.running.iter().map(|run| run.cpu).sum();
        if used + cpu > CPU {
            return self.refuse("room");
        }
        let id = &self.conf.id;
        let begin = self
            .shared
            .record
            .line(&format!("run {number} of {task} at {id} starts"));
        let mut starts = self.shared.starts.lock().unwrap();
        starts.push(Started {
            task: task.clone(),
            run: number,
            executor: id.clone(),
            begin,
            end: None,
            how: "",
        });
        let index = starts.len() - 1;
        state.running.push(Run {
            task,
            number,
            cpu,
            begin: Instant::now(),
            work,
            index,
        });
        self.done()
    }

    fn run_stop(&self, body: &Json) -> Response {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if !Self::takes_token(&mut state, body) {
            return self.refuse("fence");
        }
        let task = body.get("task").text().to_owned();
        let number = body.get("run").int().unwrap_or(0);
        let floor = state.floors.entry(task.clone()).or_default();
        *floor = (*floor).max(number);
        let found = state
            .running
            .iter()
            .position(|run| run.task == task && run.number == number);
        if let Some(at) = found {
            let run = state.running.remove(at);
            self.end_run(&mut state, &run, "stopped", Instant::now());
            changed.notify_all();
        }
        self.done()
    }

    fn hold(&self, body: &Json) -> Response {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if !Self::takes_token(&mut state, body) {
            return self.refuse("fence");
        }
        self.extend_lease(&mut state, body);
        let last_seen = body.get("last_seen").int().unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > last_seen);
        let wait = body.get("wait_ms").int().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ended.is_empty() || left.is_zero() || state.is_down {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| {
                let percent = run.begin.elapsed().as_secs_f64() * 100.0 / run.work.as_secs_f64();
                let percent = percent.min(99.0) as u64;
                let (task, number, cpu) = (quote(&run.task), run.number, run.cpu);
                format!("[{task},{number},\"\",{percent},{cpu}]")
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(at, task, run, how)| format!("[{at},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}

/// Returns the run time and the processor need of each task of a job, which the job's
/// payload tells this stand-in: `work_ms=N cpu=N`.
fn work_of(spec: &str) -> (Duration, u64) {
    let value = |name: &str| {
        let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
        let found = words.find(|(key, _)| *key == name);
        found.and_then(|(_, value)| value.parse().ok())
    };
    let work = Duration::from_millis(value("work_ms").unwrap_or(1));
    (work, value("cpu").unwrap_or(1_000))
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(0)
}
