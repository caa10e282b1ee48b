//! A way to the routing table through agents, while the directory does not
//! answer this entry.

use {
    chestnutrun_types::AgentId,
    std::time::{Duration, Instant},
};

/// How often an agent is asked, another one each time: two agents without a way
/// to the directory leave time to have a change in force within 2 s.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// A way to the routing table through agents.
#[derive(Debug, Default)]
pub(crate) struct DirectoryDetour {
    ask_at: Option<Instant>,
    asked: usize,
}

impl DirectoryDetour {
    /// Notes whether the directory answers this entry.
    pub(crate) fn note_directory(&mut self, now: Instant, is_there: bool) {
        self.ask_at = (!is_there).then_some(now);
    }

    /// Returns the agent that is to read the directory now.
    pub(crate) fn due(
        &mut self,
        now: Instant,
        mut agents: impl ExactSizeIterator<Item = AgentId>,
    ) -> Option<AgentId> {
        if self.ask_at.is_none_or(|at| now < at) {
            return None;
        }
        self.ask_at = Some(now + ASK_INTERVAL);
        self.asked += 1;
        let position = self.asked.checked_rem(agents.len())?;
        agents.nth(position)
    }
}
