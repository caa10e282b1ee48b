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

#[rstest]
fn a_job_given_up_after_crashes_is_said_to_have_failing_tasks() {
    let given_up = DecisionEvent::JobGivenUp {
        job: "j".into(),
        crashes: 2,
    };
    let answered = DecisionEvent::JobAnswered {
        job: "j".into(),
        route: "r".into(),
        outcome: "failed".into(),
        took_ms: 1_700,
        placed_after_ms: Some(0),
        done: 0,
        at_agents: 0,
        returned: 2,
    };
    let lines = [line(1, given_up), line(2, answered)];
    let history = JobHistory::of("j", &lines).expect("there are lines of the job");
    let cause = history.cause();
    assert!(cause.contains("2 endpoints crashed"), "{cause}");
}
