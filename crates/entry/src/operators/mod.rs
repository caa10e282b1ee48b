//! HTTP interface for operators.

mod change_headers;
mod changes;
mod operator_handle;
mod pages;
mod request;
mod routes;

pub(crate) use {
    operator_handle::OperatorHandle,
    pages::{ContractPage, ContractsPage, EndpointPage, EndpointsPage},
    request::{OperatorReply, OperatorRequest},
    routes::{LIMITS, serve},
};
