//! What callers get at a site whose endpoints differ in speed and in room.
//!
//! Endpoints were chosen without regard to whether a task still ends there while its
//! caller waits: at a quarter of them run times are twice as long as elsewhere, and long
//! tasks begun there late ended for nobody, while short ones held the faster endpoints.

#[allow(dead_code, unused_imports)] // the rest is for the tests under overload
#[path = "overload_site/mod.rs"]
mod overload_site;
mod uneven_site;

use {
    overload_site::{Load, MS, Micros, SECOND, Site, endpoint::EndpointSpec, load::PlayedJob},
    rstest::rstest,
    std::ops::Range,
    uneven_site::all_knowing_goodput,
};

const ZONES: usize = 3;
const ENTRIES: usize = 6;
const ENDPOINTS: usize = 24;
const SEEDS: u64 = 20;

/// Work in a unit of time, by endpoint in turn: their mean is about 1.
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

/// Cores against those of the smallest endpoints, in turn.
const SIZES: [u32; 3] = [16_000, 16_000, 24_000];

/// Share of the tasks that take so many times as long, which estimates do not tell.
const STRAGGLERS: (f64, f64) = (0.03, 7.0);

/// How long callers wait beyond the time that their job runs at an endpoint of speed 1.
const PATIENCE: Micros = 1_500 * MS;

/// Jobs that arrive in this span count; speeds are learned before.
const COUNTED: Range<Micros> = 4 * SECOND..9 * SECOND;

/// When something fails, and the jobs that count then.
const FAILS_AT: Micros = 4 * SECOND;
const COUNTED_AFTER_FAILURE: Range<Micros> = 5 * SECOND..9 * SECOND;

/// Least processor time of answers in time, against the queue that knows all.
const LEAST_GOODPUT: f64 = 0.95;

/// Part of its estimate that a task takes at least: estimates are up to 1.4 times the mean
/// of a job, whose tasks differ by three times 0.15 at most.
const LEAST_PART: f64 = (1.0 - 3.0 * 0.15) / 1.4;

fn seeds() -> u64 {
    let seeds = std::env::var("CHESTNUTRUN_SEEDS").ok();
    seeds.map_or(SEEDS, |seeds| seeds.parse().expect("a number of seeds"))
}

fn specs() -> Vec<EndpointSpec> {
    let spec = |number: usize| EndpointSpec {
        cpu: SIZES[number % SIZES.len()],
        speed: SPEEDS[number / SIZES.len() % SPEEDS.len()],
        ..EndpointSpec::default()
    };
    (0..ENDPOINTS).map(spec).collect()
}

fn site(seed: u64, usual: f64) -> Site {
    let load = Load {
        usual,
        factors: vec![(0, 1.0)],
        patience: PATIENCE,
    };
    let mut site = Site::with_endpoints(seed, ZONES, ENTRIES, &specs(), load);
    site.stragglers = STRAGGLERS;
    site
}

fn played(site: &Site) -> Vec<&PlayedJob> {
    let answered = site.answered.iter().map(|(job, ..)| job);
    answered.chain(site.callers.values()).collect()
}

/// Returns the processor time of answers in time to what arrived within a span.
fn goodput(site: &Site, within: &Range<Micros>) -> f64 {
    let all = site.served(within.start, within.end, |_, _| true);
    all.goodput
}

/// Returns the starts within a span that could not end before their deadlines, by the
/// speeds of the endpoints and what is known of estimates.
#[allow(clippy::cast_precision_loss)] // far below the precision of f64
fn vain_starts(site: &Site, within: &Range<Micros>) -> usize {
    let starts = site.starts.iter();
    let in_vain = starts.filter(|(at, endpoint, estimate, deadline)| {
        let speed = site.endpoints[*endpoint].spec.speed;
        let least = *estimate as f64 * LEAST_PART / speed;
        within.contains(at) && *at as f64 + least > *deadline as f64
    });
    in_vain.count()
}

#[rstest]
#[case::half(0.5)]
#[case::usual(0.8)]
#[case::full(1.0)]
fn goodput_is_near_that_of_a_queue_that_knows_all(#[case] load: f64) {
    let (mut got, mut possible, mut in_vain, mut starts) = (0.0, 0.0, 0, 0);
    for seed in 1..=seeds() {
        let mut site = site(seed, load);
        site.play(COUNTED.end);
        got += goodput(&site, &COUNTED);
        possible += all_knowing_goodput(&specs(), &played(&site), COUNTED);
        in_vain += vain_starts(&site, &COUNTED);
        starts += site.starts.len();
    }
    println!(
        "load {load}: {:.4} of {possible:.0}, {in_vain} of {starts} starts in vain",
        got / possible
    );
    assert!(got >= LEAST_GOODPUT * possible, "{got} of {possible}");
    assert_eq!(in_vain, 0, "of {starts} starts");
}

/// Endpoints are replaced by others of the opposite speed under their ids, half of the
/// entries start anew, and an agent is lost.
#[test]
fn goodput_returns_after_replacements() {
    let (mut got, mut possible, mut in_vain) = (0.0, 0.0, 0);
    for seed in 1..=seeds() {
        let mut site = site(seed, 0.8);
        site.submits_until = COUNTED_AFTER_FAILURE.end;
        site.handle_until(FAILS_AT);
        for (number, speed) in [(0, 1.2), (3, 0.55)] {
            site.replace_endpoint(number, speed);
        }
        for entry in 0..ENTRIES / 2 {
            site.restart_entry(entry);
        }
        site.restart_agent(6, &[2, 2, 2, 1, 1, 1]);
        site.play(COUNTED_AFTER_FAILURE.end);
        got += goodput(&site, &COUNTED_AFTER_FAILURE);
        let specs: Vec<EndpointSpec> = site.endpoints.iter().map(|e| e.spec).collect();
        let mut later = played(&site);
        later.retain(|job| job.arrived_at >= FAILS_AT);
        possible += all_knowing_goodput(&specs, &later, COUNTED_AFTER_FAILURE);
        in_vain += vain_starts(&site, &COUNTED_AFTER_FAILURE);
    }
    println!("after failures: {:.4}, {in_vain} in vain", got / possible);
    assert!(got >= LEAST_GOODPUT * possible, "{got} of {possible}");
    assert_eq!(in_vain, 0);
}
