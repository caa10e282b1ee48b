//! Bounds the links whose peer has not proved yet that it belongs to the site.

use {
    crate::{ClosingCause, closings::Closings},
    chestnutrun_decisions::intake::{ConnectionId, Handshakes},
    indexmap::IndexMap,
    std::{
        cell::{Cell, RefCell},
        fmt,
        rc::Rc,
    },
    tokio::sync::oneshot,
};

/// Accepted links that are not open yet; clones share them.
#[derive(Clone)]
pub struct LinkIntake(Rc<Shared>);

struct Shared {
    handshakes: RefCell<Handshakes>,
    /// Each resolves the receiver of a link that has to end.
    yielding: RefCell<IndexMap<ConnectionId, oneshot::Sender<()>>>,
    last: Cell<ConnectionId>,
    closings: Closings,
}

impl fmt::Debug for LinkIntake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkIntake")
            .field("handshakes", &self.0.handshakes.borrow().len())
            .finish_non_exhaustive()
    }
}

impl LinkIntake {
    /// Creates the intake of a listener with at most so many links that are not open yet.
    #[must_use]
    pub fn new(most_handshakes: usize) -> Self {
        Self(Rc::new(Shared {
            handshakes: RefCell::new(Handshakes::new(most_handshakes)),
            yielding: RefCell::default(),
            last: Cell::new(0),
            closings: Closings::default(),
        }))
    }

    /// Returns the number of links that are not open yet, and how many of them were closed,
    /// by cause, as lines of metrics with the label `links`.
    #[must_use]
    pub fn metrics(&self) -> String {
        let handshakes = self.0.handshakes.borrow().len();
        format!(
            "chestnutrun_client_connections{{listener=\"links\"}} {handshakes}\n{}",
            self.0.closings.metrics("links")
        )
    }

    /// Adds a link; tells the one to end that yields its place.
    pub(crate) fn begin(&self) -> Handshake {
        let id = self.0.last.get() + 1;
        self.0.last.set(id);
        let (tx, yielded) = oneshot::channel();
        let mut yielding = self.0.yielding.borrow_mut();
        yielding.insert(id, tx);
        let oldest = self.0.handshakes.borrow_mut().begin(id);
        if let Some(tx) = oldest.and_then(|oldest| yielding.swap_remove(&oldest)) {
            self.0.closings.record(ClosingCause::NoPlace);
            // Sending fails if the link has just ended.
            let _ = tx.send(());
        }
        Handshake {
            intake: self.clone(),
            id,
            yielded,
        }
    }
}

/// A link whose peer has not proved yet that it belongs to the site.
pub(crate) struct Handshake {
    intake: LinkIntake,
    id: ConnectionId,
    yielded: oneshot::Receiver<()>,
}

impl Handshake {
    /// Waits until the link has to end for a newer one.
    pub(crate) async fn until_yielded(&mut self) {
        // The sender is dropped with this handshake only.
        let _ = (&mut self.yielded).await;
    }

    /// Ends the handshake; records it if it failed.
    pub(crate) fn close(self, is_open: bool) {
        let shared = &self.intake.0;
        shared.yielding.borrow_mut().swap_remove(&self.id);
        shared.handshakes.borrow_mut().end(self.id);
        if !is_open {
            shared.closings.record(ClosingCause::NoHandshake);
        }
    }
}
