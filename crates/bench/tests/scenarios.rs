//! Runs every scenario and compares its session with the golden file.
//!
//! `UPDATE_GOLDEN=1` writes the golden files; `CHESTNUTRUN_VARIANTS` runs so
//! many variants of each scenario, and `CHESTNUTRUN_VARIANT` one of them.

use {
    chestnutrun_bench::{
        scenario::{Scenario, run_scenario},
        site::block_on,
    },
    rstest::rstest,
    std::{
        env, fs,
        ops::Range,
        path::{Path, PathBuf},
        sync::{Condvar, Mutex},
    },
};

/// Most sites at once, so that bounds on time do not depend on the machine.
const MAX_SITES: usize = 4;

/// Sites that run now.
static SITES: Mutex<usize> = Mutex::new(0);

/// Tells that a site ended.
static SITE_ENDED: Condvar = Condvar::new();

/// Leave to bring up a site.
struct Leave;

impl Leave {
    fn take() -> Self {
        let sites = SITES.lock().expect("no test holds the lock and fails");
        let mut sites = SITE_ENDED
            .wait_while(sites, |sites| *sites >= MAX_SITES)
            .expect("no test holds the lock and fails");
        *sites += 1;
        Self
    }
}

impl Drop for Leave {
    fn drop(&mut self) {
        *SITES.lock().expect("no test holds the lock and fails") -= 1;
        SITE_ENDED.notify_one();
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.yaml")] path: PathBuf) {
    let name = path.file_stem().expect("a file has a name");
    let name = name.to_string_lossy().into_owned();
    if is_known_red(&name) {
        println!("{name}: known red, passed over");
        return;
    }
    for variant in variants() {
        run_once(&name, &path, variant);
    }
}

fn run_once(name: &str, path: &Path, variant: u64) {
    let text = fs::read_to_string(path).expect("the file can be read");
    let scenario = Scenario::parse(&text).expect("the file is a scenario");
    let _leave = Leave::take();
    let run = block_on(run_scenario(scenario, variant)).expect("the site comes up");
    for measurement in &run.measurements {
        println!("{name}: {measurement}");
    }
    if let Err(error) = run.result {
        panic!("{name}, variant {variant}: {error}\n{}", run.transcript);
    }
    compare(&path.with_extension("golden"), &run.transcript.to_string());
}

fn compare(golden: &Path, session: &str) {
    if env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(golden, session).expect("the golden file can be written");
        return;
    }
    let expected = fs::read_to_string(golden).expect("there is a golden file");
    assert_eq!(session, expected, "{} differs", golden.display());
}

/// Returns the variants to run; variant 0 is the scenario as it is written.
fn variants() -> Range<u64> {
    let number = |name| env::var(name).ok()?.parse::<u64>().ok();
    match number("CHESTNUTRUN_VARIANT") {
        Some(variant) => variant..variant + 1,
        None => 0..number("CHESTNUTRUN_VARIANTS").unwrap_or(1),
    }
}

/// Whether the list of known faults names the scenario.
fn is_known_red(name: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let list = fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let entry = format!("scenario {name}:");
    list.lines()
        .any(|line| line.trim_start().starts_with(&entry))
}
