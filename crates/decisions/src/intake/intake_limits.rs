//! What a process may hold on behalf of its clients.

/// Most memory that one connection takes before its body is read, in bytes: the longest
/// head with the buffers that it is read into, pieces of a body that were received and
/// not taken yet, and the state of the connection.
pub const CONNECTION_BYTES: usize = 48 * 1024;

/// What a connection takes beside it where it is encrypted, in bytes: the longest message of
/// a handshake, and a record in each direction.
pub const TLS_BYTES: usize = 96 * 1024;

/// Part of the memory that connections may take; three eighths stay for the process's own
/// work, since what the allocator keeps counts too.
const CONNECTIONS_PART: (usize, usize) = (3, 8);

/// Part of the memory that bodies, and jobs made of them, may take.
const BODIES_PART: (usize, usize) = (1, 8);

/// Part of the sockets that connections of callers may take; what it and the two parts
/// below leave is for open links, the store and endpoints.
const CALLERS_PART: (usize, usize) = (5, 8);

/// Part of the sockets that a listener may take which few peers connect to.
const FEW_PART: (usize, usize) = (1, 8);

/// Part of the sockets that links may take before their peer has proved that it belongs
/// to the site.
const HANDSHAKES_PART: (usize, usize) = (1, 8);

/// Part of the memory that such links may take.
const HANDSHAKES_MEMORY_PART: (usize, usize) = (1, 8);

/// Most memory that such a link takes, in bytes: the longest head of its handshake.
const HANDSHAKE_BYTES: usize = 64 * 1024;

/// Longest body that may use the part of the budget kept for short ones, in bytes; four
/// times the longest ordinary submission.
pub const SHORT_BODY_BYTES: usize = 16 * 1024;

/// Part of the budget that is kept for short bodies.
const SHORT_PART: (usize, usize) = (1, 4);

/// Most connections of a listener that few peers connect to.
const FEW_CONNECTIONS: usize = 64;

/// Most bytes of bodies at such a listener.
const FEW_BYTES: usize = 2 << 20;

/// What a process may hold on behalf of its clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Most open connections.
    pub connections: usize,
    /// Most bytes of bodies and of what was made of them, over all connections.
    pub bytes: usize,
}

impl IntakeLimits {
    /// Derives the limits from the memory of the machine, in bytes, and from the sockets
    /// that the process may open. Each connection takes `connection_bytes` at most.
    #[must_use]
    pub fn of_machine(memory: usize, sockets: usize, connection_bytes: usize) -> Self {
        let by_memory = part(memory, CONNECTIONS_PART) / connection_bytes;
        Self {
            connections: by_memory.min(part(sockets, CALLERS_PART)).max(1),
            bytes: part(memory, BODIES_PART),
        }
    }

    /// Returns the limits of a listener that few peers connect to, none of them often, in
    /// a process that may open so many sockets.
    #[must_use]
    pub fn of_few(sockets: usize) -> Self {
        Self {
            connections: FEW_CONNECTIONS.min(part(sockets, FEW_PART)).max(1),
            bytes: FEW_BYTES,
        }
    }

    /// Returns the longest body that can be admitted, in bytes.
    #[must_use]
    pub fn longest_body(&self) -> usize {
        self.bytes - part(self.bytes, SHORT_PART)
    }

    /// Returns how many bytes may be held in total once a reservation of `total` bytes
    /// is granted.
    pub(super) fn ceiling(&self, total: usize) -> usize {
        if total <= SHORT_BODY_BYTES {
            self.bytes
        } else {
            self.longest_body()
        }
    }
}

/// Returns how many links may be open whose peer has not proved yet that it belongs to the
/// site, from the memory of the machine, in bytes, and the sockets that the process may
/// open.
#[must_use]
pub fn most_handshakes(memory: usize, sockets: usize) -> usize {
    let by_memory = part(memory, HANDSHAKES_MEMORY_PART) / HANDSHAKE_BYTES;
    by_memory.min(part(sockets, HANDSHAKES_PART)).max(1)
}

fn part(of: usize, (numerator, denominator): (usize, usize)) -> usize {
    of / denominator * numerator
}
