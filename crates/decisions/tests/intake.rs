//! Tests of who gets bytes and places of a process whose clients keep to no limits: over
//! arrivals, stalls and closings the budget is never exceeded, nobody waits for ever, and
//! an ordinary request after the crowd gets its bytes.

use {
    chestnutrun_decisions::intake::{
        Admission, ConnectionId, Handshakes, Intake, IntakeAction, IntakeLimits,
    },
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const LIMITS: IntakeLimits = IntakeLimits {
    connections: 6,
    bytes: 400_000,
};

/// Longest body of the tests, which fits the part of the budget that is not kept for
/// short ones.
const LONGEST: usize = 262_144;

/// An ordinary body.
const ORDINARY: usize = 1_000;

const STEP: Duration = Duration::from_millis(100);

/// Steps in which whoever waits has to be served: each stalled body yields in turn.
const MAX_STEPS: usize = 50;

/// Does what a front end does: a refused request ends, a closed connection is removed.
fn carry_out(intake: &mut Intake, actions: Vec<IntakeAction>, now: Instant) {
    for action in actions {
        match action {
            IntakeAction::Grant(_) => {}
            IntakeAction::RefuseStalled(id) => {
                intake.finish(id, now);
                intake.close(id);
            }
            IntakeAction::Close(id) => intake.close(id),
        }
    }
}

/// Opens a connection as a listener does; returns whether a place was found.
fn open(intake: &mut Intake, id: ConnectionId, now: &mut Instant) -> bool {
    for _ in 0..MAX_STEPS {
        if intake.has_place() {
            intake.open(id, *now);
            return true;
        }
        let action = intake.make_place(*now);
        carry_out(intake, action.into_iter().collect(), *now);
        *now += STEP;
    }
    false
}

/// Begins a body and returns whether its bytes are granted in the end.
fn read(intake: &mut Intake, id: ConnectionId, bytes: usize, now: &mut Instant) -> bool {
    intake.begin(id);
    if intake.begin_body(id, Some(bytes), LONGEST, *now) == Admission::Granted {
        return true;
    }
    for _ in 0..MAX_STEPS {
        *now += STEP;
        let actions = intake.poll(*now);
        let is_granted = actions.contains(&IntakeAction::Grant(id));
        carry_out(intake, actions, *now);
        if is_granted {
            return true;
        }
    }
    false
}

#[rstest]
fn a_long_body_waits_until_the_one_without_progress_yields() {
    let mut now = Instant::now();
    let mut intake = Intake::new(LIMITS);
    for id in 1..=2 {
        intake.open(id, now);
        intake.begin(id);
    }
    let first = intake.begin_body(1, Some(LONGEST), LONGEST, now);
    assert_eq!(first, Admission::Granted);
    let second = intake.begin_body(2, Some(LONGEST), LONGEST, now);
    assert_eq!(second, Admission::Wait);
    assert!(intake.poll(now).is_empty());
    now = intake.next_check().expect("a check is due");
    assert_eq!(intake.poll(now), [IntakeAction::RefuseStalled(1)]);
    assert!(intake.poll(now).is_empty(), "the first yields only once");
    intake.finish(1, now);
    assert_eq!(intake.poll(now), [IntakeAction::Grant(2)]);
}

#[rstest]
fn a_body_over_the_limit_is_refused_at_once() {
    let mut intake = Intake::new(LIMITS);
    let now = Instant::now();
    intake.open(1, now);
    let admission = intake.begin_body(1, Some(LONGEST + 1), LONGEST, now);
    assert_eq!(admission, Admission::TooLong);
    assert_eq!(intake.reserved(), 0);
}

#[rstest]
fn a_request_in_service_never_yields_its_place() {
    let mut intake = Intake::new(LIMITS);
    let now = Instant::now();
    for id in 0..LIMITS.connections {
        intake.open(id, now);
        intake.begin(id);
    }
    assert_eq!(intake.make_place(now + Duration::from_mins(1)), None);
}

#[rstest]
fn a_body_that_is_dropped_yields_its_place() {
    let mut now = Instant::now();
    let mut intake = Intake::new(LIMITS);
    for id in 0..LIMITS.connections {
        intake.open(id, now);
        intake.begin(id);
        intake.begin_discard(id, now);
    }
    assert_eq!(intake.make_place(now), None, "it may still arrive");
    now += Duration::from_secs(1);
    assert_eq!(intake.make_place(now), Some(IntakeAction::RefuseStalled(0)));
}

#[rstest]
fn a_body_that_is_dropped_is_not_refused_for_bytes_that_it_does_not_hold() {
    let mut now = Instant::now();
    let mut intake = Intake::new(LIMITS);
    for id in 0..3 {
        intake.open(id, now);
        intake.begin(id);
    }
    intake.begin_discard(0, now);
    now += STEP;
    let first = intake.begin_body(1, Some(LONGEST), LONGEST, now);
    assert_eq!(first, Admission::Granted);
    let second = intake.begin_body(2, Some(LONGEST), LONGEST, now);
    assert_eq!(second, Admission::Wait);
    now += Duration::from_secs(1);
    assert_eq!(intake.poll(now), [IntakeAction::RefuseStalled(1)]);
}

#[rstest]
fn a_job_is_charged_with_more_than_its_body_until_it_ends() {
    let now = Instant::now();
    let mut intake = Intake::new(LIMITS);
    for id in 0..=4 {
        intake.open(id, now);
        intake.begin(id);
        let body = intake.begin_body(id, Some(ORDINARY), LONGEST, now);
        assert_eq!(body, Admission::Granted);
    }
    let job = 90 * ORDINARY;
    let held: Vec<bool> = (0..=4).map(|id| intake.hold(id, job)).collect();
    assert_eq!(held, [true, true, true, false, false]);
    assert_eq!(intake.reserved(), 3 * job, "what is refused holds nothing");
    intake.finish(0, now);
    assert!(intake.hold(4, job));
}

#[rstest]
fn a_response_that_nobody_reads_does_not_keep_a_place() {
    let mut now = Instant::now();
    let mut intake = Intake::new(LIMITS);
    for id in 0..LIMITS.connections {
        intake.open(id, now);
        intake.begin(id);
    }
    intake.await_place();
    for id in 0..LIMITS.connections {
        intake.finish(id, now);
        assert!(intake.yields_after_response(id, now));
    }
    now += Duration::from_secs(1);
    assert_eq!(intake.make_place(now), Some(IntakeAction::Close(0)));
    assert_eq!(intake.make_place(now), Some(IntakeAction::Close(1)));
}

/// A client that sends the next request as soon as it has a response, and whose requests
/// take so many steps.
#[derive(Clone, Copy, Debug)]
struct BusyClient {
    id: ConnectionId,
    steps: usize,
    left: usize,
}

/// Lets time pass for busy clients; those whose connections yield are gone.
fn serve(intake: &mut Intake, clients: &mut Vec<BusyClient>, now: Instant) {
    clients.retain_mut(|client| {
        client.left -= 1;
        if client.left > 0 {
            return true;
        }
        intake.finish(client.id, now);
        if intake.yields_after_response(client.id, now) {
            intake.close(client.id);
            return false;
        }
        intake.begin(client.id);
        client.left = client.steps;
        true
    });
}

proptest! {
    #[test]
    fn nobody_waits_for_ever_behind_connections_that_keep_busy(
        steps in prop::collection::vec(1_usize..20, 1..60),
    ) {
        let longest = steps.iter().copied().max().unwrap_or(1);
        let mut now = Instant::now();
        let mut intake = Intake::new(LIMITS);
        let mut clients: Vec<BusyClient> = Vec::new();
        // They arrive one after another, and each of them stays as long as it may.
        for (id, steps) in steps.into_iter().enumerate() {
            if !intake.has_place() {
                intake.await_place();
                let mut waited = 0;
                while !intake.has_place() {
                    now += STEP;
                    waited += 1;
                    let action = intake.make_place(now);
                    carry_out(&mut intake, action.into_iter().collect(), now);
                    serve(&mut intake, &mut clients, now);
                    prop_assert!(waited <= longest, "a place is free after one request");
                }
                intake.stop_awaiting();
            }
            intake.open(id, now);
            intake.begin(id);
            clients.push(BusyClient { id, steps, left: steps });
            prop_assert!(intake.connections() <= LIMITS.connections);
        }
    }

    #[test]
    fn the_oldest_handshake_yields_to_a_new_one(
        steps in prop::collection::vec((any::<bool>(), 0_usize..50), 1..200),
    ) {
        const MOST: usize = 5;
        let mut handshakes = Handshakes::new(MOST);
        let mut open: Vec<ConnectionId> = Vec::new();
        for (number, (begins, which)) in steps.into_iter().enumerate() {
            if begins {
                let oldest = (open.len() == MOST).then(|| open.remove(0));
                prop_assert_eq!(handshakes.begin(number), oldest);
                open.push(number);
            } else if !open.is_empty() {
                handshakes.end(open.remove(which % open.len()));
            }
            prop_assert_eq!(handshakes.len(), open.len());
        }
    }

    #[test]
    fn an_ordinary_request_after_a_crowd_gets_its_bytes(
        steps in prop::collection::vec((0_usize..5, 0_usize..12, 1_usize..300_000), 1..200),
    ) {
        let mut now = Instant::now();
        let mut intake = Intake::new(LIMITS);
        for (kind, id, bytes) in steps {
            now += Duration::from_millis(u64::try_from(bytes % 70).unwrap());
            match kind {
                0 if intake.has_place() => intake.open(id, now),
                1 => {
                    intake.begin(id);
                    let declared = (bytes % 3 > 0).then_some(bytes);
                    intake.begin_body(id, declared, LONGEST, now);
                }
                2 => intake.progress(id, now),
                3 => intake.close(id),
                4 => intake.finish(id, now),
                _ => {}
            }
            let actions = intake.poll(now);
            carry_out(&mut intake, actions, now);
            prop_assert!(intake.reserved() <= LIMITS.bytes);
            prop_assert!(intake.connections() <= LIMITS.connections);
        }
        // What is in service ends by its deadline.
        let ordinary = 100;
        if !open(&mut intake, ordinary, &mut now) {
            for id in 0..12 {
                intake.finish(id, now);
            }
            prop_assert!(open(&mut intake, ordinary, &mut now));
        }
        prop_assert!(read(&mut intake, ordinary, ORDINARY, &mut now));
        prop_assert!(intake.reserved() <= LIMITS.bytes);
    }
}
