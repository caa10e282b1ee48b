//! The current routing table, shared by readers on the same thread.

use {
    chestnutrun_types::{Now, Route, RoutingTable},
    std::{
        cell::RefCell,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The current routing table; none until the first one is received.
#[derive(Clone, Debug, Default)]
pub struct SharedRouting(Rc<RefCell<Option<CurrentTable>>>);

/// A table and the time at which it became the current one.
#[derive(Clone, Debug)]
struct CurrentTable {
    table: Rc<RoutingTable>,
    since: Instant,
}

impl SharedRouting {
    /// Returns the current table.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.0
            .borrow()
            .as_ref()
            .map(|current| current.table.clone())
    }

    /// Returns the version of the current table; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.0
            .borrow()
            .as_ref()
            .map_or(0, |current| current.table.version)
    }

    /// Returns how long the table has been the current one; zero if there is none.
    #[must_use]
    pub fn age(&self) -> Duration {
        let since = self.0.borrow().as_ref().map(|current| current.since);
        since.map_or(Duration::ZERO, |since| {
            Now::read().instant.saturating_duration_since(since)
        })
    }

    /// Returns the route of a request and the rest of its path.
    #[must_use]
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(Arc<Route>, &'a str)> {
        let table = self.table()?;
        let route = table.find(host, path)?.clone();
        let rest = path.strip_prefix(&*route.path_prefix)?;
        Some((route, rest))
    }

    /// Replaces the current table if `table` is newer; returns whether it was.
    pub(crate) fn replace_if_newer(&self, table: RoutingTable) -> bool {
        let is_newer = self.version() < table.version;
        if is_newer {
            *self.0.borrow_mut() = Some(CurrentTable {
                table: Rc::new(table),
                since: Now::read().instant,
            });
        }
        is_newer
    }
}
