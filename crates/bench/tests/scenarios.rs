//! Runs every scenario and compares its session with the golden file.
//!
//! `UPDATE_GOLDEN=1` updates the golden files. `CHESTNUTRUN_VARIANTS` is the number
//! of variants of each scenario to run; `CHESTNUTRUN_VARIANT` is the number of a
//! single variant to run instead.

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

/// Maximum number of sites that run at once, so that the scenarios' time limits hold
/// whatever number of tests the machine runs in parallel.
const MAX_SITES: usize = 4;

/// Number of sites that are running.
static RUNNING_SITES: Mutex<usize> = Mutex::new(0);

/// Notified when a site has ended.
static SITE_ENDED: Condvar = Condvar::new();

/// Permission to run a site, released on drop.
struct SitePermit;

impl SitePermit {
    /// Waits until fewer than `MAX_SITES` sites are running.
    fn acquire() -> Self {
        let sites = RUNNING_SITES
            .lock()
            .expect("no test panics while it holds the lock");
        let mut sites = SITE_ENDED
            .wait_while(sites, |sites| *sites >= MAX_SITES)
            .expect("no test panics while it holds the lock");
        *sites += 1;
        Self
    }
}

impl Drop for SitePermit {
    fn drop(&mut self) {
        *RUNNING_SITES
            .lock()
            .expect("no test panics while it holds the lock") -= 1;
        SITE_ENDED.notify_one();
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.yaml")] path: PathBuf) {
    let name = path.file_stem().expect("a scenario file has a name");
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
    let text = fs::read_to_string(path).expect("the scenario file can be read");
    let scenario = Scenario::parse(&text).expect("the scenario file is valid");
    let _permit = SitePermit::acquire();
    let run = block_on(run_scenario(scenario, variant)).expect("the site starts");
    for figure in &run.measurements {
        println!("{name}: {figure}");
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
    let expected = fs::read_to_string(golden).expect("the golden file can be read");
    assert_eq!(
        session,
        expected,
        "the session differs from {}",
        golden.display()
    );
}

/// Returns the variants to run; variant 0 is the scenario as it is written.
fn variants() -> Range<u64> {
    let number = |name| env::var(name).ok()?.parse::<u64>().ok();
    match number("CHESTNUTRUN_VARIANT") {
        Some(variant) => variant..variant + 1,
        None => 0..number("CHESTNUTRUN_VARIANTS").unwrap_or(1),
    }
}

/// Returns true if `KNOWN-RED.txt` lists the scenario.
fn is_known_red(name: &str) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let list = fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let entry = format!("scenario {name}:");
    list.lines()
        .any(|line| line.trim_start().starts_with(&entry))
}
