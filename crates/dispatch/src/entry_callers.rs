//! Callers' events at an entry.

use {
    crate::{CallerEvent, EntryLoop, entry_shutdown::QUIET_BEFORE_EXIT},
    chestnutrun_decisions::placement::DispatchInput,
    chestnutrun_observe::as_u64,
    chestnutrun_types::{DecisionEvent, Now},
};

impl EntryLoop {
    pub(crate) fn handle_caller_event(&mut self, event: CallerEvent) {
        // Sending a reply fails if the handler that requested it was dropped.
        match event {
            CallerEvent::Submit(mut submission, reply) => {
                if let Some(shutdown) = &mut self.shutdown {
                    shutdown.quiet_at = Now::read().instant + QUIET_BEFORE_EXIT;
                    submission.deadline = submission.deadline.min(shutdown.answer_by);
                }
                self.callers.insert(submission.caller, reply);
                self.handle_input(DispatchInput::Submit(submission));
            }
            CallerEvent::Disconnected(caller) => {
                if self.callers.swap_remove(&caller).is_some() {
                    self.handle_input(DispatchInput::CallerDisconnected(caller));
                }
            }
            CallerEvent::Cancel(job, reply) => {
                let held = self.dispatcher.jobs();
                self.handle_input(DispatchInput::Cancel(job));
                let _ = reply.send(self.dispatcher.jobs() < held);
            }
            CallerEvent::RouteNotFound(host, path) => {
                let routing_version = self.routing.version();
                let event = DecisionEvent::RouteNotFound {
                    host,
                    path,
                    routing_version,
                };
                self.recorder.record(Now::read(), event);
            }
            CallerEvent::CountWaiting(service, reply) => {
                let _ = reply.send(self.dispatcher.waiting(&service));
            }
            CallerEvent::IsReady(reply) => {
                let _ = reply.send(self.is_ready());
            }
            CallerEvent::Metrics(reply) => {
                let gauges = [
                    ("jobs-held", as_u64(self.dispatcher.jobs())),
                    ("endpoints", as_u64(self.dispatcher.endpoints())),
                    ("agent-links", as_u64(self.peers.agent_count())),
                    ("entry-links", as_u64(self.peers.entry_count())),
                    ("entries-known", as_u64(self.overlay.known_entries())),
                    ("routing-version", self.routing.version()),
                    ("routing-age-seconds", self.routing.age().as_secs()),
                ];
                let gauges = [&gauges[..], &self.evacuation_gauges()].concat();
                let text = self
                    .recorder
                    .metrics_text(&gauges, &self.directory.call_counts());
                let _ = reply.send(text);
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.shutdown.is_none() && self.routing.version() > 0 && self.dispatcher.has_endpoints()
    }
}
