//! What the machine allows a process.

use {
    crate::{ByteSize, checks},
    rustix::{
        process::{Resource, getrlimit},
        system::sysinfo,
    },
    serde::{Deserialize, Serialize},
};

/// Least memory: what a process takes by itself, and as much for its clients.
const MIN_MEMORY: ByteSize = ByteSize::mebibytes(48);

/// Least descriptors: some for each kind of peer.
const MIN_DESCRIPTORS: usize = 128;

/// Descriptors that a process opens by itself: its logs, signals, listeners and event loop.
const OWN_DESCRIPTORS: usize = 32;

/// What the machine allows a process. What is not set is read at start: the memory of the
/// machine, and the limit of the process for descriptors.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineConf {
    /// Memory that the process may take.
    pub memory: Option<ByteSize>,
    /// Descriptors that the process may open.
    pub descriptors: Option<usize>,
}

impl MachineConf {
    /// Returns the memory that the process may take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.memory.map_or_else(machine_memory, ByteSize::bytes)
    }

    /// Returns how many sockets the process may open for its peers.
    #[must_use]
    pub fn sockets(&self) -> usize {
        let descriptors = self.descriptors.unwrap_or_else(descriptor_limit);
        descriptors.saturating_sub(OWN_DESCRIPTORS)
    }

    /// Adds a problem for each value that is too low.
    pub(crate) fn check(&self, problems: &mut Vec<String>) {
        if let Some(memory) = self.memory.filter(|memory| *memory < MIN_MEMORY) {
            problems.push(format!(
                "machine.memory: {memory} is too low; accepted: {MIN_MEMORY} or more"
            ));
        }
        if let Some(descriptors) = self.descriptors {
            let key = "machine.descriptors";
            checks::at_least(problems, key, MIN_DESCRIPTORS, descriptors);
        }
    }
}

/// Returns the memory of the machine, in bytes.
fn machine_memory() -> usize {
    let info = sysinfo();
    let memory = usize::try_from(info.totalram).unwrap_or(usize::MAX);
    let unit = usize::try_from(info.mem_unit).unwrap_or(1);
    memory.saturating_mul(unit.max(1))
}

/// Returns how many descriptors the process may open.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}
