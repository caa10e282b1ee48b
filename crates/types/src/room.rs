//! Room of an endpoint and need of a task.

use serde::{Deserialize, Serialize};

/// Room of an endpoint, or what a task needs of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Room {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Room {
    /// Whether `need` fits into this room.
    #[must_use]
    pub fn fits(self, need: Self) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left without `other`; nothing where `other` is larger.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns half of it.
    #[must_use]
    pub fn half(self) -> Self {
        Self {
            cpu_millis: self.cpu_millis / 2,
            memory_mb: self.memory_mb / 2,
            accelerators: self.accelerators / 2,
        }
    }

    /// Returns how many tasks with the same need fit, at most `most`.
    #[must_use]
    pub fn count(self, need: Self, most: u16) -> u16 {
        let by = |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
        let count = by(self.cpu_millis, need.cpu_millis)
            .min(by(self.memory_mb, need.memory_mb))
            .min(by(self.accelerators, need.accelerators));
        u16::try_from(count).unwrap_or(u16::MAX).min(most)
    }
}
