//! Settings of the daemons, read from YAML files. A file is checked as a whole
//! before the daemon starts, and all problems are reported together.

mod address_check;
mod agent_conf;
mod byte_size;
mod checks;
mod entry_conf;
mod errors;
mod load;
mod log_conf;
mod machine_conf;
mod tls_conf;

pub use {
    agent_conf::AgentConf,
    byte_size::{ByteSize, ByteSizeError},
    entry_conf::{EntryConf, PolicyName, RequestLimits},
    errors::ConfError,
    load::{Conf, load},
    log_conf::{LogConf, LogLevel},
    machine_conf::MachineConf,
    tls_conf::TlsConf,
};
