//! Seeded random orders of messages and faults against the machines of a whole
//! site. `CHESTNUTRUN_SEEDS` sets the number of seeds, `CHESTNUTRUN_FIRST_SEED`
//! seeds their generator, and `CHESTNUTRUN_SEED` runs a single seed.

mod fake_site;

use {
    fake_site::Site,
    proptest::{
        prelude::any,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::env,
};

/// Number of seeds without `CHESTNUTRUN_SEEDS`.
const DEFAULT_SEEDS: u32 = 60;

/// Seed of the generator of seeds without `CHESTNUTRUN_FIRST_SEED`.
const DEFAULT_FIRST_SEED: u64 = 1;

/// Length of the phase with load and faults, in milliseconds.
const FAULT_PHASE: u64 = 20_000;

/// Length of the phase with load and no faults after it, in milliseconds.
const LOAD_PHASE: u64 = 5_000;

/// Longest time until every caller has a reply once faults end, in milliseconds.
const SETTLE_TIME: u64 = 60_000;

#[test]
fn tasks_start_once_and_answers_are_complete_under_faults() {
    if let Some(seed) = read_number("CHESTNUTRUN_SEED") {
        run_seed(seed);
        return;
    }
    let seeds = read_number("CHESTNUTRUN_SEEDS").and_then(|n| u32::try_from(n).ok());
    let config = Config {
        cases: seeds.unwrap_or(DEFAULT_SEEDS),
        failure_persistence: None,
        max_shrink_iters: 0,
        rng_seed: RngSeed::Fixed(
            read_number("CHESTNUTRUN_FIRST_SEED").unwrap_or(DEFAULT_FIRST_SEED),
        ),
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&any::<u64>(), |seed| {
        run_seed(seed);
        Ok(())
    });
    outcome.expect("every seed passes");
}

#[test]
fn service_continues_without_the_table_and_one_entry() {
    let mut site = Site::new(7);
    site.run(4_000, false);
    site.take_table_down();
    site.run(10_000, false);
    let owner = site.serving_entries()[0].0;
    site.kill_entry((owner + 1) % 3);
    let before = site.judge.completed;
    site.run(10_000, false);
    let completed = site.judge.completed - before;
    assert!(completed > 25, "{completed} jobs completed");
}

fn run_seed(seed: u64) {
    let mut site = Site::new(seed);
    site.run(FAULT_PHASE, true);
    site.settle(SETTLE_TIME);
    assert_eq!(site.serving_entries().len(), 1, "one entry serves");
    let waiting = site.waiting_callers();
    assert!(waiting.is_empty(), "without a reply: {waiting:?}");
    check_service(&mut site);
}

/// Checks that the site answers new load after the faults have ended.
fn check_service(site: &mut Site) {
    let before = answered_count(site);
    site.run(LOAD_PHASE, false);
    site.settle(SETTLE_TIME);
    let waiting = site.waiting_callers();
    assert!(waiting.is_empty(), "without a reply: {waiting:?}");
    let answered = answered_count(site) - before;
    assert!(answered > 20, "{answered}: {:?}", site.judge.replies);
}

fn answered_count(site: &Site) -> usize {
    let answered = site.judge.replies.get("answered").copied();
    answered.unwrap_or_default()
}

fn read_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}
