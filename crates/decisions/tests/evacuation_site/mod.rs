//! Entries and agents that tell one another the evacuated zones, on one clock, with faults.

mod directory;
mod links;
mod site;

pub use site::Site;
