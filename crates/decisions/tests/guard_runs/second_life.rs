//! A later incarnation of the endpoint, which takes orders before it announces itself.

use {
    chestnutrun_decisions::guard::{
        Answer, FencingToken, GuardAction, GuardInput, ListOrder, ListReply, ListedRun, OrderFault,
    },
    chestnutrun_types::{Incarnation, RunNumber, TaskId},
    std::time::Duration,
};

/// Milliseconds since the beginning of the test, or on the incarnation's clock.
pub type Millis = u64;

/// Longest lease that an endpoint grants.
const LONGEST_LEASE: Millis = 1_000;

/// Incarnation of the second life; the first one has number 1.
const INCARNATION: Incarnation = 2;

/// Which orders are answered. All are carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answering {
    All,
    StartsAndStops,
    Nothing,
}

/// A later incarnation of the endpoint, which began at 0 and knows nothing of before. Orders
/// name the endpoint by its id, so that it carries out those to the earlier incarnation.
#[derive(Debug)]
pub struct SecondLife {
    answering: Answering,
    token: FencingToken,
    lease_until: Millis,
    run: Option<(TaskId, RunNumber)>,
}

impl SecondLife {
    pub fn new(answering: Answering) -> Self {
        Self {
            answering,
            token: 0,
            lease_until: 0,
            run: None,
        }
    }

    /// Whether a run works at this moment.
    pub fn is_at_work(&self, at: Millis) -> bool {
        self.run.is_some() && at < self.lease_until
    }

    /// Carries out an order; returns its answer unless it stays unanswered.
    pub fn carry_out(&mut self, at: Millis, action: GuardAction) -> Option<GuardInput> {
        let clock = Duration::from_millis(at);
        match action {
            GuardAction::Start(order) => {
                self.accept(order.token)?;
                self.renew(at, order.until);
                self.run = Some((order.task, order.run));
                let done = Answer::Done(clock, ());
                self.answer(GuardInput::Started(order.incarnation, order.run, done))
            }
            GuardAction::Stop(order) => {
                self.accept(order.token)?;
                self.run.take_if(|(_, run)| *run == order.run);
                let done = Answer::Done(clock, ());
                self.answer(GuardInput::Stopped(order.incarnation, order.run, done))
            }
            GuardAction::List(order) => {
                self.accept(order.token)?;
                if let Some(until) = order.until {
                    self.renew(at, until);
                }
                (self.answering == Answering::All).then(|| self.list(at, order))
            }
            GuardAction::Send(..) | GuardAction::Record(_) => None,
        }
    }

    fn answer(&self, input: GuardInput) -> Option<GuardInput> {
        (self.answering != Answering::Nothing).then_some(input)
    }

    fn list(&self, at: Millis, order: ListOrder) -> GuardInput {
        let clock = Duration::from_millis(at);
        let running = self.run.iter().filter(|_| self.is_at_work(at));
        let running = running.map(|(task, run)| ListedRun {
            task: task.clone(),
            run: *run,
            percent: 10,
        });
        let reply = ListReply {
            running: running.collect(),
            ended: Vec::new(),
        };
        let answer = if order.incarnation == INCARNATION {
            Answer::Done(clock, reply)
        } else {
            Answer::Refused(Some(clock), OrderFault::AnsweredBy(INCARNATION))
        };
        GuardInput::Listed(order.incarnation, order, answer)
    }

    fn accept(&mut self, token: FencingToken) -> Option<()> {
        (token >= self.token).then(|| self.token = token)
    }

    fn renew(&mut self, at: Millis, until: Duration) {
        let until = u64::try_from(until.as_millis()).unwrap();
        self.lease_until = self.lease_until.max(until.min(at + LONGEST_LEASE));
    }
}
