//! What callers get at a crest on 13 entries, none of which knows all others.
//!
//! Each entry believed that it had the whole site to itself when it estimated how long a
//! job waits, so that callers learned of a refusal when their time was over.

mod overload_site;

use {
    overload_site::{Kind, Load, MS, Micros, SECOND, Served, Site},
    rstest::rstest,
    std::ops::RangeInclusive,
};

const ZONES: usize = 3;
const ENTRIES: usize = 13;
const ENDPOINTS: usize = 24;
const SEEDS: RangeInclusive<u64> = 1..=2;

/// The kinds of a shop: a price check of the most urgent priority, a booking that takes long,
/// and a reservation.
const SHOP: [Kind; 3] = [
    Kind {
        name: "price-check",
        priority: 0,
        width: 8.0,
        work: 60 * MS,
        cpu: 1_700.0,
        share: 0.19,
    },
    Kind {
        name: "booking",
        priority: 2,
        width: 4.0,
        work: 900 * MS,
        cpu: 1_700.0,
        share: 0.26,
    },
    Kind {
        name: "reservation",
        priority: 1,
        width: 2.0,
        work: 200 * MS,
        cpu: 1_700.0,
        share: 0.55,
    },
];

/// Usual load as a share of the room.
const USUAL: f64 = 0.6;

/// Begin, end and end of the play of a crest.
const CREST: (Micros, Micros, Micros) = (6 * SECOND, 11 * SECOND, 14 * SECOND);

/// How long callers wait beyond the time that their job runs.
const PATIENCE: Micros = 1_500 * MS;

/// Time within which callers learn that they are refused.
const TOLD_WITHIN: Micros = 100 * MS;

/// Least part of the refused that learn it within that time.
const LEAST_TOLD: f64 = 0.95;

/// Least goodput against that with just enough room.
const LEAST_GOODPUT: f64 = 0.9;

/// Plays a crest at which jobs ask for so many times the room, and returns what the callers
/// got that came during it, and those of each kind.
fn play(of_room: f64, kinds: &'static [Kind], of_kind: Option<usize>) -> (Served, Vec<Served>) {
    let (begin, end, until) = CREST;
    let mut all = Served::default();
    let mut by_kind = vec![Served::default(); kinds.len()];
    for seed in SEEDS {
        let load = Load {
            usual: USUAL,
            factors: vec![(0, 1.0), (begin, of_room), (end, 1.0)],
            patience: PATIENCE,
            kinds,
            of_kind,
        };
        let mut site = Site::new(seed, ZONES, ENTRIES, ENDPOINTS, load);
        site.play(until);
        all.extend(site.served(begin, end, |_, _| true));
        for (number, served) in by_kind.iter_mut().enumerate() {
            served.extend(site.served(begin, end, |kind, _| kind == number));
        }
    }
    for (kind, served) in kinds.iter().zip(&by_kind) {
        println!(
            "  {}: {} jobs, {:.3} completed, {:.3} in target, {} refused ({} by the all-knowing \
             queue, {} in vain), {:.3} told at once, {} thrown away",
            kind.name,
            served.jobs,
            served.share_completed(),
            served.share_in_target(),
            served.refused,
            served.refused_by_ideal,
            served.refused_in_vain,
            served.share_refused_within(TOLD_WITHIN),
            served.thrown_away
        );
    }
    println!(
        "factor {of_room}: goodput {:.0}, {} jobs, {} refused, {} by the all-knowing queue, {} in \
         vain, {:.3} told at once, half within {} ms, {} thrown away",
        all.goodput / 1e6,
        all.jobs,
        all.refused,
        all.refused_by_ideal,
        all.refused_in_vain,
        all.share_refused_within(TOLD_WITHIN),
        all.median_refusal() / MS,
        all.thrown_away
    );
    (all, by_kind)
}

#[rstest]
#[case::all(1.0)]
#[case::half_more(1.5)]
#[case::twice(2.0)]
#[case::three_times(3.0)]
fn goodput_is_kept_at_a_crest(#[case] of_room: f64) {
    let just_enough = play(1.0 / USUAL, &SHOP, None).0;
    let crest = play(of_room / USUAL, &SHOP, None).0;
    assert!(crest.goodput >= LEAST_GOODPUT * just_enough.goodput);
}

#[rstest]
#[case::half_more(1.5)]
#[case::twice(2.0)]
#[case::three_times(3.0)]
fn callers_learn_at_once_that_they_are_refused(#[case] of_room: f64) {
    let crest = play(of_room / USUAL, &SHOP, None).0;
    let told = crest.share_refused_within(TOLD_WITHIN);
    assert!(told >= LEAST_TOLD, "{told} of {}", crest.refused);
}

/// An entry refuses at most what an all-knowing queue refuses with a tenth of the room to
/// spare.
#[rstest]
#[case::all(1.0)]
#[case::half_more(1.5)]
#[case::twice(2.0)]
#[case::three_times(3.0)]
fn no_more_is_refused_than_by_an_all_knowing_queue(#[case] of_room: f64) {
    let crest = play(of_room / USUAL, &SHOP, None).0;
    let most = crest.refused_by_ideal;
    assert!(crest.refused <= most, "{} of {most}", crest.refused);
}

/// Two kinds of callers with jobs of one priority and one shape.
const TWO_CALLERS: [Kind; 2] = [
    Kind {
        name: "usual",
        priority: 1,
        width: 2.0,
        work: 200 * MS,
        cpu: 1_700.0,
        share: 0.5,
    },
    Kind {
        name: "bursting",
        priority: 1,
        width: 2.0,
        work: 200 * MS,
        cpu: 1_700.0,
        share: 0.5,
    },
];

/// Largest part of the jobs of a kind at its usual load that it loses to another's burst.
const MOST_LOST: f64 = 0.02;

/// Callers at their usual load were refused as often as those of the burst beside them.
#[test]
fn a_kind_pays_for_the_burst_of_another() {
    let calm = play(1.0, &TWO_CALLERS, None).1;
    let burst = play(4.0, &TWO_CALLERS, Some(1)).1;
    let (before, now) = (calm[0].share_completed(), burst[0].share_completed());
    assert!(now >= before - MOST_LOST, "{now} after {before}");
}

/// Jobs at the usual load were refused, though nothing waits.
#[test]
fn the_usual_load_is_not_refused() {
    let usual = play(1.0, &SHOP, None).0;
    assert_eq!(usual.refused, 0, "of {}", usual.jobs);
}
