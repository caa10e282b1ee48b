//! Compares placement policies on the same arrivals.

mod arguments;
mod arrivals;
mod decisions_run;
mod experiment_conf;
mod fake_slots;
mod ideal;
mod measures;
mod plots;
mod policy_kind;
mod real_run;
mod report;
mod run_experiment;
mod site_messages;

pub use {
    arguments::{ExperimentArguments, experiment_arguments},
    arrivals::{Arrival, ArrivingTask, generate_arrivals, select_arrivals},
    decisions_run::DecisionsRun,
    experiment_conf::{
        BurstConf, CancelConf, ContractConf, ExperimentConf, FaultConf, FaultKind, MixConf,
        SiteConf, Variant,
    },
    fake_slots::{FakeSlots, RunningTask},
    ideal::Ideal,
    measures::{GroupKey, Measures, ResponseTimes, Window},
    policy_kind::PolicyKind,
    real_run::RealRun,
    report::{GroupReport, Report, RunReport},
    run_experiment::run,
};
