//! Selects events by job, endpoint and time.

use {crate::Event, std::time::SystemTime};

/// Conditions that a selected event meets; a condition that is not set matches every
/// event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventFilter {
    contract: Option<String>,
    key: Option<String>,
    endpoint: Option<String>,
    since: Option<SystemTime>,
    until: Option<SystemTime>,
}

impl EventFilter {
    /// Creates a builder whose filter selects every event until conditions are set.
    #[must_use]
    pub fn builder() -> EventFilterBuilder {
        EventFilterBuilder::default()
    }

    /// Returns whether the filter selects an event.
    #[must_use]
    pub fn matches(&self, event: &Event) -> bool {
        let is_unset_or_equal = |wanted: &Option<String>, value: Option<&str>| {
            wanted.is_none() || wanted.as_deref() == value
        };
        is_unset_or_equal(&self.contract, event.contract.as_deref())
            && is_unset_or_equal(&self.key, event.key.as_deref())
            && is_unset_or_equal(&self.endpoint, event.endpoint.as_deref())
            && self.since.is_none_or(|since| event.at >= since)
            && self.until.is_none_or(|until| event.at < until)
    }
}

/// Builds an [`EventFilter`].
#[derive(Clone, Debug, Default)]
pub struct EventFilterBuilder {
    filter: EventFilter,
}

impl EventFilterBuilder {
    /// Selects the events of one contract.
    #[must_use]
    pub fn contract(mut self, contract: Option<String>) -> Self {
        self.filter.contract = contract;
        self
    }

    /// Selects the events of jobs with one idempotency key.
    #[must_use]
    pub fn key(mut self, key: Option<String>) -> Self {
        self.filter.key = key;
        self
    }

    /// Selects the events at one endpoint.
    #[must_use]
    pub fn endpoint(mut self, endpoint: Option<String>) -> Self {
        self.filter.endpoint = endpoint;
        self
    }

    /// Selects the events at or after a time.
    #[must_use]
    pub fn since(mut self, since: Option<SystemTime>) -> Self {
        self.filter.since = since;
        self
    }

    /// Selects the events before a time.
    #[must_use]
    pub fn until(mut self, until: Option<SystemTime>) -> Self {
        self.filter.until = until;
        self
    }

    /// Returns the filter.
    #[must_use]
    pub fn build(self) -> EventFilter {
        self.filter
    }
}
