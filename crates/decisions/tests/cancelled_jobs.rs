//! Tests of what is remembered of cancelled jobs while clients cancel far more jobs than
//! are remembered.

use {
    chestnutrun_decisions::placement::CancelledJobs,
    chestnutrun_types::CancelledJob,
    rstest::rstest,
    std::time::{Duration, Instant},
};

/// Jobs that are remembered at least.
const KEPT: usize = 4_096;

fn cancelled(number: usize) -> CancelledJob {
    CancelledJob {
        job: format!("{number:016x}").into(),
        remembered_for: Duration::from_secs(30),
    }
}

#[rstest]
#[case::just_as_many(KEPT)]
#[case::one_more(KEPT + 1)]
#[case::far_more(10 * KEPT + 17)]
fn the_newest_cancelled_jobs_are_remembered(#[case] count: usize) {
    let now = Instant::now();
    let mut jobs = CancelledJobs::default();
    for number in 0..count {
        assert!(jobs.insert_remote(now, &cancelled(number)));
        let kept = jobs.all(now).count();
        assert!(kept <= 5 * KEPT / 4, "{kept} are remembered");
    }
    let newest = count - KEPT;
    let known = jobs.all(now).map(|job| job.job).collect::<Vec<_>>();
    for number in newest..count {
        assert!(
            known.contains(&cancelled(number).job),
            "{number} is forgotten"
        );
    }
}
