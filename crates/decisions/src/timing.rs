//! Time limits that several state machines share.

use std::time::Duration;

/// How long the confirmation of a shard's ownership is valid at an agent,
/// counted from the agent's request.
pub const OWNERSHIP_LEASE: Duration = Duration::from_secs(2);

/// Added to a wait for a lease that another worker's clock measures, since
/// clocks run at different rates.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(100);

/// How often an agent asks for the confirmation of a shard's ownership.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// How long records of starts and answers are kept for resubmitted jobs.
pub const RECORD_WINDOW: Duration = Duration::from_mins(10);

/// How long an owner waits for a disconnected agent to return before it counts
/// the tasks that were started there as lost.
pub const AGENT_LOST_AFTER: Duration = Duration::from_secs(10);

/// How long an agent counts an entry as alive, from the moment when the agent sent
/// the last probe that the entry answered.
///
/// A caller whose connection broke submits again 1,300 ms later at the
/// earliest; by then the tasks of a dead entry must have been stopped.
pub const ENTRY_PROOF_LIMIT: Duration = Duration::from_millis(600);

/// How long the lease of an endpoint's runs lasts. The sum of this lease and
/// [`ENTRY_PROOF_LIMIT`] is less than the 1,300 ms after which a caller submits
/// again.
pub const RUN_LEASE: Duration = Duration::from_millis(650);

/// How long after the end of its lease a run may still work: the timers of an endpoint fire
/// late.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(25);

/// How long after an endpoint's last answer its agent still renews the lease
/// and starts tasks there: one long poll of an idle endpoint and a margin.
pub const ENDPOINT_SILENCE_LIMIT: Duration = Duration::from_millis(650);

/// How long an endpoint may take to answer an order, beyond the wait that a list
/// order asks for. A round trip on the worker takes about a millisecond,
/// but a CPU quota per 100 ms period can suspend a worker for most of a period.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest wait of a long poll for ended runs while something runs: three such
/// list orders fit into [`RUN_LEASE`].
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(150);

/// Longest wait of a long poll while nothing runs. A start brings its own
/// lease, and the next list order must arrive before that lease ends.
pub const IDLE_LONG_POLL_WAIT: Duration = Duration::from_millis(400);

/// Time from the newest list order to the next immediate list while something
/// runs. If the newest order or its answer was lost, the agent would otherwise
/// learn of ended runs only after the timeout. Under load a run ends every
/// 10 ms.
pub const IMMEDIATE_LIST_AFTER: Duration = Duration::from_millis(55);

/// Shortest time between two updates to an entry that report free room but no
/// ended task: about ten round trips between availability zones.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(60);

/// Counterpart of [`REPORT_INTERVAL`] for an entry of another availability zone, which
/// uses the endpoint only if those of its own zone are full.
pub const OTHER_ZONE_REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Counterpart of [`REPORT_INTERVAL`] while at least half of the endpoint is free
/// and was so at the last report: the entry places tasks there anyway.
pub const AMPLE_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which assigned tasks may wait at an agent. It is half of
/// [`REPORT_INTERVAL`]: by then, reports have told of room at about half of the other
/// endpoints.
pub const MAX_WAIT_AT_AGENT: Duration = Duration::from_millis(30);

/// Shortest time without progress after which a run is stopped: three long polls, whose
/// answers show the progress.
pub const STALL_LIMIT: Duration = Duration::from_millis(500);

/// Part of a run's expected time without progress after which the run is stopped. An
/// endpoint shows progress in percent, and one that is five times as slow as expected shows
/// a percent in a twentieth of the expected time.
pub const STALL_DIVISOR: u32 = 20;

/// Pause after an endpoint refused an order before the next order of the same
/// kind: an endpoint without a listener refuses at once, and each connection
/// has a cost.
pub const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// Shortest time from an order whose connection broke to the next order of the
/// same kind: several round trips, and so short that an endpoint that breaks
/// some of its connections keeps most of its work.
pub const BROKEN_CONNECTION_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a failed run at an endpoint that fails nearly all runs, before the
/// endpoint gets another task, whose caller is likely to wait for a second run.
pub const FAILING_PAUSE: Duration = Duration::from_millis(250);

/// Pause after an endpoint refused a start for lack of room before the next
/// start there.
pub const NO_ROOM_PAUSE: Duration = Duration::from_millis(20);

/// Step by which an agent raises fencing tokens or run numbers after the
/// endpoint reported a higher one. Both begin at a clock reading in
/// milliseconds, and the step exceeds the adjustments of a worker's clock.
pub const NUMBER_STEP: u64 = 10_000;

/// How long runs may go on after their entry lost the link to the agent.
///
/// The agent may count the entry as alive for [`ENTRY_PROOF_LIMIT`], renew the
/// lease and die; then [`RUN_LEASE`] lapses on a clock that may be 2% slow.
pub const LOST_AGENT_RUNS_END_AFTER: Duration = Duration::from_millis(600 + 650 + 150);

/// Converts a duration to the whole milliseconds that log records hold.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
