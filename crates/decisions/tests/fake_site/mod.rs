//! A simulated site: the machines of a few entries and agents on a virtual clock,
//! with a fake table and fake links, callers and endpoints.

mod agent;
mod entry;
mod judge;
mod links;
mod site;
mod table;

pub use site::Site;

/// Time since the beginning of a run, or a duration, in milliseconds.
pub type Millis = u64;

/// Identifies a process of the site.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Node {
    /// An entry, by number.
    Entry(usize),
    /// An agent, by number.
    Agent(usize),
}
