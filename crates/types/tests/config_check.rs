//! Guards against a configuration that is sent although a part of it can never have an
//! effect, or although its limits contradict one another.

use {
    chestnutrun_types::{
        ConfigProblem, Configuration, Contract, Overflow, Route, RoutingTable, ServiceId, Severity,
    },
    indexmap::{IndexMap, IndexSet},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

fn route(id: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        id: id.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        service: "desk".into(),
        priority: 1,
        attempts: 4,
        stretch: 1.6,
        target_latency: Duration::from_millis(60),
        timeout: Some(Duration::from_millis(1_500)),
        needs_advice: false,
    }
}

fn table(version: u64, routes: impl IntoIterator<Item = Route>) -> RoutingTable {
    let routes = routes.into_iter();
    RoutingTable {
        version,
        routes: routes.map(|r| (r.id.clone(), Arc::new(r))).collect(),
        max_body_bytes: 262_144,
    }
}

fn places(problems: &[ConfigProblem]) -> Vec<(Severity, &str)> {
    let problems = problems.iter();
    problems.map(|p| (p.severity, p.place.as_str())).collect()
}

#[rstest]
fn a_sound_table_has_no_problems() {
    let services = IndexSet::from([ServiceId::from("desk")]);
    let table = table(
        1,
        [
            route("a", "h.example", "/a/"),
            route("b", "h.example", "/a/b/"),
        ],
    );
    let report = table.check(Some(&services), None);
    assert_eq!(report.problems, []);
    assert!(report.changes.is_empty());
}

#[rstest]
#[case::without_slash("h.example", "a/", "routes.r.path_prefix")]
#[case::without_host("", "/a/", "routes.r.host")]
#[case::host_with_port("h.example:80", "/a/", "routes.r.host")]
fn a_route_that_matches_no_request_is_an_error(
    #[case] host: &str,
    #[case] path_prefix: &str,
    #[case] place: &str,
) {
    let report = table(1, [route("r", host, path_prefix)]).check(None, None);
    assert_eq!(places(&report.problems), [(Severity::Error, place)]);
    assert!(report.has_errors());
}

#[rstest]
fn the_earlier_of_two_routes_with_one_prefix_never_matches() {
    let (first, second) = (
        route("a", "h.example", "/a/"),
        route("b", "h.example", "/a/"),
    );
    let table = table(1, [first, second]);
    let found = table.find("h.example", "/a/00").map(|route| &*route.id);
    assert_eq!(found, Some("b"), "the check follows what routing does");
    let report = table.check(None, None);
    assert_eq!(
        places(&report.problems),
        [(Severity::Error, "routes.a.path_prefix")]
    );
}

#[rstest]
fn longer_prefixes_that_take_all_ids_shadow_a_route_whole() {
    let digits = "0123456789abcdef".chars();
    let longer = digits.map(|d| route(&format!("r{d}"), "h.example", &format!("/a/{d}")));
    let all: Vec<Route> = [route("a", "h.example", "/a/")]
        .into_iter()
        .chain(longer)
        .collect();
    let report = table(1, all.clone()).check(None, None);
    assert_eq!(
        places(&report.problems),
        [(Severity::Error, "routes.a.path_prefix")]
    );
    let report = table(1, all.into_iter().take(2)).check(None, None);
    assert_eq!(
        places(&report.problems),
        [(Severity::Warning, "routes.a.path_prefix")]
    );
    assert!(report.problems[0].text.contains("6.250%"), "{report}");
}

#[rstest]
fn limits_that_contradict_one_another_are_told() {
    let mut odd = route("r", "h.example", "/r/");
    odd.timeout = Some(Duration::from_millis(40));
    odd.stretch = 0.5;
    odd.attempts = 0;
    odd.service = "gone".into();
    let services = IndexSet::from([ServiceId::from("desk")]);
    let report = table(1, [odd]).check(Some(&services), None);
    let expected = [
        (Severity::Warning, "routes.r.timeout"),
        (Severity::Warning, "routes.r.stretch"),
        (Severity::Warning, "routes.r.attempts"),
        (Severity::Error, "routes.r.service"),
    ];
    assert_eq!(places(&report.problems), expected);
}

#[rstest]
fn a_table_without_room_for_a_body_is_refused() {
    let mut table = table(1, []);
    assert_eq!(table.fault(), None);
    table.max_body_bytes = 0;
    assert!(table.fault().is_some());
}

#[rstest]
fn differences_name_the_entry_and_both_values() {
    let (kept, gone) = (
        route("a", "h.example", "/a/"),
        route("b", "h.example", "/b/"),
    );
    let in_force = table(3, [kept.clone(), gone]);
    let changed = Route {
        priority: 0,
        timeout: None,
        ..kept
    };
    let next = table(4, [changed, route("c", "h.example", "/c/")]);
    let shown = next.check(None, Some(&in_force)).to_string();
    let expected = "changed: version: 3 -> 4\n\
        changed: routes.a.priority: 1 -> 0\n\
        changed: routes.a.timeout: 1500 ms -> none\n\
        removed: routes.b (host h.example, path_prefix /b/, service desk, priority 1, \
        attempts 4, stretch 1.6, target_latency 60 ms, timeout 1500 ms, advice false)\n\
        added: routes.c (host h.example, path_prefix /c/, service desk, priority 1, \
        attempts 4, stretch 1.6, target_latency 60 ms, timeout 1500 ms, advice false)\n\
        0 problems, 5 changes";
    assert_eq!(shown, expected);
    let report = in_force.check(None, Some(&next));
    assert_eq!(places(&report.problems), [(Severity::Error, "version")]);
}

#[rstest]
fn a_limit_beyond_the_sites_slots_is_told() {
    let contract = Contract::builder("letters")
        .in_flight_limit(90)
        .queue_limit(0)
        .overflow(Overflow::Queue)
        .token_hash("0".repeat(64))
        .build()
        .unwrap();
    let configuration = Configuration {
        contracts: IndexMap::from([("letters".into(), contract)]),
        ..Configuration::default()
    };
    let report = configuration.check(Some(88), Some(&Configuration::default()));
    let expected = [
        (Severity::Warning, "contracts.letters.in_flight_limit"),
        (Severity::Warning, "contracts.letters.queue_limit"),
    ];
    assert_eq!(places(&report.problems), expected);
    assert_eq!(report.changes.len(), 1);
    assert!(configuration.check(Some(90), None).problems.len() == 1);
}
