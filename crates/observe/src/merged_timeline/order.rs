//! Orders the events of several processes by cause, then by time.

use {
    crate::{Event, ProcessId, Sequence, merged_timeline::causes::causes},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Identifies an event by its process and number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EventRef {
    /// Name of the process.
    pub process: ProcessId,
    /// Number of the event among those of the process.
    pub sequence: Sequence,
}

/// An event with a reference to its cause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CausedEvent {
    /// The event.
    #[serde(flatten)]
    pub event: Event,
    /// The event that caused it; none if that is unknown or was not collected.
    pub cause: Option<EventRef>,
}

/// Orders events by time, but puts a cause before its effects and keeps the order
/// of each process's own events, however much the clocks differ.
#[must_use]
pub fn order(events: impl IntoIterator<Item = Event>) -> Vec<CausedEvent> {
    let mut events: Vec<Event> = events.into_iter().collect();
    events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    let causes = causes(&events);
    let mut graph = EffectGraph::new(&events, &causes);
    let order = graph.drain_in_order();
    order
        .into_iter()
        .map(|position| CausedEvent {
            event: events[position].clone(),
            cause: causes[position].map(|cause| EventRef {
                process: events[cause].process.clone(),
                sequence: events[cause].sequence,
            }),
        })
        .collect()
}

fn sort_key(event: &Event) -> (std::time::SystemTime, &str, Sequence) {
    (event.at, &event.process, event.sequence)
}

/// Constraints on the order of events, which are identified by their positions.
struct EffectGraph {
    /// Events that must come after each event.
    effects: Vec<Vec<usize>>,
    /// Number of events not yet removed that must come before each event.
    pending_causes: Vec<usize>,
}

impl EffectGraph {
    fn new(events: &[Event], causes: &[Option<usize>]) -> Self {
        let mut graph = Self {
            effects: vec![Vec::new(); events.len()],
            pending_causes: vec![0; events.len()],
        };
        for (effect, cause) in causes.iter().enumerate() {
            if let Some(cause) = cause {
                graph.add(*cause, effect);
            }
        }
        for positions in by_process(events).values() {
            for pair in positions.windows(2) {
                graph.add(pair[0], pair[1]);
            }
        }
        graph
    }

    fn add(&mut self, cause: usize, effect: usize) {
        self.effects[cause].push(effect);
        self.pending_causes[effect] += 1;
    }

    /// Removes all events one by one, each time the first by position whose causes
    /// are all removed, and returns their positions in this order.
    fn drain_in_order(&mut self) -> Vec<usize> {
        let mut order = Vec::with_capacity(self.effects.len());
        let has_no_cause = |(_, pending): &(usize, &usize)| **pending == 0;
        let ready = self.pending_causes.iter().enumerate().filter(has_no_cause);
        let mut ready: BinaryHeap<Reverse<usize>> = ready.map(|(i, _)| Reverse(i)).collect();
        while let Some(Reverse(position)) = ready.pop() {
            order.push(position);
            for effect in std::mem::take(&mut self.effects[position]) {
                self.pending_causes[effect] -= 1;
                if self.pending_causes[effect] == 0 {
                    ready.push(Reverse(effect));
                }
            }
        }
        // A clock that jumps can make causes circular; those events are appended by time.
        order.extend((0..self.pending_causes.len()).filter(|i| self.pending_causes[*i] > 0));
        order
    }
}

fn by_process(events: &[Event]) -> IndexMap<&str, Vec<usize>> {
    let mut by_process: IndexMap<&str, Vec<usize>> = IndexMap::new();
    for (position, event) in events.iter().enumerate() {
        by_process.entry(&event.process).or_default().push(position);
    }
    for positions in by_process.values_mut() {
        positions.sort_by_key(|position| events[*position].sequence);
    }
    by_process
}
