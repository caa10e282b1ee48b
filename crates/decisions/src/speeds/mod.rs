//! Speeds of endpoints, learned from the run times of tasks: at the agent those of its
//! endpoint, at entries all endpoints of a service in comparison.

mod run_window;
mod service_speeds;
mod speed_learner;

pub use speed_learner::SpeedLearner;

pub(crate) use {
    service_speeds::{ServiceSpeeds, SpeedSample},
    speed_learner::is_speed_news,
};
