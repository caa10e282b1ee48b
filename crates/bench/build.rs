//! Rebuilds the tests when a scenario is added or removed.

fn main() {
    println!("cargo::rerun-if-changed=tests/scenarios");
}
