//! Binary of the agent daemon.

use {
    chestnutrun_agent::{Arguments, run},
    chestnutrun_observe::report_error,
    ntex::rt::{DefaultRuntime, System},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let system = System::new("agent", DefaultRuntime);
    match system.block_on(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report_error(&format!("chestnutrun-agent: {error}"));
            ExitCode::FAILURE
        }
    }
}
