//! Error messages about wrong settings.

use {
    chestnutrun_settings::{AgentConf, ByteSize, Conf, EntryConf, load},
    rstest::rstest,
    std::{
        fs,
        path::PathBuf,
        sync::atomic::{AtomicU32, Ordering},
    },
};

const ENTRY: &str = include_str!("../../../examples/entry.yaml");
const AGENT: &str = include_str!("../../../examples/agent.yaml");

/// Number of the next file. Tests run in parallel, so each uses its own file.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// Loads an example with one text replaced and returns the error message.
fn problem<C: Conf>(name: &str, example: &str, from: &str, to: &str) -> String {
    assert!(example.contains(from), "the example has no {from}");
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let file = format!(
        "chestnutrun-settings-{}-{number}-{name}.yaml",
        std::process::id()
    );
    let path: PathBuf = std::env::temp_dir().join(file);
    fs::write(&path, example.replacen(from, to, 1)).expect("the file can be written");
    let loaded = load::<C>(&path);
    fs::remove_file(&path).expect("the file can be removed");
    let text = loaded
        .err()
        .expect("loading the changed example fails")
        .to_string();
    assert!(text.contains(&path.display().to_string()), "{text}");
    text
}

#[rstest]
#[case::key("shards: 1", "colour: 1", &["line 47 column 1", "unknown field `colour`", "expected one of"])]
#[case::unit("stop_within: 30s", "stop_within: 30", &["line 62", "expected a duration"])]
#[case::size("body_size: 8MiB", "body_size: 8", &["line 52", "`8MiB`", "not `8`"])]
#[case::address("\"10.0.1.1:7400\"", "somewhere", &["line 12", "socket address"])]
#[case::level("level: info", "level: loud", &["line 66", "loud", "debug"])]
#[case::twice("zone: zone-a", "name: entry-2", &["line 9", "name"])]
#[case::missing("zone: zone-a", "", &["missing field `zone`"])]
#[case::same_address("callers: \"10.0.1.1:7400\"", "callers: \"10.0.1.1:7401\"", &["operators: 10.0.1.1:7401 is taken by callers"])]
#[case::any_address("announced_inner: \"10.0.1.1:7402\"", "announced_inner: \"0.0.0.0:7402\"", &["announced_inner: 0.0.0.0:7402 cannot be connected to", "accepted"])]
#[case::no_port("10.0.9.1:7500", "10.0.9.1:0", &["table: 10.0.9.1:0 has port 0"])]
#[case::zero("shards: 1", "shards: 0", &["shards: 0 is too low; accepted: 1 or more"])]
#[case::name("name: entry-1", "name: \"a b\"", &["name: `a b`", "accepted"])]
#[case::range("head_timeout: 5s", "head_timeout: 1ms", &["limits.head_timeout: 1ms is out of range; accepted: 1s to 600s"])]
#[case::memory("memory: 1GiB", "memory: 16MiB", &["machine.memory: 16MiB is too low; accepted: 48MiB or more"])]
#[case::descriptors("descriptors: 8192", "descriptors: 64", &["machine.descriptors: 64 is too low; accepted: 128 or more"])]
fn a_wrong_entry_is_explained(#[case] from: &str, #[case] to: &str, #[case] expected: &[&str]) {
    let name = format!("{}-{}", from.len(), to.len());
    let text = problem::<EntryConf>(&name, ENTRY, from, to);
    for part in expected {
        assert!(text.contains(part), "{part:?} is not in {text}");
    }
}

#[rstest]
#[case::connections(
    "connections: 64",
    "connections: 4",
    "connections: 4 is too low; accepted: 8 or more"
)]
#[case::entry_twice(
    "10.0.1.2:7402",
    "10.0.1.1:7402",
    "entries: 10.0.1.1:7402 is taken by entries"
)]
#[case::endpoint(
    "\"10.0.2.1:8000\"",
    "\"0.0.0.0:8000\"",
    "endpoint_address: 0.0.0.0:8000 cannot"
)]
fn a_wrong_agent_is_explained(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let name = format!("agent-{}-{}", from.len(), to.len());
    let text = problem::<AgentConf>(&name, AGENT, from, to);
    assert!(text.contains(expected), "{expected:?} is not in {text}");
}

#[rstest]
fn every_problem_is_named() {
    let text = problem::<EntryConf>(
        "every",
        ENTRY,
        "name: entry-1",
        "name: \"\"\nstop_within: 0s",
    );
    assert!(
        text.contains("duplicate") || text.lines().count() > 1,
        "{text}"
    );
    let example = ENTRY.replace("shards: 1", "shards: 0");
    let text = problem::<EntryConf>("two", &example, "10.0.9.1:7500", "0.0.0.0:0");
    assert_eq!(text.lines().count(), 3, "{text}");
}

#[rstest]
#[case("0B", 0)]
#[case("512B", 512)]
#[case("3kB", 3_000)]
#[case("8MiB", 8 << 20)]
#[case("1GiB", 1 << 30)]
fn a_size_is_read_and_written(#[case] text: &str, #[case] bytes: usize) {
    let size: ByteSize = text.parse().expect("the text is a valid size");
    assert_eq!(size.bytes(), bytes);
    assert_eq!(size.to_string(), text);
}

#[rstest]
#[case("8")]
#[case("MiB")]
#[case("8 mebibytes")]
#[case("-1B")]
#[case("99999999999999999999GiB")]
#[case("99999999999GiB")]
fn a_size_needs_a_number_and_a_unit(#[case] text: &str) {
    assert!(text.parse::<ByteSize>().is_err());
}
