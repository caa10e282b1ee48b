//! Binary of the entry daemon.

use {
    chestnutrun_entry::{Arguments, run},
    ntex::rt::{DefaultRuntime, System},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let system = System::new("entry", DefaultRuntime);
    match system.block_on(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutrun-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
