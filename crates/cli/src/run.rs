//! Runs commands.

use {
    crate::{
        CliError, Outcome,
        arguments::{Command, ContractCommand},
        callers, operators,
        output::show_error,
    },
    std::io::{IsTerminal, stdout},
};

/// Environment variable that turns colours off if it is not empty.
const NO_COLOR: &str = "NO_COLOR";

/// Runs a command, prints its error if it fails, and returns its exit code.
pub async fn run(command: Command) -> Outcome {
    let allows_colors = std::env::var_os(NO_COLOR).is_none_or(|value| value.is_empty());
    console::set_colors_enabled(allows_colors && stdout().is_terminal());
    let as_json = command.wants_json();
    match run_command(command).await {
        Ok(outcome) => outcome,
        Err(error) => {
            show_error(&error, as_json);
            error.outcome()
        }
    }
}

impl Command {
    fn wants_json(&self) -> bool {
        match self {
            Self::Submit { common, .. }
            | Self::Result { common, .. }
            | Self::Cancel { common, .. }
            | Self::Drain { common, .. }
            | Self::Undrain { common, .. }
            | Self::Status { common, .. }
            | Self::Timeline { common, .. } => common.json,
            Self::Contract(command) => command.wants_json(),
            Self::CheckConfig(options) => options.json,
            Self::Explain(_) => false,
        }
    }
}

impl ContractCommand {
    fn wants_json(&self) -> bool {
        match self {
            Self::List { common, .. }
            | Self::Show { common, .. }
            | Self::History { common, .. }
            | Self::Create { common, .. }
            | Self::Change { common, .. } => common.json,
        }
    }
}

async fn run_command(command: Command) -> Result<Outcome, CliError> {
    match command {
        Command::Submit {
            caller,
            common,
            key,
            wait,
            source,
        } => callers::submit(caller, &common, key, *wait, source).await,
        Command::Result {
            caller,
            common,
            wait,
            key,
        } => callers::result(caller, &common, &key, *wait).await,
        Command::Cancel {
            caller,
            common,
            key,
        } => callers::cancel(caller, &common, &key).await,
        Command::Contract(command) => run_contract_command(command).await,
        Command::Drain {
            operator,
            common,
            endpoint,
        } => operators::drain(operator, &common, &endpoint).await,
        Command::Undrain {
            operator,
            common,
            endpoint,
        } => operators::undrain(operator, &common, &endpoint).await,
        Command::Status { operator, common } => operators::status(operator, &common).await,
        Command::Timeline {
            operator,
            common,
            options,
        } => operators::timeline(operator, &common, options).await,
        Command::Explain(options) => operators::explain(&options),
        Command::CheckConfig(options) => operators::check_config(&options),
    }
}

async fn run_contract_command(command: ContractCommand) -> Result<Outcome, CliError> {
    match command {
        ContractCommand::List { operator, common } => {
            operators::list_contracts(operator, &common).await
        }
        ContractCommand::Show {
            operator,
            common,
            contract,
        } => operators::show_contract(operator, &common, &contract).await,
        ContractCommand::History {
            operator,
            common,
            contract,
        } => operators::show_history(operator, &common, &contract).await,
        ContractCommand::Create {
            operator,
            common,
            terms,
            contract,
        } => operators::create_contract(operator, &common, terms, contract).await,
        ContractCommand::Change {
            operator,
            common,
            terms,
            revision,
            contract,
        } => operators::change_contract(operator, &common, terms, contract, revision).await,
    }
}
