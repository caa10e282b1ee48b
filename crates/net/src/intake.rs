//! Applies the decisions of [`Intake`] to the connections of HTTP listeners.

use {
    crate::{ClosingCause, closings::Closings, read_bound::ReadBound},
    chestnutrun_decisions::intake::{
        Admission, CONNECTION_BYTES, ConnectionId, Intake, IntakeAction, IntakeLimits,
    },
    chestnutrun_types::Now,
    indexmap::IndexMap,
    ntex::io::{Id, IoRef},
    std::{
        cell::{Cell, RefCell},
        fmt,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Limits of stand-ins, whose clients keep to the limits: those of 512 MB and 8,192 sockets.
const STANDIN_MEMORY_BYTES: usize = 512 << 20;
const STANDIN_SOCKETS: usize = 8_192;

/// Interval at which a new connection looks for one that yields its place.
const PLACE_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two checks for stalled bodies.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(10);

/// Connections of one or several listeners, and the bytes that are held for them; clones
/// share them.
#[derive(Clone)]
pub struct SharedIntake(Rc<Shared>);

struct Shared {
    machine: RefCell<Intake>,
    connections: RefCell<IndexMap<Id, Connection>>,
    last_connection: Cell<ConnectionId>,
    is_check_scheduled: Cell<bool>,
    /// Connections that close behind a response.
    yielding: Cell<usize>,
    place_freed: Notify,
    closings: Closings,
}

struct Connection {
    id: ConnectionId,
    io: IoRef,
    signal: Rc<BodySignal>,
    /// Whether it closes behind a response.
    is_yielding: Cell<bool>,
}

/// What the machine decided on the body of a connection.
#[derive(Default)]
pub(crate) struct BodySignal {
    pub(crate) is_refused: Cell<bool>,
    pub(crate) is_granted: Cell<bool>,
    pub(crate) changed: Notify,
}

impl fmt::Debug for SharedIntake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedIntake")
            .field("limits", &self.0.machine.borrow().limits())
            .finish_non_exhaustive()
    }
}

impl Default for SharedIntake {
    fn default() -> Self {
        Self::new(IntakeLimits::of_machine(
            STANDIN_MEMORY_BYTES,
            STANDIN_SOCKETS,
            CONNECTION_BYTES,
        ))
    }
}

impl SharedIntake {
    /// Creates the intake of listeners that share these limits.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Self {
        Self(Rc::new(Shared {
            machine: RefCell::new(Intake::new(limits)),
            connections: RefCell::default(),
            last_connection: Cell::new(0),
            is_check_scheduled: Cell::new(false),
            yielding: Cell::new(0),
            place_freed: Notify::new(),
            closings: Closings::default(),
        }))
    }

    /// Returns the longest body that can be admitted, in bytes.
    #[must_use]
    pub fn longest_body(&self) -> usize {
        self.0.machine.borrow().limits().longest_body()
    }

    /// Returns the open connections, the reserved bytes and the closings by cause, as
    /// lines of metrics with this label.
    #[must_use]
    pub fn metrics(&self, listener: &str) -> String {
        let (connections, bytes) = {
            let machine = self.0.machine.borrow();
            (machine.connections(), machine.reserved())
        };
        format!(
            "chestnutrun_client_connections{{listener=\"{listener}\"}} {connections}\n\
             chestnutrun_client_bytes{{listener=\"{listener}\"}} {bytes}\n{}",
            self.0.closings.metrics(listener)
        )
    }

    /// Counts a closed connection or a refused request.
    pub(crate) fn record(&self, cause: ClosingCause) {
        self.0.closings.record(cause);
    }

    /// Waits until a connection may be opened; closes one that made no progress if there
    /// is no place.
    pub(crate) async fn until_place(&self) {
        if self.0.machine.borrow().has_place() {
            return;
        }
        self.0.machine.borrow_mut().await_place();
        while !self.0.machine.borrow().has_place() {
            let action = self.0.machine.borrow_mut().make_place(Now::read().instant);
            if let Some(action) = action {
                self.record(ClosingCause::NoPlace);
                self.apply(action);
            }
            // Whether a place was freed is read again in either case.
            let _ = timeout(PLACE_INTERVAL, self.0.place_freed.notified()).await;
        }
        self.0.machine.borrow_mut().stop_awaiting();
    }

    /// Adds a connection and returns its number.
    pub(crate) fn open(&self, io: &IoRef) -> ConnectionId {
        let id = self.0.last_connection.get() + 1;
        self.0.last_connection.set(id);
        let mut machine = self.0.machine.borrow_mut();
        machine.open(id, Now::read().instant);
        let connection = Connection {
            id,
            io: io.clone(),
            signal: Rc::default(),
            is_yielding: Cell::new(false),
        };
        self.0.connections.borrow_mut().insert(io.id(), connection);
        io.register_filter_callbacks(ReadBound(self.clone()));
        id
    }

    /// Removes a connection that ended. The library may have given its id to a new one.
    pub(crate) fn close(&self, id: ConnectionId, io: Id) {
        let mut connections = self.0.connections.borrow_mut();
        if let Some(connection) = connections.get(&io).filter(|c| c.id == id) {
            let yielded = usize::from(connection.is_yielding.get());
            self.0.yielding.update(|yielding| yielding - yielded);
            connections.swap_remove(&io);
        }
        drop(connections);
        self.0.machine.borrow_mut().close(id);
        self.0.place_freed.notify_one();
        self.check();
    }

    /// Marks the request of a connection as in service, until the service is closed.
    #[must_use]
    pub fn begin(&self, io: Option<&IoRef>) -> RequestService {
        let connections = self.0.connections.borrow();
        let connection = io.and_then(|io| connections.get(&io.id()));
        if let Some(connection) = connection {
            connection.signal.is_granted.set(false);
            connection.signal.is_refused.set(false);
            self.0.machine.borrow_mut().begin(connection.id);
        }
        RequestService {
            intake: self.clone(),
            id: connection.map_or(0, |c| c.id),
            signal: connection.map_or_else(Rc::default, |c| c.signal.clone()),
        }
    }

    /// Returns whether a connection is closed behind a response, since a new one waits for
    /// its place.
    pub(crate) fn yields_after_response(&self, io: Option<&IoRef>) -> bool {
        let connections = self.0.connections.borrow();
        let connection = io.and_then(|io| connections.get(&io.id()));
        let Some(connection) = connection.filter(|c| !c.is_yielding.get()) else {
            return false;
        };
        let now = Now::read().instant;
        let mut machine = self.0.machine.borrow_mut();
        let yields = machine.yields_after_response(connection.id, now);
        if yields {
            connection.is_yielding.set(true);
            self.0.yielding.update(|yielding| yielding + 1);
            self.record(ClosingCause::NoPlace);
        }
        yields
    }

    /// Returns whether a connection closes behind a response that was sent, so that
    /// nothing which arrives on it is read any more.
    pub(crate) fn is_yielding(&self, io: Option<&IoRef>) -> bool {
        if self.0.yielding.get() == 0 {
            return false;
        }
        let connections = self.0.connections.borrow();
        let connection = io.and_then(|io| connections.get(&io.id()));
        connection.is_some_and(|connection| connection.is_yielding.get())
    }

    /// Carries out what is due, and schedules the next check while connections wait.
    fn check(&self) {
        if !self.0.machine.borrow().has_waiting() {
            return;
        }
        let actions = self.0.machine.borrow_mut().poll(Now::read().instant);
        for action in actions {
            self.apply(action);
        }
        let next = self.0.machine.borrow().next_check();
        let Some(at) = next.filter(|_| !self.0.is_check_scheduled.get()) else {
            return;
        };
        self.0.is_check_scheduled.set(true);
        let delay = at.saturating_duration_since(Now::read().instant);
        let this = self.clone();
        ntex::rt::spawn(async move {
            tokio::time::sleep(delay.max(MIN_CHECK_DELAY)).await;
            this.0.is_check_scheduled.set(false);
            this.check();
        });
    }

    fn apply(&self, action: IntakeAction) {
        let (IntakeAction::Grant(id) | IntakeAction::RefuseStalled(id) | IntakeAction::Close(id)) =
            action;
        let connections = self.0.connections.borrow();
        let Some(connection) = connections.values().find(|c| c.id == id) else {
            return;
        };
        match action {
            IntakeAction::Grant(_) => connection.signal.is_granted.set(true),
            IntakeAction::RefuseStalled(_) => connection.signal.is_refused.set(true),
            IntakeAction::Close(_) => {
                let io = connection.io.clone();
                drop(connections);
                io.terminate();
                return;
            }
        }
        connection.signal.changed.notify_one();
    }
}

/// A request in service.
pub struct RequestService {
    intake: SharedIntake,
    id: ConnectionId,
    pub(crate) signal: Rc<BodySignal>,
}

impl fmt::Debug for RequestService {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestService")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl RequestService {
    /// Ends the service; the response leaves next.
    pub fn close(self) {
        let now = Now::read().instant;
        self.intake.0.machine.borrow_mut().finish(self.id, now);
        self.intake.check();
    }

    /// Frees what is reserved for the body, and reserves the bytes of what was made of it
    /// until the service is closed. Returns false if there is no memory for them at the
    /// moment: the request has to be refused.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> bool {
        let is_held = self.intake.0.machine.borrow_mut().hold(self.id, bytes);
        if !is_held {
            self.record(ClosingCause::NoBytes);
        }
        self.intake.check();
        is_held
    }

    /// Frees what is reserved for the body.
    pub(crate) fn release_body(&self) {
        self.intake.0.machine.borrow_mut().end_body(self.id);
        self.intake.check();
    }

    pub(crate) fn begin_body(&self, declared: Option<usize>, longest: usize) -> Admission {
        let now = Now::read().instant;
        let mut machine = self.intake.0.machine.borrow_mut();
        let admission = machine.begin_body(self.id, declared, longest, now);
        drop(machine);
        self.checked(admission)
    }

    /// Marks the request as one whose body is read and dropped, which needs no bytes.
    pub(crate) fn begin_discard(&self) {
        let now = Now::read().instant;
        let mut machine = self.intake.0.machine.borrow_mut();
        machine.begin_discard(self.id, now);
    }

    pub(crate) fn reserve(&self, total: usize) -> Admission {
        let now = Now::read().instant;
        let admission = self
            .intake
            .0
            .machine
            .borrow_mut()
            .reserve(self.id, total, now);
        self.checked(admission)
    }

    pub(crate) fn progress(&self) {
        let now = Now::read().instant;
        self.intake.0.machine.borrow_mut().progress(self.id, now);
    }

    pub(crate) fn record(&self, cause: ClosingCause) {
        self.intake.record(cause);
    }

    /// Schedules a check if the body has to wait.
    fn checked(&self, admission: Admission) -> Admission {
        if admission == Admission::Wait {
            self.signal.is_granted.set(false);
            self.intake.check();
        }
        admission
    }
}
