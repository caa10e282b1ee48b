//! Commands for operators.

mod change_contract;
mod check_config;
mod check_contracts;
mod contracts;
mod drain;
mod explain;
mod gather;
mod in_force;
mod status;
mod timeline;

pub(crate) use {
    change_contract::{change_contract, create_contract},
    check_config::check_config,
    contracts::{list_contracts, show_contract, show_history},
    drain::{drain, undrain},
    explain::explain,
    status::status,
    timeline::timeline,
};
