//! Stages of an agent's link to an owner.

/// Stage of an agent's link to an owner, in ascending order: each stage requires
/// the one before.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum AgentStage {
    /// No link is open.
    #[default]
    Disconnected,
    /// A link is open.
    Linked,
    /// The agent refuses the orders of earlier ownerships.
    Fenced,
    /// The agent may start tasks under this ownership.
    Leased,
}
