//! Binary of the entry daemon.

use {
    chestnutrun_entry::{Arguments, run},
    chestnutrun_observe::report_error,
    ntex::rt::{DefaultRuntime, System},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let system = System::new("entry", DefaultRuntime);
    match system.block_on(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report_error(&format!("chestnutrun-entry: {error}"));
            ExitCode::FAILURE
        }
    }
}
