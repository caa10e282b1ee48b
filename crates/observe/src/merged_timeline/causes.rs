//! Finds which event caused another, by the job, task and endpoint they share.

use {
    crate::{Event, EventKind},
    chestnutrun_types::{ContractId, EndpointId, IdempotencyKey, TaskIndex},
    indexmap::IndexMap,
};

type JobKey = (ContractId, IdempotencyKey);

/// Task and its endpoint, which is none for any endpoint; none for the whole job.
type TaskPlace = Option<(TaskIndex, Option<EndpointId>)>;

/// Positions of events by their kind and subject, oldest first.
type EventIndex = IndexMap<(EventKind, JobKey, TaskPlace), Vec<usize>>;

/// Returns for each event the position of its cause, or none if the cause is not known.
///
/// `events` must be ordered by time.
pub(super) fn causes(events: &[Event]) -> Vec<Option<usize>> {
    let index = index_events(events);
    events
        .iter()
        .enumerate()
        .map(|(effect, event)| cause(&index, events, effect, event))
        .collect()
}

fn index_events(events: &[Event]) -> EventIndex {
    let mut index = EventIndex::new();
    for (position, event) in events.iter().enumerate() {
        let Some(job) = job_key(event) else { continue };
        let at_endpoint = event.task.map(|task| (task, event.endpoint.clone()));
        let anywhere = event.task.map(|task| (task, None));
        let mut add = |place| {
            let subject = (event.kind, job.clone(), place);
            index.entry(subject).or_default().push(position);
        };
        add(None);
        if event.task.is_some() {
            add(at_endpoint);
            add(anywhere);
        }
    }
    index
}

/// Returns the position of the event that caused the one at `effect`.
fn cause(index: &EventIndex, events: &[Event], effect: usize, event: &Event) -> Option<usize> {
    use EventKind as K;
    let job = job_key(event)?;
    let at_endpoint = event.task.map(|task| (task, event.endpoint.clone()));
    let anywhere = event.task.map(|task| (task, None));
    let nearest = |kind, place: &TaskPlace| {
        let subject = (kind, job.clone(), place.clone());
        let positions = index.get(&subject)?;
        nearest(events, positions, effect)
    };
    match event.kind {
        K::Admitted | K::Refused => nearest(K::Submitted, &None),
        K::StartSent => only_earlier(effect, nearest(K::StartRefused, &anywhere))
            .or_else(|| nearest(K::Admitted, &None)),
        K::Started | K::StartRefused => nearest(K::StartSent, &at_endpoint),
        K::Ended => nearest(K::Started, &at_endpoint),
        K::Answered => nearest(K::Ended, &None).or_else(|| nearest(K::Admitted, &None)),
        K::Receipt => nearest(K::Admitted, &None),
        K::Declined => nearest(K::Refused, &None),
        _ => None,
    }
}

/// Returns the last candidate before the effect, preferably one of the same
/// process. If there is none, because the clocks of two processes differ, returns
/// the first candidate of another process after the effect.
fn nearest(events: &[Event], candidates: &[usize], effect: usize) -> Option<usize> {
    let before = candidates.partition_point(|candidate| *candidate < effect);
    let same_process = |candidate: &&usize| events[**candidate].process == events[effect].process;
    let earlier = &candidates[..before];
    let own = earlier.iter().rev().find(same_process);
    let other = || earlier.last();
    let later = || {
        candidates[before..]
            .iter()
            .find(|later| !same_process(later))
    };
    own.or_else(other).or_else(later).copied()
}

/// Returns the cause if it precedes the effect, else none.
fn only_earlier(effect: usize, cause: Option<usize>) -> Option<usize> {
    cause.filter(|cause| *cause < effect)
}

fn job_key(event: &Event) -> Option<JobKey> {
    Some((event.contract.clone()?, event.key.clone()?))
}
