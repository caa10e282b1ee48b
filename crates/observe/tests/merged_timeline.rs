//! The merged timeline of several processes: causes, order and output formats.

use {
    chestnutrun_observe::{
        Event, EventKind, Timeline,
        merged_timeline::{CausedEvent, EventFilter, event_line, order, trace_file},
    },
    chestnutrun_types::{JobRef, TaskRef},
    rstest::rstest,
    std::time::{Duration, SystemTime},
};

fn at(milliseconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(milliseconds)
}

fn job() -> JobRef {
    JobRef {
        contract: "letters".into(),
        key: "k1".into(),
    }
}

fn task() -> TaskRef {
    job().task(0)
}

/// Returns the events of one task that was submitted to one entry and owned by
/// another. The agent's clock is `skew` milliseconds fast, or slow if negative.
fn events_of_one_task(skew: i64) -> Vec<Event> {
    let mut entry = Timeline::new("entry-1");
    let mut owner = Timeline::new("entry-0");
    let mut agent = Timeline::new("agent-0");
    let endpoint = "endpoint-0".into();
    let skewed = |ms: i64| at(u64::try_from(10_000 + ms + skew).expect("after the epoch"));
    let exact = |ms: u64| at(10_000 + ms);
    entry.add_job_event(exact(0), EventKind::Submitted, &job(), "");
    owner.add_job_event(exact(1), EventKind::Admitted, &job(), "");
    owner.add_task_event(exact(2), EventKind::StartSent, &task(), &endpoint, "");
    agent.add_task_event(skewed(3), EventKind::Started, &task(), &endpoint, "");
    agent.add_task_event(skewed(4), EventKind::Ended, &task(), &endpoint, "completed");
    entry.add_job_event(exact(5), EventKind::Answered, &job(), "answered");
    [entry, owner, agent]
        .iter()
        .flat_map(|timeline| timeline.events().cloned().collect::<Vec<_>>())
        .collect()
}

fn kinds(events: &[CausedEvent]) -> Vec<EventKind> {
    events.iter().map(|caused| caused.event.kind).collect()
}

#[rstest]
#[case::true_clock(0)]
#[case::fast_clock(5_000)]
#[case::slow_clock(-5_000)]
fn a_cause_stands_before_its_effect_despite_clock_skew(#[case] skew: i64) {
    use EventKind as K;
    let events = order(events_of_one_task(skew));
    let expected = [
        K::Submitted,
        K::Admitted,
        K::StartSent,
        K::Started,
        K::Ended,
        K::Answered,
    ];
    assert_eq!(kinds(&events), expected);
    for pair in events.windows(2) {
        let cause = pair[1].cause.as_ref().expect("later events have causes");
        assert_eq!(cause.process, pair[0].event.process);
        assert_eq!(cause.sequence, pair[0].event.sequence);
    }
}

#[rstest]
fn events_without_a_cause_are_ordered_by_time() {
    let mut a = Timeline::new("a");
    let mut b = Timeline::new("b");
    a.add_process_event(at(1), EventKind::LinkUp, "b");
    b.add_process_event(at(2), EventKind::LinkUp, "a");
    a.add_process_event(at(3), EventKind::Leaving, "");
    let events = order(b.events().chain(a.events()).cloned());
    let times: Vec<SystemTime> = events.iter().map(|caused| caused.event.at).collect();
    assert_eq!(times, [at(1), at(2), at(3)]);
}

#[rstest]
fn a_start_after_a_refusal_is_caused_by_the_refusal() {
    use EventKind as K;
    let mut owner = Timeline::new("entry-0");
    let mut agent = Timeline::new("agent-0");
    owner.add_job_event(at(1), K::Admitted, &job(), "");
    owner.add_task_event(at(2), K::StartSent, &task(), &"e-0".into(), "");
    agent.add_task_event(at(3), K::StartRefused, &task(), &"e-0".into(), "no-slot");
    owner.add_task_event(at(4), K::StartSent, &task(), &"e-1".into(), "");
    let events = order(owner.events().chain(agent.events()).cloned());
    let last = events.last().expect("there are events");
    let cause = last.cause.as_ref().expect("the second start has a cause");
    assert_eq!((&*cause.process, cause.sequence), ("agent-0", 1));
}

#[rstest]
#[case::all(EventFilter::builder().build(), 6)]
#[case::contract(EventFilter::builder().contract(Some("letters".into())).build(), 6)]
#[case::other_contract(EventFilter::builder().contract(Some("stamps".into())).build(), 0)]
#[case::job(EventFilter::builder().key(Some("k1".into())).build(), 6)]
#[case::endpoint(EventFilter::builder().endpoint(Some("endpoint-0".into())).build(), 3)]
#[case::since(EventFilter::builder().since(Some(at(10_004))).build(), 2)]
#[case::until(EventFilter::builder().until(Some(at(10_001))).build(), 1)]
fn a_filter_selects_events(#[case] filter: EventFilter, #[case] count: usize) {
    let selected = events_of_one_task(0)
        .iter()
        .filter(|e| filter.matches(e))
        .count();
    assert_eq!(selected, count);
}

#[rstest]
fn an_event_is_formatted_as_one_line() {
    let events = order(events_of_one_task(0));
    let line = event_line(&events[4], "00:00");
    let expected = "00:00 agent-0            2      ended         letters/k1#0 at endpoint-0 \
                    (completed) <- agent-0 1";
    assert_eq!(line, expected);
}

#[rstest]
fn a_trace_file_has_tracks_bars_and_arrows() {
    let file = trace_file(&order(events_of_one_task(0)));
    let events = file["traceEvents"]
        .as_array()
        .expect("the trace file has events");
    let count = |phase: &str| events.iter().filter(|e| e["ph"] == phase).count();
    assert_eq!(count("M"), 3, "a track for each process");
    assert_eq!(count("i"), 6, "a mark for each event");
    assert_eq!((count("b"), count("e")), (2, 2), "a bar for job and run");
    assert_eq!((count("s"), count("f")), (3, 3), "arrows between processes");
    let is_placed = |e: &serde_json::Value| e["pid"].is_u64() && e["ts"].is_u64();
    assert!(events.iter().all(is_placed));
}

#[rstest]
fn a_full_timeline_keeps_the_newest_events() {
    let mut timeline = Timeline::new("a");
    for _ in 0..20_000 {
        timeline.add_process_event(at(1), EventKind::LinkUp, "b");
    }
    assert_eq!(timeline.events().count(), 16_384);
    assert_eq!(timeline.events().last().map(|e| e.sequence), Some(20_000));
}

#[rstest]
fn an_event_read_back_from_json_is_unchanged() {
    for event in events_of_one_task(0) {
        let text = serde_json::to_string(&event).expect("events are serialised");
        let read: Event = serde_json::from_str(&text).expect("events are read");
        assert_eq!(read, event);
    }
}
