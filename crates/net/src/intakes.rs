//! What the listeners of an entry may hold on behalf of their clients.

use {
    crate::{LinkIntake, SharedIntake},
    chestnutrun_decisions::intake::{CONNECTION_BYTES, IntakeLimits, TLS_BYTES, most_handshakes},
};

/// Intakes of an entry's listeners. Each kind of peer has one of its own, so that none can
/// take the connections of the others.
#[derive(Clone, Debug)]
pub struct Intakes {
    /// Connections of callers.
    pub callers: SharedIntake,
    /// Connections of operators and of the load balancer.
    pub pages: SharedIntake,
    /// Links that are not open yet.
    pub links: LinkIntake,
}

impl Intakes {
    /// Derives the limits from the memory of the machine, in bytes, and from the sockets
    /// that the process may open; connections of callers may be encrypted.
    #[must_use]
    pub fn of_machine(memory: usize, sockets: usize, is_encrypted: bool) -> Self {
        let tls_bytes = if is_encrypted { TLS_BYTES } else { 0 };
        let callers = IntakeLimits::of_machine(memory, sockets, CONNECTION_BYTES + tls_bytes);
        Self {
            callers: SharedIntake::new(callers),
            pages: SharedIntake::new(IntakeLimits::of_few(sockets)),
            links: LinkIntake::new(most_handshakes(memory, sockets)),
        }
    }

    /// Returns the open connections, the reserved bytes and the closings by cause of all
    /// listeners, as lines of metrics.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.callers.metrics("callers") + &self.pages.metrics("pages") + &self.links.metrics()
    }
}
