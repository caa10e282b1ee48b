//! Regression tests of the membership machine and the front machine.

use {
    chestnutrun_decisions::{
        front::{FrontAction, FrontConf, FrontInput, FrontMachine, Request},
        membership::{
            EntryMessage, MembershipAction, MembershipConf, MembershipInput, MembershipMachine,
        },
    },
    chestnutrun_types::{
        JobAnswer, JobRef, JobReply, JobSpec, KnownAgents, Member, Now, Reply, ShardOwner, Submit,
        TableRow, TableSnapshot, TableWrite, TaskOutcome, Versioned, WriteResult,
    },
    rstest::rstest,
    std::{net::SocketAddr, time::SystemTime},
};

fn me() -> Member {
    Member {
        entry: "entry-0".into(),
        incarnation: 1,
        inner: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone".into(),
    }
}

fn owner(epoch: u64) -> ShardOwner {
    ShardOwner {
        shard: 0,
        entry: "entry-0".into(),
        incarnation: 1,
        epoch,
        voters: Vec::new(),
        earlier: Vec::new(),
    }
}

fn submit(digest: u128) -> Submit {
    Submit {
        job: job(),
        spec: JobSpec {
            tasks: Vec::new(),
            deadline: SystemTime::now(),
            urgency: 0,
        },
        digest,
        may_be_older: true,
        wants_receipt: false,
    }
}

fn job() -> JobRef {
    JobRef {
        contract: "letters".into(),
        key: "k".into(),
    }
}

fn snapshot_with_me() -> TableSnapshot {
    let mut snapshot = TableSnapshot::default();
    let row = Versioned {
        value: me(),
        revision: 1,
    };
    snapshot.members.insert(me().entry, row);
    snapshot
}

fn read(machine: &mut MembershipMachine, snapshot: TableSnapshot) -> Vec<MembershipAction> {
    machine.handle(Now::read(), MembershipInput::Read(Box::new(snapshot)))
}

#[rstest]
fn a_read_that_began_before_a_claim_ends_no_ownership() {
    let mut machine = MembershipMachine::new(MembershipConf {
        me: me(),
        shards: 1,
    });
    read(&mut machine, snapshot_with_me());
    let write = TableWrite {
        row: TableRow::Owner(owner(1)),
        expected: 0,
    };
    let written = MembershipInput::Written(write, WriteResult::Accepted(2));
    machine.handle(Now::read(), written);
    let mut late = snapshot_with_me();
    let other = ShardOwner {
        entry: "entry-1".into(),
        ..owner(0)
    };
    let row = Versioned {
        value: other,
        revision: 1,
    };
    late.owners.insert(0, row);
    let actions = read(&mut machine, late);
    assert!(!actions.contains(&MembershipAction::OwnershipLost(0)));
    assert_eq!(machine.owned().collect::<Vec<_>>(), [(0, 1)]);
}

#[rstest]
fn the_first_owner_tells_linked_entries_that_it_knows_every_agent() {
    let mut machine = MembershipMachine::new(MembershipConf {
        me: me(),
        shards: 1,
    });
    machine.handle(Now::read(), MembershipInput::LinkUp("entry-1".into()));
    read(&mut machine, snapshot_with_me());
    let write = TableWrite {
        row: TableRow::Owner(owner(1)),
        expected: 0,
    };
    let written = MembershipInput::Written(write, WriteResult::Accepted(2));
    let actions = machine.handle(Now::read(), written);
    let known = KnownAgents {
        runs: Vec::new(),
        complete: true,
    };
    let announcement = MembershipAction::Send("entry-1".into(), EntryMessage::Agents(known));
    assert!(actions.contains(&announcement), "{actions:?}");
}

#[rstest]
fn a_run_whose_row_has_a_later_run_does_not_write_it_back() {
    let mut machine = MembershipMachine::new(MembershipConf {
        me: me(),
        shards: 1,
    });
    let mut snapshot = snapshot_with_me();
    snapshot.members[0].value.incarnation = 2;
    let actions = read(&mut machine, snapshot);
    let is_write = |action: &MembershipAction| matches!(action, MembershipAction::Write(_));
    assert!(!actions.iter().any(is_write));
}

#[rstest]
fn a_lost_removal_of_a_leaving_entry_is_written_again() {
    let mut machine = MembershipMachine::new(MembershipConf {
        me: me(),
        shards: 0,
    });
    read(&mut machine, snapshot_with_me());
    let removal = TableWrite {
        row: TableRow::MemberRemoval(me().entry),
        expected: 1,
    };
    let leave = machine.handle(Now::read(), MembershipInput::Leave);
    assert_eq!(leave, [MembershipAction::Write(removal.clone())]);
    let lost = MembershipInput::Written(removal.clone(), WriteResult::Unknown);
    machine.handle(Now::read(), lost);
    let actions = read(&mut machine, snapshot_with_me());
    assert!(actions.contains(&MembershipAction::Write(removal)));
}

fn front() -> FrontMachine {
    let mut front = FrontMachine::new(FrontConf {
        me: "entry-1".into(),
        shards: 1,
    });
    front.handle(FrontInput::LinkUp("entry-0".into()));
    front.handle(FrontInput::OwnerChanged(owner(1)));
    front
}

#[rstest]
fn the_answer_of_another_body_goes_to_queries_only() {
    let mut front = front();
    front.handle(FrontInput::Request(1, Request::Query(job())));
    front.handle(FrontInput::Request(2, Request::Submit(submit(7))));
    let reply = Reply::Answered(JobAnswer::new([]));
    let input = FrontInput::Reply(JobReply {
        job: job(),
        digest: Some(8),
        epoch: 1,
        reply: reply.clone(),
    });
    assert_eq!(front.handle(input), [FrontAction::Answer(1, reply)]);
}

#[rstest]
fn not_run_from_an_owner_whose_successor_has_the_submission_is_ignored() {
    let mut front = front();
    front.handle(FrontInput::Request(1, Request::Submit(submit(7))));
    front.handle(FrontInput::OwnerChanged(owner(2)));
    let not_run = Reply::Answered(JobAnswer::new([TaskOutcome::Cancelled]));
    let reply_of = |epoch, reply: &Reply| {
        FrontInput::Reply(JobReply {
            job: job(),
            digest: Some(7),
            epoch,
            reply: reply.clone(),
        })
    };
    assert_eq!(front.handle(reply_of(1, &not_run)), []);
    let ran = Reply::Answered(JobAnswer::new([TaskOutcome::Completed(String::new())]));
    let answered = front.handle(reply_of(2, &ran));
    assert_eq!(answered, [FrontAction::Answer(1, ran)]);
}

#[rstest]
fn no_caller_waits_for_an_answer_after_the_receipt() {
    let mut front = front();
    let mut submit = submit(7);
    submit.wants_receipt = true;
    front.handle(FrontInput::Request(1, Request::Submit(submit)));
    let reply_of = |reply| JobReply {
        job: job(),
        digest: Some(7),
        epoch: 1,
        reply,
    };
    front.handle(FrontInput::Reply(reply_of(Reply::Accepted)));
    let answer = reply_of(Reply::Answered(JobAnswer::new([])));
    assert!(
        !front.has_waiter_for(&answer),
        "the caller already has its receipt"
    );
    front.handle(FrontInput::Request(2, Request::Query(job())));
    assert!(
        front.has_waiter_for(&answer),
        "the caller asks for the answer"
    );
}

#[rstest]
fn one_submission_of_a_body_is_sent_at_a_time() {
    let mut front = front();
    front.handle(FrontInput::Request(1, Request::Submit(submit(7))));
    let second = front.handle(FrontInput::Request(2, Request::Submit(submit(7))));
    assert_eq!(
        second,
        [],
        "a refusal of the first would reach both callers"
    );
}

#[rstest]
fn a_request_that_came_before_the_owner_was_ready_is_sent_again() {
    let mut front = front();
    front.handle(FrontInput::Request(1, Request::Submit(submit(7))));
    let again = front.handle(FrontInput::OwnerReady(0));
    assert!(matches!(
        again[..],
        [FrontAction::Send(_, Request::Submit(_))]
    ));
}
