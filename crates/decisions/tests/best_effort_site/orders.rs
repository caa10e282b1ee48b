//! Delivery of agents' messages and of their orders to endpoints.

use {
    super::{
        Site,
        events::{Event, Input, Node, Order},
        site::{delay, entry_number},
    },
    chestnutrun_decisions::guard::{Answer, GuardAction, GuardInput},
    rand::RngExt,
    std::time::Instant,
};

/// Share of the orders that get lost while half of them stay unanswered.
const LOST_SHARE: f64 = 0.25;

/// Share of the others that are carried out without an answer.
const UNANSWERED_SHARE: f64 = 1.0 / 3.0;

impl Site {
    pub(super) fn agent_action(&mut self, number: usize, action: GuardAction) {
        self.trace(&(Node::Agent(number), &action));
        match action {
            GuardAction::Record(_) => {}
            GuardAction::Send(entry, message) => {
                let entry = entry_number(&entry);
                let link = self.links[number][entry];
                if link.is_open {
                    let delay = delay(number, entry);
                    let input = Input::FromAgent(number, link.generation, message);
                    self.send_input(Node::Entry(entry), delay, input);
                }
            }
            GuardAction::Start(order) => {
                let unknown = GuardInput::Started(order.incarnation, order.run, Answer::Unknown);
                let answer_by = order.answer_by;
                self.send_order(number, unknown, answer_by, |id| Order::Start(id, order));
            }
            GuardAction::Stop(order) => {
                let unknown = GuardInput::Stopped(order.incarnation, order.run, Answer::Unknown);
                let answer_by = order.answer_by;
                self.send_order(number, unknown, answer_by, |id| Order::Stop(id, order));
            }
            GuardAction::List(order) => {
                let unknown = GuardInput::Listed(order.incarnation, order.clone(), Answer::Unknown);
                let wait = u64::try_from(order.wait.as_millis()).unwrap();
                let (answer_by, until) = (order.answer_by, self.at + wait);
                self.send_order(number, unknown, answer_by, |id| {
                    Order::List(id, order, until)
                });
            }
        }
    }

    pub(super) fn send_order(
        &mut self,
        number: usize,
        unknown: GuardInput,
        answer_by: Instant,
        order: impl FnOnce(u64) -> Order,
    ) {
        let id = self.next_order;
        self.next_order += 1;
        let run = self.agents[number].run;
        self.agents[number].orders.insert(id, unknown);
        let timeout = answer_by.saturating_duration_since(self.now(self.at).instant);
        let timeout = u64::try_from(timeout.as_millis()).unwrap();
        self.schedule(timeout, Event::OrderTimesOut(number, run, id));
        let (delay, is_answered) = if self.rng.random_bool(self.late_share) {
            (self.rng.random_range(2_000..6_000), false)
        } else {
            let is_answered = !self.rng.random_bool(self.lost_share);
            (self.rng.random_range(0..3), is_answered)
        };
        let Some(rng) = &mut self.restarts else {
            self.schedule(delay, Event::Order(number, run, order(id), is_answered));
            return;
        };
        let is_half_answered = self.at < self.half_answered_until;
        let is_lost = is_half_answered && rng.random_bool(LOST_SHARE);
        let is_answered = is_answered && !(is_half_answered && rng.random_bool(UNANSWERED_SHARE));
        if !is_lost {
            self.schedule(delay, Event::Order(number, run, order(id), is_answered));
        }
    }

    pub(super) fn order_times_out(&mut self, number: usize, run: u64, id: u64) {
        if self.agents[number].run != run {
            return;
        }
        if let Some(unknown) = self.agents[number].orders.get(&id).cloned() {
            let input = Input::Answered(id, unknown);
            self.schedule(0, Event::Process(Node::Agent(number), run, input));
        }
    }

    /// Delivers an order to the endpoint, even if the agent's run has ended.
    pub(super) fn deliver_order(
        &mut self,
        number: usize,
        run: u64,
        order: Order,
        is_answered: bool,
    ) {
        self.trace(&("order", number, &order, is_answered));
        let at = self.at;
        let endpoint = &mut self.endpoints[number];
        if !endpoint.is_up {
            return;
        }
        let judge = &mut self.judge;
        let (id, answer) = match order {
            Order::Start(id, order) => {
                let work = self.work.get(&order.task.job).copied().unwrap_or(1);
                let answer = endpoint.start(at, &order, work, judge);
                (
                    id,
                    GuardInput::Started(order.incarnation, order.run, answer),
                )
            }
            Order::Stop(id, order) => {
                let takes = self.rng.random_range(0..50);
                let answer = endpoint.stop(at, &order, takes, judge);
                (
                    id,
                    GuardInput::Stopped(order.incarnation, order.run, answer),
                )
            }
            Order::List(id, order, until) => {
                endpoint.advance(at, judge);
                if at < until && !endpoint.has_ends(&order) {
                    let again = Order::List(id, order, until);
                    self.schedule(5, Event::Order(number, run, again, is_answered));
                    return;
                }
                let answer = endpoint.list(at, &order, judge);
                (id, GuardInput::Listed(order.incarnation, order, answer))
            }
        };
        let is_mute = at < self.endpoints[number].mute_until;
        if is_answered && !is_mute && self.agents[number].run == run {
            let delay = self.rng.random_range(0..2);
            let input = Input::Answered(id, answer);
            self.schedule(delay, Event::Process(Node::Agent(number), run, input));
        }
    }
}
