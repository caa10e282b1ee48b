//! Demand for the room of a site, and what its endpoints serve of it.
//!
//! Entries tell the agents that they are linked to what waits there, agents return the
//! sum, and each entry estimates from it how long a job waits.

mod accepted_work;
mod demand_teller;
mod forecast;
mod known_demand;
mod own_queue;
mod site_view;
mod work_rate;

pub(crate) use {
    accepted_work::AcceptedWork,
    demand_teller::DemandTeller,
    forecast::{CERTAIN_PART, Forecast, SURE_PART},
    known_demand::KnownDemand,
    own_queue::{OwnQueue, OwnWork},
    site_view::{SiteView, Supply},
    work_rate::WorkRate,
};
