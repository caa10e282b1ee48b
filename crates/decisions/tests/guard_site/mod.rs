//! A guard with a clean endpoint and one entry, and the orders that it sends.

mod agent;

pub use agent::{
    announcement, assign_one, assignment, guard_with_runs, later, list_sent_at, lists, starts,
    usable_guard,
};
