//! The links that a process keeps to entries: which entries exist, and which of
//! them this process dials.
//!
//! Each process keeps a bounded number of links, so that its cost does not grow
//! with the number of processes. Entries pass on changes of the membership as
//! differences; whole lists are sent only where digests differ.

mod dialed_peer;
mod exchange;
mod link_choice;
mod member_view;
mod messages;
mod open_link;
mod overlay_machine;
mod peer_order;
mod ring_order;
mod zone_order;

pub use {
    member_view::MemberView,
    messages::{OverlayAction, OverlayConf, OverlayInput, PeerLink},
    overlay_machine::OverlayMachine,
    peer_order::{PeerOrder, Tier},
    ring_order::RingOrder,
    zone_order::ZoneOrder,
};
