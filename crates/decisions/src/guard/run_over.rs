//! Evidence that a run is over.

use {
    crate::{
        guard::{
            ListReply, ListedEnd, OrderFault, RunEnd,
            endpoint_state::{EndpointState, ProcessState},
            run::{Phase, Run, RunKey},
        },
        timing::LAPSE_MARGIN,
    },
    chestnutrun_types::EndKind,
    std::time::Instant,
};

/// Evidence that a run does not work at the endpoint and will not begin there, and how it
/// ended.
///
/// Each function here derives it from one kind of proof, and nothing else ends a run. An order
/// without an answer proves nothing, nor does a message that names no incarnation, nor a lease
/// on the clock of another incarnation.
#[derive(Debug)]
pub(crate) struct RunOver {
    key: RunKey,
    kind: EndKind,
}

impl RunOver {
    /// No start was sent.
    pub(crate) fn not_sent(run: &Run) -> Option<Self> {
        (!run.is_at_endpoint()).then(|| Self::new(run, EndKind::NotStarted))
    }

    /// The only start that was sent was refused, for a reason that does not pass.
    pub(crate) fn refused(run: &Run, fault: OrderFault) -> Option<Self> {
        let kind = match fault {
            OrderFault::Unhealthy | OrderFault::Unreachable | OrderFault::OtherIncarnation => {
                EndKind::NotStarted
            }
            OrderFault::Invalid => EndKind::Failed,
            OrderFault::StaleToken
            | OrderFault::OldRun
            | OrderFault::LeaseOver
            | OrderFault::NoRoom
            | OrderFault::AnsweredBy(_) => return None,
        };
        (run.phase == Phase::Starting).then(|| Self::new(run, kind))
    }

    /// The incarnation that has the run lists its end.
    pub(crate) fn listed(run: &Run, end: &ListedEnd) -> Option<Self> {
        let kind = match end.how {
            RunEnd::Done => EndKind::Done,
            RunEnd::Failed => EndKind::Failed,
            // A listed run has begun, even if the answer of its start is still missing.
            RunEnd::Stopped | RunEnd::Lapsed if run.end_kind == EndKind::NotStarted => {
                EndKind::Stopped
            }
            RunEnd::Stopped | RunEnd::Lapsed => run.end_kind,
        };
        (run.number == end.run).then(|| Self::new(run, kind))
    }

    /// A list does not show the run, and was requested after the run's last known progress or
    /// its answered stop. The incarnation that lists has answered the start or the stop.
    pub(crate) fn unlisted(run: &Run, requested_at: Instant, reply: &ListReply) -> Option<Self> {
        let known_at = match run.phase {
            Phase::StopAnswered(at) => Some(at),
            Phase::Running => run.progressed_at,
            Phase::Waiting(_) | Phase::Starting | Phase::Stopping => None,
        };
        let is_listed = reply.running.iter().any(|listed| listed.run == run.number);
        let is_over = known_at.is_some_and(|at| at < requested_at) && !is_listed;
        is_over.then(|| Self::new(run, run.end_kind))
    }

    /// Every lease that the endpoint may have granted is over, and a margin. Where nobody
    /// confirmed the start, a later incarnation may have taken it, unless none is there.
    pub(crate) fn lapsed(run: &Run, now: Instant, endpoint: &EndpointState) -> Option<Self> {
        let is_of_known = run.is_confirmed() || endpoint.process == ProcessState::Unreachable;
        let end = if is_of_known {
            endpoint.clock.leases_end_at()
        } else {
            endpoint.clock.leases_end_at_any()
        };
        let is_over = end.is_some_and(|at| at + LAPSE_MARGIN < now);
        (run.is_at_endpoint() && is_over).then(|| Self::new(run, EndKind::Stopped))
    }

    /// Another endpoint answers at the address, so that the process which had the run ended.
    pub(crate) fn process_ended(run: &Run, process: ProcessState) -> Option<Self> {
        let is_over = process == ProcessState::Superseded;
        is_over.then(|| Self::new(run, EndKind::Stopped))
    }

    /// Returns how the run ended.
    pub(crate) fn kind(&self) -> EndKind {
        self.kind
    }

    /// Returns the run, and how it ended.
    pub(crate) fn into_parts(self) -> (RunKey, EndKind) {
        (self.key, self.kind)
    }

    fn new(run: &Run, kind: EndKind) -> Self {
        Self {
            key: run.key.clone(),
            kind,
        }
    }
}
