//! Binary of the agent daemon.

use {
    chestnutrun_agent::{Arguments, run},
    ntex::rt::{DefaultRuntime, System},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let system = System::new("agent", DefaultRuntime);
    match system.block_on(run(arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutrun-agent: {error}");
            ExitCode::FAILURE
        }
    }
}
