//! Links of a process to entries, as the overlay decides them.

use {
    crate::entry_dialers::EntryDialers,
    chestnutrun_decisions::overlay::{
        OverlayAction, OverlayConf, OverlayInput, OverlayMachine, PeerLink,
    },
    chestnutrun_net::{LinkId, PeerName},
    chestnutrun_types::{EntryId, Member, MemberList, Now},
};

/// What the loop of the process has to do for the overlay.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OverlayEffect {
    /// Send a list on a link.
    Send(PeerLink, MemberList),
    /// Offer this entry nothing more.
    Withdraw(EntryId),
    /// Offer this entry work again.
    Restore(EntryId),
}

/// Links of a process to entries, as the overlay decides them.
#[derive(Debug)]
pub(crate) struct OverlayLinks {
    machine: OverlayMachine,
    dialers: EntryDialers,
}

impl OverlayLinks {
    pub(crate) fn new(conf: OverlayConf, dialers: EntryDialers) -> Self {
        Self {
            machine: OverlayMachine::new(conf),
            dialers,
        }
    }

    /// Handles an input: opens and closes links, and returns what is left to do.
    #[must_use]
    pub(crate) fn handle(&mut self, input: OverlayInput) -> Vec<OverlayEffect> {
        let mut effects = Vec::new();
        for action in self.machine.handle(Now::read(), input) {
            match action {
                OverlayAction::Dial(address) => self.dialers.dial(address),
                OverlayAction::HangUp(address) => self.dialers.hang_up(address),
                OverlayAction::Send(link, list) => effects.push(OverlayEffect::Send(link, list)),
                OverlayAction::Withdraw(entry) => effects.push(OverlayEffect::Withdraw(entry)),
                OverlayAction::Restore(entry) => effects.push(OverlayEffect::Restore(entry)),
            }
        }
        effects
    }

    /// Returns the input for a link that opened.
    pub(crate) fn opened(link: LinkId, peer: &PeerName) -> OverlayInput {
        OverlayInput::LinkOpened(link, EntryDialers::address_of(peer))
    }

    /// Returns the input for a list that a peer sent, without entries that cannot
    /// be linked to.
    pub(crate) fn received(link: LinkId, mut list: MemberList) -> OverlayInput {
        list.members = checked(list.members);
        OverlayInput::Received(link, list)
    }

    /// Returns the input for the registered entries, without entries that cannot be
    /// linked to.
    pub(crate) fn registered(members: Vec<Member>) -> OverlayInput {
        OverlayInput::Registered(checked(members))
    }

    /// Returns whether a link to an entry is open.
    pub(crate) fn has_entry_link(&self) -> bool {
        self.machine.has_entry_link()
    }

    /// Returns the number of other entries that are known.
    pub(crate) fn known_entries(&self) -> usize {
        self.machine.members().count()
    }

    /// Returns the entries whose links are closed once their work here is done.
    pub(crate) fn withdrawn(&self) -> Vec<EntryId> {
        self.machine.withdrawn()
    }

    /// Closes every link that this process opened.
    pub(crate) fn close(self) {
        self.dialers.close();
    }
}

/// Returns the entries that can be linked to; logs the others.
fn checked(members: Vec<Member>) -> Vec<Member> {
    let mut members = members;
    members.retain(|member| match member.check() {
        Ok(()) => true,
        Err(error) => {
            log::warn!("ignored an entry of a list: {error}");
            false
        }
    });
    members
}
