//! Tests of the demo's plan and of its check of the results.

use {
    chestnutrun_bench::{
        demo::{JobResult, Opening, SiteName, SiteProfile, Verdict, judge},
        standins::{StartLog, StartRecord},
    },
    rstest::rstest,
    std::time::{Duration, SystemTime},
};

const SLOTS: u32 = 8;

fn opening() -> Opening {
    let profile = SiteProfile::for_site(SiteName::Cooperative);
    let mut opening = Opening::plan(&profile, 88, 3, 1);
    opening.jobs.truncate(1);
    opening
}

fn start_log(opening: &Opening, times: usize) -> StartLog {
    let job = &opening.jobs[0];
    let mut log = StartLog::default();
    for _ in 0..times {
        for index in 0..job.run_times.len() {
            let name = format!(
                "{{\"contract\":\"{}\",\"key\":\"{}\",\"index\":{index}}}",
                job.kind.contract, job.key
            );
            log.starts.push(StartRecord {
                task: serde_json::from_str(&name).expect("the task has a name"),
                at: SystemTime::UNIX_EPOCH,
            });
        }
    }
    log
}

fn job_result(verdict: Verdict) -> JobResult {
    JobResult {
        number: 0,
        verdict,
        resubmission_verdict: None,
        answers_agree: true,
        sent_late: Duration::ZERO,
        response_time: Duration::from_millis(100),
    }
}

#[rstest]
#[case::whole(Verdict::Completed, 1, 0)]
#[case::refused(Verdict::Refused, 0, 0)]
#[case::complete_without_a_start(Verdict::Completed, 0, 1)]
#[case::refused_but_started(Verdict::Refused, 1, 1)]
#[case::partial(Verdict::Invalid, 1, 1)]
#[case::no_answer(Verdict::Missing, 1, 1)]
fn a_violated_guarantee_is_found(
    #[case] verdict: Verdict,
    #[case] starts: usize,
    #[case] broken: usize,
) {
    let opening = opening();
    let logs = [start_log(&opening, starts)];
    let judgement = judge(&opening, &[job_result(verdict)], &logs, SLOTS);
    assert_eq!(
        judgement.violations.len(),
        broken,
        "{:?}",
        judgement.violations
    );
}

#[rstest]
fn a_second_start_at_another_endpoint_is_found() {
    let opening = opening();
    let logs = [start_log(&opening, 1), start_log(&opening, 1)];
    let judgement = judge(&opening, &[job_result(Verdict::Completed)], &logs, SLOTS);
    assert_eq!(
        judgement.started_repeatedly,
        opening.jobs[0].run_times.len()
    );
    assert_eq!(judgement.violations.len(), judgement.started_repeatedly);
}

#[rstest]
fn more_runs_than_slots_are_found() {
    let opening = opening();
    let mut log = start_log(&opening, 1);
    log.most_at_once = SLOTS + 1;
    let judgement = judge(&opening, &[job_result(Verdict::Completed)], &[log], SLOTS);
    assert_eq!(judgement.violations.len(), 1);
}

#[rstest]
#[case(SiteName::Cooperative)]
#[case(SiteName::Alliance)]
fn an_opening_has_jobs_of_each_kind_and_depends_only_on_its_seed(#[case] site: SiteName) {
    let profile = SiteProfile::for_site(site);
    let plan = |seed| Opening::plan(&profile, 88, 3, seed).jobs;
    let times = |seed| plan(seed).iter().map(|job| job.at).collect::<Vec<_>>();
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
    for kind in profile.kinds {
        let of_kind = plan(1).iter().filter(|j| j.kind.kind == kind.kind).count();
        assert!(of_kind > 20, "{}: {of_kind} jobs", kind.kind);
    }
    assert!(plan(1).iter().any(|job| job.resubmission.is_some()));
}
