//! Decides which connection may hold more bytes, which waits and which is closed.

use {
    super::{IntakeLimits, intake_limits::SHORT_BODY_BYTES},
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of a connection, unique within the process.
pub type ConnectionId = usize;

/// Time without progress after which a connection yields to one that waits. Longer than
/// a lost packet takes to be sent again.
const STALL_LIMIT: Duration = Duration::from_millis(250);

/// Whether a body may be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The bytes are reserved.
    Granted,
    /// Nothing more may be read until [`IntakeAction::Grant`].
    Wait,
    /// The budget can never hold the body.
    TooLong,
}

/// What the front end does on behalf of the machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeAction {
    /// The bytes for which the connection waited are reserved.
    Grant(ConnectionId),
    /// The body made no progress while others wait: refuse the request, which has not
    /// run.
    RefuseStalled(ConnectionId),
    /// Close the connection: it made no progress, and a new one waits for its place.
    Close(ConnectionId),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// A head or nothing arrives, or a response leaves.
    Open,
    /// A request was read and is in service.
    Serving,
    /// A body is read.
    Body,
    /// A body waits until `total` bytes are reserved for it.
    Waiting { total: usize },
    /// The connection was refused or closed and is about to end.
    Ending,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    stage: Stage,
    progress_at: Instant,
    reserved: usize,
}

impl Connection {
    /// Returns whether bytes are reserved for a body that is read.
    fn holds_body(&self) -> bool {
        self.stage == Stage::Body && self.reserved > 0
    }
}

/// The connections of a process and the bytes that are held for them.
#[derive(Clone, Debug)]
pub struct Intake {
    limits: IntakeLimits,
    connections: IndexMap<ConnectionId, Connection>,
    /// Connections that wait for bytes, in the order of arrival.
    waiting: VecDeque<ConnectionId>,
    reserved: usize,
    /// New connections that wait for a place.
    awaited_places: usize,
}

impl Intake {
    /// Creates the machine of a process without connections.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: IndexMap::new(),
            waiting: VecDeque::new(),
            reserved: 0,
            awaited_places: 0,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> IntakeLimits {
        self.limits
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the reserved bytes.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved
    }

    /// Returns whether a connection may be opened.
    #[must_use]
    pub fn has_place(&self) -> bool {
        self.connections.len() < self.limits.connections
    }

    /// Records that a new connection waits for a place. Until it has one, each connection
    /// whose request ends yields its place, however busy it is.
    pub fn await_place(&mut self) {
        self.awaited_places += 1;
    }

    /// Records that a new connection no longer waits for a place.
    pub fn stop_awaiting(&mut self) {
        self.awaited_places = self.awaited_places.saturating_sub(1);
    }

    /// Chooses the connection that yields its place to a new one: the one that made no
    /// progress for longest. None if all places are in service or made progress just now.
    pub fn make_place(&mut self, now: Instant) -> Option<IntakeAction> {
        let yields = |c: &Connection| matches!(c.stage, Stage::Open | Stage::Body | Stage::Ending);
        let id = self.longest_stalled(now, yields)?;
        let connection = self.connections.get_mut(&id)?;
        let stage = std::mem::replace(&mut connection.stage, Stage::Ending);
        connection.progress_at = now;
        Some(match stage {
            Stage::Body => IntakeAction::RefuseStalled(id),
            // A response that nobody reads keeps a connection open that was told to end.
            _ => IntakeAction::Close(id),
        })
    }

    /// Returns whether a connection is closed behind the response to its request, since a
    /// new connection waits for a place.
    pub fn yields_after_response(&mut self, id: ConnectionId, now: Instant) -> bool {
        if self.awaited_places == 0 {
            return false;
        }
        self.set_stage(id, Stage::Ending, now);
        true
    }

    /// Adds a connection.
    pub fn open(&mut self, id: ConnectionId, now: Instant) {
        let connection = Connection {
            stage: Stage::Open,
            progress_at: now,
            reserved: 0,
        };
        if let Some(earlier) = self.connections.insert(id, connection) {
            self.reserved -= earlier.reserved;
        }
    }

    /// Marks a request of a connection as in service.
    pub fn begin(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stage = Stage::Serving;
        }
    }

    /// Ends the service of a request, and frees what is reserved for it.
    pub fn finish(&mut self, id: ConnectionId, now: Instant) {
        self.stop_waiting(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            self.reserved -= std::mem::take(&mut connection.reserved);
            connection.stage = match connection.stage {
                Stage::Ending => Stage::Ending,
                _ => Stage::Open,
            };
            connection.progress_at = now;
        }
    }

    /// Begins to read a body of `declared` bytes, or of at most `longest` where no length
    /// is declared.
    pub fn begin_body(
        &mut self,
        id: ConnectionId,
        declared: Option<usize>,
        longest: usize,
        now: Instant,
    ) -> Admission {
        if declared.is_some_and(|bytes| bytes > longest) {
            return Admission::TooLong;
        }
        let total = declared.unwrap_or(SHORT_BODY_BYTES.min(longest));
        self.reserve(id, total, now)
    }

    /// Begins to read a body that is dropped, so that no bytes are reserved for it. Its
    /// connection yields like that of any other body.
    pub fn begin_discard(&mut self, id: ConnectionId, now: Instant) {
        let stage = self.connections.get(&id).map(|c| c.stage);
        if stage.is_some_and(|stage| stage != Stage::Ending) {
            self.set_stage(id, Stage::Body, now);
        }
    }

    /// Raises the reservation of a connection to `total` bytes.
    pub fn reserve(&mut self, id: ConnectionId, total: usize, now: Instant) -> Admission {
        if total > self.limits.ceiling(total) {
            return Admission::TooLong;
        }
        if self.grant(id, total) {
            self.set_stage(id, Stage::Body, now);
            return Admission::Granted;
        }
        self.set_stage(id, Stage::Waiting { total }, now);
        self.waiting.push_back(id);
        Admission::Wait
    }

    /// Records that bytes of a body arrived.
    pub fn progress(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.progress_at = now;
        }
    }

    /// Ends a body, or the wait for its bytes, and frees what is reserved for it.
    pub fn end_body(&mut self, id: ConnectionId) {
        self.stop_waiting(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            self.reserved -= std::mem::take(&mut connection.reserved);
            if connection.stage != Stage::Ending {
                connection.stage = Stage::Serving;
            }
        }
    }

    /// Ends a body, and reserves the bytes of what was made of it in its place until the
    /// request is finished. Returns false, and frees all, if the budget does not hold
    /// them.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize) -> bool {
        self.end_body(id);
        self.grant(id, bytes)
    }

    /// Removes a connection that ended.
    pub fn close(&mut self, id: ConnectionId) {
        self.stop_waiting(id);
        if let Some(connection) = self.connections.swap_remove(&id) {
            self.reserved -= connection.reserved;
        }
    }

    /// Returns whether connections wait for bytes, so that [`Intake::poll`] is due after
    /// bytes were freed.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Grants bytes to those that wait, in the order of arrival; short bodies also from
    /// the part kept for them. While some wait, the body without progress for longest is
    /// refused.
    pub fn poll(&mut self, now: Instant) -> Vec<IntakeAction> {
        let mut actions = Vec::new();
        if self.waiting.is_empty() {
            return actions;
        }
        let mut is_long_blocked = false;
        for id in std::mem::take(&mut self.waiting) {
            let Some(Stage::Waiting { total }) = self.connections.get(&id).map(|c| c.stage) else {
                continue;
            };
            let is_long = total > SHORT_BODY_BYTES;
            if !(is_long && is_long_blocked) && self.grant(id, total) {
                self.set_stage(id, Stage::Body, now);
                actions.push(IntakeAction::Grant(id));
            } else {
                is_long_blocked |= is_long;
                self.waiting.push_back(id);
            }
        }
        // A body that was refused frees its bytes soon, and perhaps enough of them.
        if !self.waiting.is_empty()
            && !self.is_freeing()
            && let Some(id) = self.longest_stalled(now, Connection::holds_body)
        {
            self.set_stage(id, Stage::Ending, now);
            actions.push(IntakeAction::RefuseStalled(id));
        }
        actions
    }

    /// Returns when [`Intake::poll`] may have something to do without another input.
    #[must_use]
    pub fn next_check(&self) -> Option<Instant> {
        if self.waiting.is_empty() || self.is_freeing() {
            return None;
        }
        let bodies = self.connections.values();
        let bodies = bodies.filter(|c| c.holds_body());
        bodies.map(|c| c.progress_at + STALL_LIMIT).min()
    }

    /// Reserves `total` bytes for a connection if the budget allows.
    fn grant(&mut self, id: ConnectionId, total: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let more = total.saturating_sub(connection.reserved);
        if self.reserved + more > self.limits.ceiling(total) {
            return false;
        }
        connection.reserved += more;
        self.reserved += more;
        true
    }

    /// Returns whether a connection that was refused still holds bytes.
    fn is_freeing(&self) -> bool {
        let mut connections = self.connections.values();
        connections.any(|c| c.stage == Stage::Ending && c.reserved > 0)
    }

    fn stop_waiting(&mut self, id: ConnectionId) {
        if !self.waiting.is_empty() {
            self.waiting.retain(|waiting| *waiting != id);
        }
    }

    fn set_stage(&mut self, id: ConnectionId, stage: Stage, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.stage = stage;
            connection.progress_at = now;
        }
    }

    /// Returns the connection without progress for longest among some, if it is over the
    /// limit.
    fn longest_stalled(
        &self,
        now: Instant,
        is_candidate: impl Fn(&Connection) -> bool,
    ) -> Option<ConnectionId> {
        let candidates = self.connections.iter();
        let candidates = candidates.filter(|(_, c)| is_candidate(c));
        let (id, oldest) = candidates.min_by_key(|(_, c)| c.progress_at)?;
        (oldest.progress_at + STALL_LIMIT <= now).then_some(*id)
    }
}
