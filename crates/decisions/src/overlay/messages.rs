//! Settings, inputs and actions of the overlay.

use {
    crate::overlay::PeerOrder,
    chestnutrun_types::{EntryId, Member, MemberList},
    std::net::SocketAddr,
};

/// Number of an open link, unique within the process.
pub type PeerLink = u64;

/// Settings of an [`OverlayMachine`](crate::overlay::OverlayMachine).
#[derive(Debug)]
pub struct OverlayConf {
    /// This entry; none for an agent.
    pub me: Option<Member>,
    /// Addresses that are dialed while no other entry is linked.
    pub seeds: Vec<SocketAddr>,
    /// Chooses the entries to link to.
    pub order: Box<dyn PeerOrder>,
}

/// An input of the overlay.
#[derive(Clone, Debug, PartialEq)]
pub enum OverlayInput {
    /// A link opened; the address is known if this process dialed it.
    LinkOpened(PeerLink, Option<SocketAddr>),
    /// The entry at the other end of a link identified itself.
    PeerNamed(PeerLink, Member),
    /// A link closed.
    LinkClosed(PeerLink),
    /// A list of entries that are registered.
    Registered(Vec<Member>),
    /// A peer sent changes, its whole list or the digest of its list.
    Received(PeerLink, MemberList),
    /// The settings name other seeds.
    SeedsChanged(Vec<SocketAddr>),
    /// No work of an entry is left at this process, after
    /// [`OverlayAction::Withdraw`].
    Drained(EntryId),
    /// This entry is about to exit.
    Leave,
    /// Time passed.
    Tick,
}

/// An action that the overlay asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum OverlayAction {
    /// Keep a link open to this address.
    Dial(SocketAddr),
    /// Close the link to this address and do not open it again.
    HangUp(SocketAddr),
    /// Send a list on a link.
    Send(PeerLink, MemberList),
    /// Offer this entry nothing more: its link is about to be closed.
    Withdraw(EntryId),
    /// Offer this entry work again: its link stays open.
    Restore(EntryId),
}
