//! The recent events of one process, in a ring buffer.

use {
    crate::{Event, EventKind, ProcessId, Sequence},
    chestnutrun_types::{EndpointId, JobRef, TaskRef},
    std::{borrow::Cow, collections::VecDeque, time::SystemTime},
};

/// Maximum number of events that a process keeps; older ones are dropped.
const MAX_EVENTS: usize = 16_384;

/// The recent events of one process.
///
/// Ids are reference-counted and shared with the message that contained them, so
/// that adding an event copies no string.
#[derive(Debug)]
pub struct Timeline {
    process: ProcessId,
    sequence: Sequence,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Creates an empty timeline.
    pub fn new(process: impl Into<ProcessId>) -> Self {
        Self {
            process: process.into(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Adds an event about the process itself.
    pub fn add_process_event(
        &mut self,
        at: SystemTime,
        kind: EventKind,
        detail: impl Into<Cow<'static, str>>,
    ) {
        let event = self.next_event(at, kind, detail);
        self.push(event);
    }

    /// Adds an event about a job.
    pub fn add_job_event(
        &mut self,
        at: SystemTime,
        kind: EventKind,
        job: &JobRef,
        detail: &'static str,
    ) {
        let mut event = self.next_event(at, kind, detail);
        event.contract = Some(job.contract.clone());
        event.key = Some(job.key.clone());
        self.push(event);
    }

    /// Adds an event about a task at an endpoint.
    pub fn add_task_event(
        &mut self,
        at: SystemTime,
        kind: EventKind,
        task: &TaskRef,
        endpoint: &EndpointId,
        detail: &'static str,
    ) {
        let mut event = self.next_event(at, kind, detail);
        event.contract = Some(task.contract.clone());
        event.key = Some(task.key.clone());
        event.task = Some(task.index);
        event.endpoint = Some(endpoint.clone());
        self.push(event);
    }

    /// Returns the events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Builds the next event, without adding it.
    fn next_event(
        &self,
        at: SystemTime,
        kind: EventKind,
        detail: impl Into<Cow<'static, str>>,
    ) -> Event {
        Event {
            sequence: self.sequence + 1,
            at,
            process: self.process.clone(),
            kind,
            contract: None,
            key: None,
            task: None,
            endpoint: None,
            detail: detail.into(),
        }
    }

    fn push(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.sequence = event.sequence;
        self.events.push_back(event);
    }
}
