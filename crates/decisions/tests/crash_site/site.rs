//! One entry with several agents.

use {
    super::agent::{Agent, CLOCK, REFUSED, room},
    chestnutrun_decisions::{
        guard::{
            Answer, GuardAction, GuardInput, GuardMessage, ListReply, ListedEnd, RunEnd, StartOrder,
        },
        placement::{DispatchAction, DispatchInput, Dispatcher, JobOutcome, Submission},
    },
    chestnutrun_types::{AgentId, BestEffortJob, Now, Resources, Route, StepSpec},
    indexmap::IndexMap,
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// Agents that are linked to one entry. Each endpoint that starts a deadly job crashes
/// and does not come back; the others lose their runs, or complete them if `completes`.
pub struct Site {
    pub dispatcher: Dispatcher,
    pub entry_run: u64,
    pub agents: Vec<(AgentId, Agent)>,
    pub down: Vec<AgentId>,
    pub deadly: Vec<Arc<str>>,
    pub starts: Vec<Arc<str>>,
    pub completes: bool,
    pub ends: IndexMap<AgentId, Vec<ListedEnd>>,
    pub answers: Vec<(Arc<str>, JobOutcome)>,
}

pub const DEADLINE_MS: u64 = 20_000;

impl Site {
    pub fn new(endpoints: usize) -> Self {
        let agent = |number| {
            let name = format!("endpoint-{number}");
            (name.as_str().into(), Agent::of(&name))
        };
        let mut site = Self {
            dispatcher: Dispatcher::new("zone".into()),
            entry_run: 0,
            agents: (0..endpoints).map(agent).collect(),
            down: Vec::new(),
            deadly: Vec::new(),
            starts: Vec::new(),
            completes: false,
            ends: IndexMap::new(),
            answers: Vec::new(),
        };
        site.restart_entry(0);
        site
    }

    /// Replaces the entry by one that knows nothing.
    pub fn restart_entry(&mut self, millis: u64) {
        self.dispatcher = Dispatcher::new("zone".into());
        self.entry_run += 1;
        for number in 0..self.agents.len() {
            let actions = self.agents[number].1.link(millis, self.entry_run);
            self.agent_actions(millis, number, actions);
        }
    }

    pub fn submit(&mut self, millis: u64, job: &str, tasks: u16) {
        self.submit_with_need(millis, job, tasks, room(1));
    }

    pub fn submit_with_need(&mut self, millis: u64, job: &str, tasks: u16, need: Resources) {
        let step = StepSpec {
            tasks,
            need,
            estimate: Duration::from_millis(100),
            after: Vec::new(),
            requires: None,
            rack: None,
            most_per_endpoint: None,
        };
        let submission = Submission {
            caller: millis,
            route: Arc::new(Route {
                id: "route".into(),
                host: "host".into(),
                path_prefix: "/path/".into(),
                service: "service".into(),
                priority: 0,
                attempts: 3,
                stretch: 100.0,
                target_latency: Duration::from_secs(10),
                timeout: None,
                needs_advice: false,
            }),
            job: Rc::new(BestEffortJob {
                id: job.into(),
                payload: "payload".into(),
                steps: vec![step],
            }),
            deadline: self.agents[0].1.begin + Duration::from_millis(millis + DEADLINE_MS),
        };
        self.entry(millis, DispatchInput::Submit(submission));
    }

    pub fn dispatch(&mut self, millis: u64, input: DispatchInput) -> Vec<DispatchAction> {
        let now = Now {
            instant: self.agents[0].1.begin + Duration::from_millis(millis),
            wall: SystemTime::UNIX_EPOCH,
        };
        self.dispatcher.handle(now, input)
    }

    pub fn entry(&mut self, millis: u64, input: DispatchInput) {
        for action in self.dispatch(millis, input) {
            match action {
                DispatchAction::Answer(_, job, outcome) => self.answers.push((job, outcome)),
                DispatchAction::Assign(agent, assignment) => {
                    self.agent(
                        millis,
                        &agent,
                        GuardInput::Assign("entry".into(), assignment),
                    );
                }
                DispatchAction::TellDemand(agent, demand) => {
                    let input = GuardInput::Demand("entry".into(), demand);
                    self.agent(millis, &agent, input);
                }
                DispatchAction::Revoke(agent, revocation) => {
                    self.agent(
                        millis,
                        &agent,
                        GuardInput::Revoke("entry".into(), revocation),
                    );
                }
                DispatchAction::Record(_) | DispatchAction::SpreadCancel(_) => {}
            }
        }
    }

    pub fn agent(&mut self, millis: u64, agent: &AgentId, input: GuardInput) {
        let number = self.agents.iter().position(|(name, _)| name == agent);
        let number = number.expect("the agent exists");
        let actions = self.agents[number].1.handle(millis, input);
        self.agent_actions(millis, number, actions);
    }

    pub fn agent_actions(&mut self, millis: u64, number: usize, actions: Vec<GuardAction>) {
        let name = self.agents[number].0.clone();
        for action in actions {
            match action {
                GuardAction::Send(_, GuardMessage::Resync(resync)) => {
                    let up = DispatchInput::AgentUp(name.clone(), 1, resync);
                    self.entry(millis, up);
                }
                GuardAction::Send(_, GuardMessage::Endpoint(info)) => {
                    self.entry(millis, DispatchInput::EndpointChanged(name.clone(), info));
                }
                GuardAction::Send(_, GuardMessage::Update(update)) => {
                    self.entry(millis, DispatchInput::Update(name.clone(), update));
                }
                GuardAction::Start(order) => {
                    self.starts.push(order.task.job.clone());
                    if self.deadly.contains(&order.task.job) {
                        self.down.push(name.clone());
                    }
                    let answer = if self.down.contains(&name) {
                        Answer::Unknown
                    } else {
                        if self.completes {
                            self.complete(&name, &order);
                        }
                        Answer::Done(CLOCK, ())
                    };
                    let started = GuardInput::Started(order.incarnation, order.run, answer);
                    self.agent(millis, &name, started);
                }
                _ => {}
            }
        }
    }

    pub fn complete(&mut self, endpoint: &AgentId, order: &StartOrder) {
        let ends = self.ends.entry(endpoint.clone()).or_default();
        ends.push(ListedEnd {
            number: ends.len() as u64 + 1,
            task: order.task.clone(),
            run: order.run,
            how: RunEnd::Done,
        });
    }

    /// Lets time pass.
    pub fn run(&mut self, from: u64, to: u64) {
        for millis in (from..to).step_by(10) {
            for number in 0..self.agents.len() {
                let (name, agent) = &mut self.agents[number];
                let answer = if self.down.contains(name) {
                    REFUSED
                } else {
                    let reply = ListReply {
                        running: Vec::new(),
                        ended: self.ends.get(name).cloned().unwrap_or_default(),
                    };
                    Answer::Done(CLOCK + Duration::from_millis(millis), reply)
                };
                let mut actions = agent.answer_lists(millis, &answer);
                actions.extend(agent.handle(millis, GuardInput::Tick));
                self.agent_actions(millis, number, actions);
            }
            self.entry(millis, DispatchInput::Tick);
        }
    }
}
