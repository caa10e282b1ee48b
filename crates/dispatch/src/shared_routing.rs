//! The routing table in force, for readers on the same thread.

use {
    chestnutrun_types::{Now, Route, RoutingTable},
    std::{
        cell::RefCell,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The routing table in force; none before the first one came.
#[derive(Clone, Debug, Default)]
pub struct SharedRouting(Rc<RefCell<Option<InForce>>>);

/// A table with the moment since which it is in force.
#[derive(Clone, Debug)]
struct InForce {
    table: Rc<RoutingTable>,
    since: Instant,
}

impl SharedRouting {
    /// Returns the table.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.0.borrow().as_ref().map(|f| f.table.clone())
    }

    /// Returns the version in force; 0 where there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.0.borrow().as_ref().map_or(0, |f| f.table.version)
    }

    /// Returns for how long the version is in force; zero where there is none.
    #[must_use]
    pub fn age(&self) -> Duration {
        let since = self.0.borrow().as_ref().map(|f| f.since);
        since.map_or(Duration::ZERO, |since| {
            Now::read().instant.saturating_duration_since(since)
        })
    }

    /// Returns the route of a request and the rest of its path.
    #[must_use]
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(Arc<Route>, &'a str)> {
        let table = self.table()?;
        let route = table.find(host, path)?.clone();
        let rest = path.strip_prefix(&*route.path_prefix)?;
        Some((route, rest))
    }

    /// Takes a newer table; returns false where the present one is as new.
    pub(crate) fn take(&self, table: RoutingTable) -> bool {
        let is_newer = self.version() < table.version;
        if is_newer {
            *self.0.borrow_mut() = Some(InForce {
                table: Rc::new(table),
                since: Now::read().instant,
            });
        }
        is_newer
    }
}
