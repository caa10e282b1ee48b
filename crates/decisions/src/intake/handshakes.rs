//! Decides which link yields whose peer has not proved yet that it belongs to the site.

use {crate::intake::ConnectionId, indexmap::IndexSet};

/// Links whose peer has not proved yet that it belongs to the site.
#[derive(Clone, Debug)]
pub struct Handshakes {
    most: usize,
    /// In the order in which they began.
    open: IndexSet<ConnectionId>,
}

impl Handshakes {
    /// Creates the machine of a listener that holds at most so many of them, at least one.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            open: IndexSet::new(),
        }
    }

    /// Adds a link; returns the one that is closed for it, which began first.
    pub fn begin(&mut self, id: ConnectionId) -> Option<ConnectionId> {
        let oldest = self.open.first().copied();
        let yielding = oldest.filter(|_| self.open.len() >= self.most);
        if let Some(yielding) = yielding {
            self.open.shift_remove(&yielding);
        }
        self.open.insert(id);
        yielding
    }

    /// Removes a link that ended, or whose peer has proved that it belongs to the site.
    pub fn end(&mut self, id: ConnectionId) {
        self.open.shift_remove(&id);
    }

    /// Returns the number of such links.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether there is no such link.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
