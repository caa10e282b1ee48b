//! Output for people and programs.

mod line;
mod show;
mod spinner;
mod table;

pub(crate) use {
    line::show_line,
    show::{show_error, show_job, show_value},
    spinner::Spinner,
    table::show_table,
};
