//! Parses the command line and runs the command.

use {
    chestnutrun_cli::{Outcome, arguments, run},
    ntex::rt::{DefaultRuntime, System},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let command = match arguments::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH);
            return match failure.exit_code() {
                0 => Outcome::Done.into(),
                _ => Outcome::WrongUsage.into(),
            };
        }
    };
    System::new("chestnutrun", DefaultRuntime)
        .block_on(run(command))
        .into()
}

/// Width of help and usage messages, in characters.
const MESSAGE_WIDTH: usize = 100;
