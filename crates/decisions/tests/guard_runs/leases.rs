//! Tests of the lease of an endpoint's runs, which is one for all of them, while stops stay
//! unanswered.

use {
    crate::slow_site::{ENTRY, OTHER_ENTRY, SlowSite},
    rstest::rstest,
};

/// Time after which a caller submits again what was lost with its connection, in
/// milliseconds.
const RESUBMIT_AFTER: u64 = 1_300;

/// Creates a site where a task of each entry has been running for a while, and where stops
/// are unanswered from now on.
fn site_without_stops(played: u64) -> SlowSite {
    let mut site = SlowSite::new();
    site.assign(ENTRY, 1);
    site.assign(OTHER_ENTRY, 2);
    site.play(played);
    assert!(site.is_at_work(1) && site.is_at_work(2));
    site.answers_stops = false;
    site
}

/// Tasks of a lost entry went on until their stops were answered, since the agent renewed the
/// lease of the endpoint for the tasks of another entry. Their callers had submitted them
/// again by then, and they ran twice.
#[rstest]
#[case::right_after_a_proof(180)]
#[case::long_after_a_proof(355)]
fn a_task_of_a_lost_entry_outlasts_its_callers_pause(#[case] lost_at: u64) {
    let mut site = site_without_stops(lost_at);
    site.lose_entry();
    site.play(RESUBMIT_AFTER);
    assert!(!site.is_at_work(1), "{site:?}");
    site.play(100);
    assert!(site.is_idle(), "the ends of both tasks are known: {site:?}");
    assert_eq!(site.news.last().map(String::as_str), Some("lease-withheld"));
}

/// An agent reported tasks as ended at the very end of their lease, and they began elsewhere
/// milliseconds before the endpoint had ended them.
#[rstest]
fn tasks_end_at_the_agent_before_a_late_timer_of_their_endpoint() {
    let mut site = site_without_stops(200);
    site.lose_entry();
    for _ in 0..RESUBMIT_AFTER + 100 {
        site.play(1);
        let is_at_work = site.is_at_work(1) || site.is_at_work(2);
        assert!(!(site.is_idle() && is_at_work), "{site:?}");
    }
    assert!(site.is_idle());
}

/// Like the task of a lost entry, one whose entry lives and whose caller is gone went on, also
/// while tasks of others start there.
#[rstest]
fn a_revoked_task_outlasts_its_callers_pause() {
    let mut site = site_without_stops(200);
    site.revoke(ENTRY, 1);
    for id in 3..16 {
        site.assign(OTHER_ENTRY, id);
        site.play(RESUBMIT_AFTER / 13);
    }
    assert!(!site.is_at_work(1), "{site:?}");
}

/// Tasks go on whose endpoint answered the stops of others after a while.
#[rstest]
fn a_stop_that_is_answered_late_ends_the_tasks_of_others() {
    let mut site = site_without_stops(200);
    site.revoke(ENTRY, 1);
    site.play(400);
    assert!(!site.takes_work(), "a task would soon end with the lease");
    site.answers_stops = true;
    site.play(200);
    assert!(site.takes_work());
    site.play(2_000);
    assert!(!site.is_at_work(1) && site.is_at_work(2), "{site:?}");
}

/// Tasks of others go on though at each moment some stop is unanswered, if its second try is
/// answered.
#[rstest]
fn revocations_that_never_cease_end_the_tasks_of_others() {
    let mut site = SlowSite::new();
    site.assign(OTHER_ENTRY, 1);
    for id in 2..200 {
        site.assign(ENTRY, id);
        site.play(10);
        site.answers_stops = false;
        site.revoke(ENTRY, id);
        site.play(10);
        site.answers_stops = true;
        site.play(50);
        assert!(site.is_at_work(1), "{site:?}");
    }
}
