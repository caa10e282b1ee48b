//! The program `chestnutrun-bench`: stand-ins, demo and measurements.

use {
    bpaf::Bpaf,
    chestnutrun_bench::{
        crowd::{self, CrowdArguments},
        demo::{self, DemoArguments},
        experiment::{self, ExperimentArguments},
        observation,
        slopes::{self, SlopesArguments},
        standins::{endpoint, table},
    },
    ntex::rt::{DefaultRuntime, System},
    std::{net::SocketAddr, process::ExitCode},
};

/// Runs the stand-ins, the demo and the measurements of chestnutrun.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command))]
enum Command {
    /// Runs a stand-in for the platform's table.
    #[bpaf(command)]
    Table {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
    },
    /// Runs a stand-in for an endpoint.
    #[bpaf(command)]
    Endpoint {
        /// Address to listen on.
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Number of slots of the endpoint.
        #[bpaf(argument("COUNT"))]
        slots: u32,
    },
    /// Starts a whole site and sends it the load of a market's opening.
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::demo_arguments))] DemoArguments),
    /// Plays clients that do not keep to the limits against a running site.
    #[bpaf(command)]
    Crowd(#[bpaf(external(crowd::crowd_arguments))] CrowdArguments),
    /// Compares placement policies on the same arrivals.
    #[bpaf(command)]
    Experiment(#[bpaf(external(experiment::experiment_arguments))] ExperimentArguments),
    /// Measures the cost that events and metrics add to each task.
    #[bpaf(command)]
    Observation,
    /// Measures how the cost of each process role grows with the site and its load.
    #[bpaf(command)]
    Slopes(#[bpaf(external(slopes::slopes_arguments))] SlopesArguments),
}

fn main() -> ExitCode {
    let command = command().run();
    let system = System::new("bench", DefaultRuntime);
    let result = system.block_on(async move {
        match command {
            Command::Table { listen } => table::run(listen).await,
            Command::Endpoint { listen, slots } => endpoint::run(listen, slots).await,
            Command::Demo(arguments) => demo::run(arguments).await,
            Command::Crowd(arguments) => crowd::run(arguments).await,
            Command::Experiment(arguments) => experiment::run(arguments).await,
            Command::Observation => observation::run(),
            Command::Slopes(arguments) => slopes::run(arguments).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutrun-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
