//! What a site with uneven endpoints is compared with, and its failures.

mod all_knowing;
mod failures;

pub use all_knowing::all_knowing_goodput;
