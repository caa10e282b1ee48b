//! Which failures speak against an endpoint.

use {
    chestnutrun_decisions::owner::{Health, KindFailures},
    chestnutrun_types::EndpointId,
    rstest::rstest,
    std::time::{Duration, Instant},
};

fn endpoint(number: u32) -> EndpointId {
    format!("endpoint-{number}").into()
}

#[rstest]
fn a_kind_that_fails_everywhere_sets_one_endpoint_aside_at_most() {
    let now = Instant::now();
    let mut kinds = KindFailures::default();
    let mut endpoints: Vec<Health> = (0..11).map(|_| Health::default()).collect();
    for round in 0..100 {
        let number = round % 11;
        let of = endpoint(number);
        if kinds.record_failure(&"a".into(), &"broken".into(), &of) {
            endpoints[number as usize].record_failure(now);
        }
    }
    let aside = endpoints
        .iter()
        .filter(|health| health.max_tasks(now, 8) == 0);
    assert!(aside.count() <= 1);
}

#[rstest]
fn an_endpoint_that_fails_what_others_complete_is_set_aside_and_probed() {
    let now = Instant::now();
    let mut kinds = KindFailures::default();
    let mut health = Health::default();
    for _ in 0..3 {
        kinds.record_success(&"a".into(), &"check".into());
        assert!(kinds.record_failure(&"a".into(), &"check".into(), &endpoint(1)));
        health.record_failure(now);
    }
    assert_eq!(health.max_tasks(now, 8), 0);
    let later = now + Duration::from_secs(2);
    assert_eq!(health.max_tasks(later, 8), 1);
    health.record_success();
    assert_eq!(health.max_tasks(later, 8), 8);
}
