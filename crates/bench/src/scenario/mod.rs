//! Scenarios: files with steps that act on a site and check its answers.

mod calls;
mod errors;
mod expectations;
mod faults;
mod hostile;
mod operators;
mod run_scenario;
mod runner;
mod scenario_file;
mod step;
mod submission;
mod transcript;
mod verify;
mod waits;

pub use {
    errors::ScenarioError,
    run_scenario::{ScenarioRun, run_scenario},
    scenario_file::{ClosingChecks, ContractPlan, Scenario, SiteSize},
    step::{
        AskStep, EndpointStep, ExpectStep, HostileInput, HostileStep, InForceStep, OperateStep,
        Port, RaceStep, RelinkedStep, ServingStep, StartedStep, Step, SubmitStep,
    },
    submission::{CallKind, CallResult, Submission},
    transcript::Transcript,
};
