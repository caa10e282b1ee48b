//! Resources of endpoints and tasks.

use serde::{Deserialize, Serialize};

/// Resources of an endpoint, or those that a task needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether these resources are enough for `need`.
    #[must_use]
    pub fn fits(self, need: Self) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Returns the sum of `self` and `other`, saturating.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns `self` without `other`; a resource of which `other` has more
    /// becomes 0.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns half of each resource, rounded down.
    #[must_use]
    pub fn half(self) -> Self {
        Self {
            cpu_millis: self.cpu_millis / 2,
            memory_mb: self.memory_mb / 2,
            accelerators: self.accelerators / 2,
        }
    }

    /// Returns how many tasks that need `need` each fit, at most `most`.
    #[must_use]
    pub fn count(self, need: Self, most: u16) -> u16 {
        let per_resource =
            |available: u32, need: u32| available.checked_div(need).unwrap_or(u32::MAX);
        let count = per_resource(self.cpu_millis, need.cpu_millis)
            .min(per_resource(self.memory_mb, need.memory_mb))
            .min(per_resource(self.accelerators, need.accelerators));
        u16::try_from(count).unwrap_or(u16::MAX).min(most)
    }
}
