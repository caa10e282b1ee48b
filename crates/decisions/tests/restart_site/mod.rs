//! An endpoint that started again under its id.

mod second_life;

pub use second_life::SecondLife;
