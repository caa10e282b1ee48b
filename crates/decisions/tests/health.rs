//! Failures of a kind of task that count against an endpoint.

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
fn a_kind_that_fails_everywhere_excludes_at_most_one_endpoint() {
    let now = Instant::now();
    let mut kinds = KindFailures::default();
    let mut endpoints: Vec<Health> = (0..11).map(|_| Health::default()).collect();
    for round in 0..100 {
        let number = round % 11;
        let endpoint_id = endpoint(number);
        if kinds.record_failure(&"a".into(), &"broken".into(), &endpoint_id) {
            endpoints[number as usize].record_failure(now);
        }
    }
    let excluded = endpoints
        .iter()
        .filter(|health| health.max_tasks(now, 8) == 0);
    assert!(excluded.count() <= 1);
}

#[rstest]
fn an_endpoint_that_fails_what_others_complete_is_excluded_and_probed() {
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
