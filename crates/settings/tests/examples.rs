//! Loads every example of settings in the repository.

use {
    chestnutrun_settings::{AgentConf, EntryConf, load},
    rstest::rstest,
    std::path::PathBuf,
};

#[rstest]
fn an_example_loads(#[files("../../examples/**/*.yaml")] path: PathBuf) {
    let name = path.file_name().and_then(|name| name.to_str());
    let loaded = if name.is_some_and(|name| name.starts_with("entry")) {
        load::<EntryConf>(&path).map(|_| ())
    } else {
        load::<AgentConf>(&path).map(|_| ())
    };
    if let Err(error) = loaded {
        panic!("{error}");
    }
}
