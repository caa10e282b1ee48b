//! Tests of experiments that run the scheduling decisions alone, without processes.

use {
    chestnutrun_bench::experiment::{
        DecisionsRun, ExperimentConf, Measures, PolicyKind, Variant, generate_arrivals,
        select_arrivals,
    },
    rstest::rstest,
};

const HEAD_OF_LINE: &str = include_str!("../experiments/head-of-line.yaml");

fn run(policy: PolicyKind, variant: &Variant) -> Measures {
    let mut conf: ExperimentConf =
        serde_saphyr::from_str(HEAD_OF_LINE).expect("the experiment file is valid");
    conf.length /= 5;
    conf.warm_up /= 5;
    let selected = select_arrivals(&conf, &generate_arrivals(&conf, 1), variant);
    DecisionsRun::new(&conf, &selected, policy, 1).run()
}

fn p99_of_checks(measures: &Measures) -> u64 {
    let checks = measures.groups.iter().find(|(key, _)| key.1 == "check");
    let (_, responses) = checks.expect("tasks of kind check have completed");
    responses.response.value_at_quantile(0.99)
}

#[rstest]
fn short_tasks_are_not_delayed_by_long_ones() {
    let alone = run(PolicyKind::SizeAware, &Variant::Alone("check".to_owned()));
    let with_long = run(PolicyKind::SizeAware, &Variant::Full);
    let first_come = run(PolicyKind::FirstCome, &Variant::Full);
    assert!(p99_of_checks(&with_long) * 2 <= p99_of_checks(&alone) * 3);
    assert!(with_long.busy_fraction() >= 0.95 * first_come.busy_fraction());
}
