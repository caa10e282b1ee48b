//! Shutdown of an entry.

use {
    crate::EntryLoop,
    chestnutrun_decisions::placement::DispatchInput,
    chestnutrun_types::Now,
    std::time::{Duration, Instant},
};

/// How long an entry accepts connections after its shutdown began. The load
/// balancer removes the entry after two failed readiness checks, one second
/// apart.
const ACCEPT_DURING_SHUTDOWN: Duration = Duration::from_millis(2_500);

/// How long an entry in shutdown waits for another request on its open
/// connections after the last one.
pub(crate) const QUIET_BEFORE_EXIT: Duration = Duration::from_millis(400);

/// Part of the platform's grace period that is reserved for the exit of the
/// process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time reserved to send the last answers to callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Deadlines of a shutdown in progress.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// Time until which connections of callers are accepted.
    pub(crate) accept_until: Instant,
    /// Time from which the entry may exit unless another request arrives.
    pub(crate) quiet_at: Instant,
    /// Time by which every remaining job is answered.
    pub(crate) answer_by: Instant,
    /// Time at which the process exits at the latest.
    pub(crate) exit_by: Instant,
}

impl EntryLoop {
    pub(crate) fn is_done(&self) -> bool {
        let now = Now::read().instant;
        self.shutdown.as_ref().is_some_and(|shutdown| {
            let is_quiet = self.callers.is_empty() && shutdown.quiet_at <= now;
            shutdown.exit_by <= now || (is_quiet && shutdown.accept_until <= now)
        })
    }

    pub(crate) fn start_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let now = Now::read().instant;
        self.recorder.record_process("leaves", self.callers.len());
        self.caller_handle.start_closing();
        let answer_by = now + self.grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN);
        self.shutdown = Some(Shutdown {
            accept_until: now + ACCEPT_DURING_SHUTDOWN,
            quiet_at: now,
            answer_by,
            exit_by: answer_by + ANSWER_MARGIN,
        });
        self.handle_input(DispatchInput::AnswerAllBy(answer_by));
        ntex::rt::spawn(self.directory.deregister(self.me.clone()));
    }

    /// Stops accepting connections of callers once the load balancer has removed
    /// the entry.
    pub(crate) fn stop_accepting_if_due(&mut self, now: Instant) {
        let accept_until = self.shutdown.as_ref().map(|shutdown| shutdown.accept_until);
        if accept_until.is_some_and(|until| until <= now)
            && let Some(stop) = self.stop_accepting.take()
        {
            // Sending fails if the server for callers has already ended.
            let _ = stop.send(());
        }
    }
}
