//! Merging configurations: the newest revision of each row wins, whatever order
//! updates arrive in.

use {
    chestnutrun_types::{Configuration, DrainState, EndpointId, TableRow},
    rstest::rstest,
};

fn drain(endpoint: &str, state: DrainState, revision: u64) -> Configuration {
    Configuration::from_row(TableRow::Drain(endpoint.into(), state), revision)
}

#[rstest]
#[case::in_order(&[("e1", DrainState::Draining, 4), ("e1", DrainState::Serving, 5)], false)]
#[case::crossed(&[("e1", DrainState::Serving, 5), ("e1", DrainState::Draining, 4)], false)]
#[case::another_row_between(&[("e1", DrainState::Draining, 4), ("e2", DrainState::Serving, 9)], true)]
#[case::a_lower_row_late(&[("e2", DrainState::Serving, 9), ("e1", DrainState::Draining, 4)], true)]
fn a_row_never_reverts(
    #[case] updates: &[(&str, DrainState, u64)],
    #[case] is_drained_at_the_end: bool,
) {
    let mut configuration = Configuration::default();
    for (endpoint, state, revision) in updates {
        configuration.merge(&drain(endpoint, *state, *revision));
    }
    assert_eq!(configuration.is_draining("e1"), is_drained_at_the_end);
}

#[test]
fn merging_a_known_row_changes_nothing() {
    let mut configuration = Configuration::default();
    let update = drain("e1", DrainState::Draining, 4);
    assert!(configuration.merge(&update));
    assert!(!configuration.merge(&update));
}

#[test]
fn an_agent_gets_only_its_own_drain() {
    let mut configuration = drain("e1", DrainState::Draining, 4);
    configuration.merge(&drain("e2", DrainState::Draining, 5));
    let part = configuration.for_endpoint(&EndpointId::from("e1"));
    assert!(part.is_draining("e1"));
    assert!(!part.is_draining("e2"));
    assert_eq!(part.revision, 5);
}
