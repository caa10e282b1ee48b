//! A simulated agent: its machine, and the links that its daemon would keep.

use {
    super::links::FakeLinkId,
    chestnutrun_decisions::agent::{AgentConf, AgentInput, AgentMachine, AgentMessage},
    chestnutrun_protocol::{Hello, Message},
    chestnutrun_types::{AgentHello, EntryId, Incarnation},
    indexmap::IndexMap,
};

/// Slots of each endpoint.
const SLOTS: u32 = 3;

/// An agent of the simulated site.
#[derive(Debug)]
pub struct FakeAgent {
    /// The announcement that the agent sends on each new link.
    pub hello: AgentHello,
    /// The machine under test.
    pub machine: AgentMachine,
    entries_by_link: IndexMap<FakeLinkId, EntryId>,
    links_by_entry: IndexMap<EntryId, FakeLinkId>,
}

impl FakeAgent {
    /// Creates a new run of the agent with this number.
    pub fn new(number: usize, incarnation: Incarnation) -> Self {
        Self {
            hello: AgentHello {
                endpoint: format!("endpoint-{number}").into(),
                incarnation,
                shard: 0,
                slots: SLOTS,
                zone: "zone".into(),
                leaving: false,
            },
            machine: AgentMachine::new(AgentConf {
                shard: 0,
                slots: SLOTS,
            }),
            entries_by_link: IndexMap::new(),
            links_by_entry: IndexMap::new(),
        }
    }

    /// Returns the newest link to an entry.
    pub fn link_to(&self, entry: &EntryId) -> Option<FakeLinkId> {
        self.links_by_entry.get(entry).copied()
    }

    /// Removes a closed link; returns the input for the machine, unless a newer link
    /// to the same entry is open.
    pub fn link_down(&mut self, link: FakeLinkId) -> Option<AgentInput> {
        let entry = self.entries_by_link.swap_remove(&link)?;
        if self.links_by_entry.get(&entry) != Some(&link) {
            return None;
        }
        self.links_by_entry.swap_remove(&entry);
        Some(AgentInput::LinkDown(entry))
    }

    /// Translates a received message to an input for the machine. The entry's
    /// announcement also registers the link.
    pub fn message(&mut self, link: FakeLinkId, message: Message) -> Option<AgentInput> {
        if let Message::Hello(Hello::Entry(member)) = message {
            self.entries_by_link.insert(link, member.entry.clone());
            self.links_by_entry.insert(member.entry.clone(), link);
            return Some(AgentInput::LinkUp(member.entry));
        }
        let entry = self.entries_by_link.get(&link)?.clone();
        Some(match message {
            Message::Confirmation(confirmation) => AgentInput::Confirmed(entry, confirmation),
            Message::Fence(fence) => AgentInput::Fence(entry, fence),
            Message::Start(start) => AgentInput::Start(entry, start),
            Message::Lookup(lookup) => AgentInput::Lookup(entry, lookup),
            _ => return None,
        })
    }
}

/// Translates a message of the agent machine to the wire message.
pub fn to_wire(message: AgentMessage) -> Message {
    match message {
        AgentMessage::Confirm(confirm) => Message::Confirm(confirm),
        AgentMessage::FenceReply(reply) => Message::FenceReply(reply),
        AgentMessage::StartRefused(refused) => Message::StartRefused(refused),
        AgentMessage::Finished(finished) => Message::Finished(finished),
        AgentMessage::LookupReply(reply) => Message::LookupReply(reply),
    }
}
