//! Merges the timelines of several processes into one.

mod causes;
mod filter;
mod order;
mod text;
mod trace_file;

pub use {
    filter::{EventFilter, EventFilterBuilder},
    order::{CausedEvent, EventRef, order},
    text::event_line,
    trace_file::trace_file,
};
