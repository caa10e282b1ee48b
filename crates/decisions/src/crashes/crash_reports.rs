//! The crashes of an agent's endpoint.

use {
    crate::crashes::CRASH_KEPT,
    chestnutrun_types::EndpointCrash,
    std::{collections::VecDeque, time::Instant},
};

/// Most crashes that an agent keeps.
const MAX_REPORTED: usize = 32;

/// Number of a crash, counted from 1.
pub(crate) type CrashNumber = u64;

/// Recent crashes of an agent's endpoint, for the entries that do not know of them.
#[derive(Debug, Default)]
pub(crate) struct CrashReports {
    kept: VecDeque<(CrashNumber, Instant, EndpointCrash)>,
    newest: CrashNumber,
}

impl CrashReports {
    pub(crate) fn add(&mut self, now: Instant, crash: EndpointCrash) {
        self.forget_old(now);
        self.newest += 1;
        self.kept.push_back((self.newest, now + CRASH_KEPT, crash));
        if self.kept.len() > MAX_REPORTED {
            self.kept.pop_front();
        }
    }

    /// Returns the number of the newest crash.
    pub(crate) fn newest(&self) -> CrashNumber {
        self.newest
    }

    /// Returns the recent crashes with higher numbers than `known`.
    pub(crate) fn after(&self, now: Instant, known: CrashNumber) -> Vec<EndpointCrash> {
        let unknown = self.kept.iter();
        let unknown = unknown.filter(|(number, until, _)| *number > known && now <= *until);
        unknown.map(|(_, _, crash)| crash.clone()).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        while self.kept.front().is_some_and(|(_, until, _)| *until < now) {
            self.kept.pop_front();
        }
    }
}
