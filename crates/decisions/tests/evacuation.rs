//! The spread of the evacuated zones among processes, also under seeded faults.
//!
//! `CHESTNUTRUN_SEEDS` sets how many seeds run; `CHESTNUTRUN_SEED` runs a single one.

mod evacuation_site;

use {
    chestnutrun_decisions::evacuation::{
        EvacuationAction, EvacuationConf, EvacuationInput, EvacuationMachine,
    },
    chestnutrun_types::{EvacuatedZones, Now, ZoneChange},
    evacuation_site::Site,
    rstest::rstest,
    std::env,
};

/// How many seeds run by default.
const SEEDS: u64 = 100;

fn state(revision: u64, zones: &[&str]) -> EvacuatedZones {
    EvacuatedZones {
        revision,
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    }
}

#[rstest]
#[case::older_state(state(4, &["b"]), state(5, &["a"]))]
#[case::same_revision(state(5, &["b"]), state(5, &["a"]))]
#[case::newer_state(state(6, &["b"]), state(6, &["b"]))]
#[case::taken_back(state(6, &[]), state(6, &[]))]
fn an_older_state_replaces_a_newer_one(
    #[case] received: EvacuatedZones,
    #[case] expected: EvacuatedZones,
) {
    let now = Now::read();
    let mut machine = EvacuationMachine::new(EvacuationConf::default());
    machine.handle(now, EvacuationInput::LinkOpened(1));
    machine.handle(now, EvacuationInput::Read(state(5, &["a"])));
    let actions = machine.handle(now, EvacuationInput::Received(1, received.clone()));
    assert_eq!(machine.state(), Some(&expected));
    let told = EvacuationAction::Send(1, expected.clone());
    let is_older = received.revision < expected.revision;
    assert_eq!(actions.contains(&told), is_older, "{actions:?}");
}

/// A feed repeats changes that a peer told before, and a row may change several times in
/// one answer.
#[rstest]
fn a_repeated_change_of_a_feed_is_applied_again() {
    let now = Now::read();
    let change = |zone: &str, revision, is_evacuated| ZoneChange {
        zone: zone.into(),
        revision,
        is_evacuated,
    };
    let mut machine = EvacuationMachine::new(EvacuationConf::default());
    machine.handle(now, EvacuationInput::Changed(vec![change("a", 3, true)]));
    assert_eq!(machine.state(), None, "other zones are not known");
    machine.handle(now, EvacuationInput::Read(state(4, &["a"])));
    machine.handle(now, EvacuationInput::Received(1, state(7, &["b"])));
    let changes = vec![
        change("a", 6, true),
        change("b", 7, true),
        change("c", 8, true),
        change("b", 9, false),
    ];
    machine.handle(now, EvacuationInput::Changed(changes));
    assert_eq!(machine.state(), Some(&state(9, &["c"])));
}

/// Processes restart, links break, the directory is away for some or all of them and loses
/// its history, messages are late and repeated. A process in touch knows of each request and
/// its end within the bound, and no process goes back to an older state.
#[rstest]
fn a_process_in_touch_learns_late_of_an_evacuation() {
    let read = |name| env::var(name).ok().and_then(|text| text.parse().ok());
    if let Some(seed) = read("CHESTNUTRUN_SEED") {
        Site::new(seed).run();
        return;
    }
    for seed in 1..=read("CHESTNUTRUN_SEEDS").unwrap_or(SEEDS) {
        let outcome = std::panic::catch_unwind(|| Site::new(seed).run());
        assert!(outcome.is_ok(), "seed {seed} failed");
    }
}
