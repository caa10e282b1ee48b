//! Tests of when a guard takes a run at its endpoint for over.

#[path = "../guard_site/mod.rs"]
mod guard_site;
mod leases;
mod restarts;
mod second_life;
mod slow_site;
