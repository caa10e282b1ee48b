//! Links between the dispatcher's processes, and HTTP listeners, both on the
//! process's single event loop.

mod body;
mod closings;
mod errors;
mod http;
mod intake;
mod intakes;
mod link;
mod link_client;
mod link_intake;
mod link_server;
mod not_sent;
mod read_bound;
mod request_fault;
mod tls;

pub use {
    body::{BodyFault, BodyLimits, collect_body, discard_body},
    closings::ClosingCause,
    errors::LinkError,
    http::{HttpLimits, ServeConf, http_config, serve_http, serve_http_with, serve_http_within},
    intake::{RequestService, SharedIntake},
    intakes::Intakes,
    link::{Link, LinkEvent, LinkId, LinkIds, LinkTiming, PeerName},
    link_client::{Dialer, DialerConf},
    link_intake::LinkIntake,
    link_server::{LinkServerConf, serve_links},
    not_sent::was_not_sent,
    request_fault::{FaultResponse, RequestFault},
    tls::{TlsError, tls_config},
};
