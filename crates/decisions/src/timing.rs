//! Time limits that several machines must agree on.

use std::time::Duration;

/// How long an ownership stays valid at an agent after the agent asked for it.
pub const LEASE: Duration = Duration::from_secs(2);

/// Allowance for clocks of different workers that run at different rates.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// How often an agent asks for a confirmation of the ownership.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// How long starts and answers are kept for resubmissions.
pub const RECORD_WINDOW: Duration = Duration::from_mins(10);

/// How long an owner waits for an agent that went away before it gives up on
/// the tasks that were started there.
pub const AGENT_LOST_AFTER: Duration = Duration::from_secs(10);

/// How long an entry counts as alive after the moment for which it was proven.
///
/// A caller whose connection broke submits again 1,300 ms later at the
/// earliest; by then the tasks of a dead entry must have been stopped.
pub const ENTRY_PROOF_LIMIT: Duration = Duration::from_millis(600);

/// How long a lease of an endpoint's runs lasts: with the limit above, less
/// than the 1,300 ms after which a caller submits again.
pub const RUN_LEASE: Duration = Duration::from_millis(650);

/// How long an endpoint may go without an answer until its lease is no longer
/// renewed and nothing starts there: one order to list while nothing runs, and
/// a spare.
pub const ENDPOINT_SILENCE_LIMIT: Duration = Duration::from_millis(650);

/// How long an endpoint may take to answer an order: a round trip on the
/// worker takes about a millisecond, and a worker whose processor is a quota
/// of each tenth of a second may stand still for most of one.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(120);

/// The same for starts and stops, which are answered at once: half of what a job
/// of some 100 ms may be late, so that one whose start got lost is in time all
/// the same.
pub const START_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an endpoint may wait for an end before it lists what runs: three
/// orders within the lease.
pub const POLL_WAIT: Duration = Duration::from_millis(150);

/// The same while nothing runs; a start brings its own lease, and the next
/// order must come before that one is over.
pub const IDLE_POLL_WAIT: Duration = Duration::from_millis(400);

/// How long ago the newest order to list may have been sent while something
/// runs, until one that does not wait follows: the other one, or its answer, may
/// be lost, and ends would be known only after its time-out. Under load an end
/// comes every 10 ms.
pub const LOOK_AFTER: Duration = Duration::from_millis(40);

/// Shortest time between two reports of room to an entry that has no ended
/// task to hear of; about one round trip between availability zones times ten.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(15);

/// The same to an entry of another availability zone: bytes between zones are
/// paid for, and such an entry uses the endpoint only where its own are full.
pub const FAR_REPORT_INTERVAL: Duration = Duration::from_millis(45);

/// How long a run may show no progress: the longest tasks, of some 8 s, show
/// one percent every 80 ms.
pub const STALL_LIMIT: Duration = Duration::from_millis(500);

/// How long an order is put off after the endpoint refused one of its kind: an
/// endpoint without a listener refuses at once, and each connection is paid for.
pub const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Shortest time from an order whose connection broke to the next of its kind:
/// some round trips, so that an endpoint that breaks a part of its connections
/// keeps most of its work.
pub const BROKEN_PAUSE: Duration = Duration::from_millis(50);

/// How long an endpoint that fails nearly everything is left alone after a
/// failure: each costs a job some 60 ms, and the spells last seconds.
pub const FAILING_PAUSE: Duration = Duration::from_millis(250);

/// How long a start is put off after one was refused for want of room.
pub const NO_ROOM_PAUSE: Duration = Duration::from_millis(20);

/// Step by which numbers are raised after an endpoint knew a higher one: more
/// than a clock of a worker is stepped by, in milliseconds.
pub const NUMBER_STEP: u64 = 10_000;

/// How long after the loss of an agent's link its runs may go on: the agent
/// may live for the limit of proof without this entry, and then die and leave
/// a lease that lapses on a clock that is 2% slow.
pub const AGENT_SILENT_RUNS_END_AFTER: Duration = Duration::from_millis(600 + 650 + 150);

/// Returns whole milliseconds, as they are written down.
pub(crate) fn millis(of: Duration) -> u64 {
    u64::try_from(of.as_millis()).unwrap_or(u64::MAX)
}
