//! Carries out the actions of an agent's guard.

use {
    crate::{AgentEvent, AgentLoop},
    chestnutrun_decisions::guard::{GuardAction, GuardInput, GuardMessage},
    chestnutrun_protocol::Message,
    chestnutrun_types::Now,
};

impl AgentLoop {
    pub(crate) fn run_action(&mut self, action: GuardAction) {
        match action {
            GuardAction::Record(event) => self.recorder.record(Now::read(), event),
            GuardAction::Send(entry, message) => {
                if let Some(id) = self.link_by_entry.get(&entry) {
                    self.send(*id, to_wire(message));
                }
            }
            GuardAction::Start(order) => {
                let (endpoint, run) = (order.incarnation, order.run);
                let answer = self.orders.start(order);
                self.forward_answer(
                    async move { GuardInput::Started(endpoint, run, answer.await) },
                );
            }
            GuardAction::Stop(order) => {
                let (endpoint, run) = (order.incarnation, order.run);
                let answer = self.orders.stop(order);
                self.forward_answer(
                    async move { GuardInput::Stopped(endpoint, run, answer.await) },
                );
            }
            GuardAction::List(order) => {
                let answer = self.orders.list(order.clone());
                self.forward_answer(async move {
                    GuardInput::Listed(order.incarnation, order, answer.await)
                });
            }
        }
    }

    /// Waits for an answer in a task of its own and sends it to the loop.
    fn forward_answer(&self, answer: impl Future<Output = GuardInput> + 'static) {
        let events = self.events.clone();
        ntex::rt::spawn(async move {
            let event = AgentEvent::Answered(answer.await);
            // Sending fails only when the process ends.
            let _ = events.send(event).await;
        });
    }
}

fn to_wire(message: GuardMessage) -> Message {
    match message {
        GuardMessage::Resync(resync) => Message::Resync(resync),
        GuardMessage::Endpoint(info) => Message::Endpoint(info),
        GuardMessage::Update(update) => Message::Update(update),
    }
}
