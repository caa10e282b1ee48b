//! Sentences that explain why a job ended as it did.

use {
    chestnutrun_observe::{JobHistory, LogLine},
    chestnutrun_types::DecisionEvent,
    rstest::rstest,
};

fn line(sequence: u64, event: DecisionEvent) -> LogLine {
    LogLine {
        at_us: sequence,
        process: "entry".into(),
        sequence,
        event,
    }
}

fn answered(outcome: &'static str) -> DecisionEvent {
    DecisionEvent::JobAnswered {
        job: "j".into(),
        route: "r".into(),
        outcome: outcome.into(),
        took_ms: 1_700,
        placed_after_ms: Some(0),
        done: 0,
        at_agents: 0,
        returned: 2,
    }
}

#[rstest]
fn a_job_given_up_after_crashes_is_said_to_have_failing_tasks() {
    let given_up = DecisionEvent::JobGivenUp {
        job: "j".into(),
        crashes: 2,
    };
    let lines = [line(1, given_up), line(2, answered("failed"))];
    let history = JobHistory::of("j", &lines).expect("there are lines of the job");
    let cause = history.cause();
    assert!(cause.contains("2 endpoints crashed"), "{cause}");
}

#[rstest]
fn a_job_refused_for_an_evacuated_zone_is_said_to_have_waited() {
    let lines = [line(1, answered("refused-evacuated"))];
    let history = JobHistory::of("j", &lines).expect("there are lines of the job");
    let cause = history.cause();
    assert!(cause.contains("evacuated zones"), "{cause}");
}
