//! Detects callers that stopped waiting.

use {crate::event::Event, chestnutrun_decisions::front::WaiterId, tokio::sync::mpsc::Sender};

/// A caller that waits for a reply. When the value is dropped, the loop learns that
/// the caller has its reply, disconnected or waited for the longest time allowed.
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    pub(crate) tx: Sender<Event>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        // If the queue is full, the loop forgets the caller when the reply arrives.
        let _ = self.tx.try_send(Event::Abandon(self.id));
    }
}
