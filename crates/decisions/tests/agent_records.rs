//! Tests that repeated starts are answered from an agent's records.

use {
    chestnutrun_decisions::agent::{
        AgentAction, AgentConf, AgentInput, AgentMachine, AgentMessage, RunOutcome,
    },
    chestnutrun_types::{
        BodyDigest, Confirmation, Electorate, Fence, JobRef, Now, Start, StartRefusal, TaskSpec,
    },
    rstest::{fixture, rstest},
    std::time::Duration,
};

const EPOCH: u64 = 3;
const BODY: BodyDigest = 7;
const OTHER_BODY: BodyDigest = 8;

/// An agent that holds a lease from the owner `entry-0`.
#[fixture]
fn agent() -> AgentMachine {
    let now = Now::read();
    let mut agent = AgentMachine::new(AgentConf { shard: 0, slots: 2 });
    agent.handle(now, AgentInput::LinkUp("entry-0".into()));
    let fence = Fence {
        shard: 0,
        epoch: EPOCH,
        owner: "entry-0".into(),
    };
    let actions = agent.handle(now, AgentInput::Fence("entry-0".into(), fence));
    let nonce = actions.iter().find_map(|action| match action {
        AgentAction::Send(_, AgentMessage::Confirm(confirm)) => Some(confirm.nonce),
        _ => None,
    });
    let confirmation = Confirmation {
        nonce: nonce.expect("the agent asks for a confirmation"),
        shard: 0,
        epoch: EPOCH,
        voters: Electorate::default(),
    };
    agent.handle(now, AgentInput::Confirmed("entry-0".into(), confirmation));
    agent
}

fn start(now: Now, digest: BodyDigest) -> Start {
    let job = JobRef {
        contract: "letters".into(),
        key: "k".into(),
    };
    Start {
        task: job.task(0),
        shard: 0,
        epoch: EPOCH,
        attempt: 0,
        digest,
        total: 1,
        spec: TaskSpec {
            kind: "stamp".into(),
            declared_run_time: Duration::from_millis(50),
            input: String::new(),
            idempotent: false,
        },
        deadline: now.wall + Duration::from_mins(1),
    }
}

fn send_start(agent: &mut AgentMachine, digest: BodyDigest) -> Vec<AgentAction> {
    let now = Now::read();
    agent.handle(now, AgentInput::Start("entry-0".into(), start(now, digest)))
}

fn is_refused_for_its_body(actions: &[AgentAction]) -> bool {
    matches!(
        actions,
        [AgentAction::Send(_, AgentMessage::StartRefused(refused))]
            if refused.reason == StartRefusal::KeyReused
    )
}

#[rstest]
fn a_repeated_start_runs_once(mut agent: AgentMachine) {
    assert!(matches!(
        send_start(&mut agent, BODY)[..],
        [AgentAction::Run(_)]
    ));
    assert_eq!(send_start(&mut agent, BODY), []);
}

#[rstest]
fn another_body_is_refused_while_the_task_runs(mut agent: AgentMachine) {
    send_start(&mut agent, BODY);
    assert!(is_refused_for_its_body(&send_start(&mut agent, OTHER_BODY)));
}

#[rstest]
fn another_body_gets_no_output_of_an_ended_run(mut agent: AgentMachine) {
    send_start(&mut agent, BODY);
    let task = start(Now::read(), BODY).task;
    let outcome = RunOutcome::Completed("done".to_owned());
    agent.handle(Now::read(), AgentInput::RunEnded(task, outcome));
    assert!(is_refused_for_its_body(&send_start(&mut agent, OTHER_BODY)));
    let again = send_start(&mut agent, BODY);
    assert!(matches!(
        &again[..],
        [AgentAction::Send(_, AgentMessage::Finished(finished))] if finished.digest == BODY
    ));
}
