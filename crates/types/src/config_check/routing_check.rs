//! Checks a routing table.

use {
    crate::{
        Route, RoutingTable, ServiceId,
        config_check::{ConfigChange, ConfigProblem, ConfigReport, config_change::Fields},
    },
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// Digits of a job's id in the path of a request, behind the route's prefix.
const ID_DIGITS: usize = 16;

/// Number of different digits.
const DIGITS: f64 = 16.0;

impl RoutingTable {
    /// Returns why processes must not use the table; none if they can.
    ///
    /// A route that is useless by itself is no reason: the others still count.
    #[must_use]
    pub fn fault(&self) -> Option<ConfigProblem> {
        (self.max_body_bytes == 0)
            .then(|| ConfigProblem::error("limits.max_body_bytes", "0 bytes refuse every job"))
    }

    /// Checks the table, and compares it with the one in force. `services` names the
    /// pools that can have endpoints; none if they are not known.
    #[must_use]
    pub fn check(
        &self,
        services: Option<&IndexSet<ServiceId>>,
        in_force: Option<&Self>,
    ) -> ConfigReport {
        let mut report = ConfigReport::default();
        report.problems.extend(self.fault());
        for route in self.routes.values() {
            report.problems.extend(self.route_problems(route));
            if services.is_some_and(|services| !services.contains(&route.service)) {
                let text = format!("no service {:?} is configured: jobs get 503", route.service);
                report
                    .problems
                    .push(ConfigProblem::error(place(route, "service"), text));
            }
        }
        if let Some(in_force) = in_force {
            report.problems.extend(self.version_problem(in_force));
            report.changes = self.changes_from(in_force);
        }
        report
    }

    fn version_problem(&self, in_force: &Self) -> Option<ConfigProblem> {
        let (version, current) = (self.version, in_force.version);
        let text = format!("{version} is not above {current}, which is in force: it has no effect");
        (version <= current).then(|| ConfigProblem::error("version", text))
    }

    fn route_problems(&self, route: &Route) -> Vec<ConfigProblem> {
        let mut problems = Vec::new();
        if route.host.is_empty() || route.host.contains([':', '/']) {
            let text = format!("{:?} matches no host of a request", route.host);
            problems.push(ConfigProblem::error(place(route, "host"), text));
        }
        if route.path_prefix.starts_with('/') {
            problems.extend(self.shadow(route));
        } else {
            let text = format!(
                "{:?} matches no path: it has no leading /",
                route.path_prefix
            );
            problems.push(ConfigProblem::error(place(route, "path_prefix"), text));
        }
        problems.extend(limit_problems(route));
        problems
    }

    /// Returns what other routes take from a route. The longest prefix wins; of equal ones,
    /// the later route.
    fn shadow(&self, route: &Route) -> Option<ConfigProblem> {
        let place = place(route, "path_prefix");
        let position = self.routes.get_index_of(&route.id);
        let later = self.routes.values().skip(position.map_or(0, |at| at + 1));
        let mut twins = later
            .filter(|other| other.host == route.host && other.path_prefix == route.path_prefix);
        if let Some(twin) = twins.next() {
            let text = format!(
                "never matches: route {:?} has the same host and prefix",
                twin.id
            );
            return Some(ConfigProblem::error(place, text));
        }
        let longer: IndexSet<&str> = self.longer_prefixes(route).collect();
        let outermost = longer.iter().filter(|tail| {
            !longer
                .iter()
                .any(|other| *other != **tail && tail.starts_with(other))
        });
        let share: f64 = outermost
            .map(|tail| DIGITS.powi(-i32::try_from(tail.len()).unwrap_or(i32::MAX)))
            .sum();
        if share >= 1.0 {
            let text = "never matches: longer prefixes take every job id";
            Some(ConfigProblem::error(place, text))
        } else if share > 0.0 {
            let percent = share * 100.0;
            let text = format!("longer prefixes of other routes take {percent:.3}% of the job ids");
            Some(ConfigProblem::warning(place, text))
        } else {
            None
        }
    }

    /// Returns the ends of the longer prefixes that a path of this route can begin with: its
    /// prefix and digits of a job's id.
    fn longer_prefixes(&self, route: &Route) -> impl Iterator<Item = &str> {
        let of_host = self
            .routes
            .values()
            .filter(|other| other.host == route.host);
        let tails = of_host.filter_map(|other| other.path_prefix.strip_prefix(&*route.path_prefix));
        tails.filter(|tail| {
            let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
            (1..=ID_DIGITS).contains(&tail.len()) && tail.bytes().all(is_digit)
        })
    }

    fn changes_from(&self, in_force: &Self) -> Vec<ConfigChange> {
        let mut changes = Vec::new();
        let (from, to) = (in_force.version.to_string(), self.version.to_string());
        changes.extend(ConfigChange::of_value("version", &from, &to));
        let (from, to) = (in_force.max_body_bytes, self.max_body_bytes);
        let (from, to) = (format!("{from} bytes"), format!("{to} bytes"));
        changes.extend(ConfigChange::of_value("limits.max_body_bytes", &from, &to));
        let (from, to) = (in_force.fields(), self.fields());
        changes.extend(ConfigChange::of_section("routes", &from, &to));
        changes
    }

    fn fields(&self) -> IndexMap<String, Fields> {
        let routes = self.routes.values();
        routes
            .map(|route| (route.id.to_string(), route_fields(route)))
            .collect()
    }
}

/// Returns the limits of a route that contradict one another.
fn limit_problems(route: &Route) -> Vec<ConfigProblem> {
    let mut problems = Vec::new();
    if let Some(timeout) = route
        .timeout
        .filter(|timeout| *timeout <= route.target_latency)
    {
        let target = millis(route.target_latency);
        let text = format!(
            "{} is over before the target latency of {target}: no answer can miss the target",
            millis(timeout)
        );
        problems.push(ConfigProblem::warning(place(route, "timeout"), text));
    }
    if route.stretch < 1.0 {
        let text = format!(
            "{} promises an answer before the work can be done; 1 is used",
            route.stretch
        );
        problems.push(ConfigProblem::warning(place(route, "stretch"), text));
    }
    if route.attempts == 0 {
        let text = "0 leaves a task no run; 2 are used";
        problems.push(ConfigProblem::warning(place(route, "attempts"), text));
    }
    if route.needs_advice {
        let text = "advice is not supported: jobs get 503";
        problems.push(ConfigProblem::error(place(route, "advice"), text));
    }
    problems
}

fn place(route: &Route, field: &str) -> String {
    format!("routes.{}.{field}", route.id)
}

fn route_fields(route: &Route) -> Fields {
    let timeout = route.timeout.map_or("none".into(), millis);
    Fields::from([
        ("host", route.host.to_string()),
        ("path_prefix", route.path_prefix.to_string()),
        ("service", route.service.to_string()),
        ("priority", route.priority.to_string()),
        ("attempts", route.attempts.to_string()),
        ("stretch", route.stretch.to_string()),
        ("target_latency", millis(route.target_latency)),
        ("timeout", timeout),
        ("advice", route.needs_advice.to_string()),
    ])
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_secs_f64() * 1_000.0)
}
