//! A difference between two versions of a configuration.

use {
    indexmap::IndexMap,
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
};

/// The fields of one entry of a configuration, as text.
pub(super) type Fields = IndexMap<&'static str, String>;

/// A difference between the configuration in force and the next one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigChange {
    /// The entry, or the entry and its field.
    pub place: String,
    /// The value in force; none if the entry is new.
    pub from: Option<String>,
    /// The next value; none if the entry is removed.
    pub to: Option<String>,
}

impl ConfigChange {
    /// Returns the difference of one value; none if there is none.
    pub(super) fn of_value(place: &str, from: &str, to: &str) -> Option<Self> {
        (from != to).then(|| Self {
            place: place.to_owned(),
            from: Some(from.to_owned()),
            to: Some(to.to_owned()),
        })
    }

    /// Returns the differences between the entries of a section, in the order of the
    /// entries in force, then of the next ones.
    pub(super) fn of_section(
        section: &str,
        from: &IndexMap<String, Fields>,
        to: &IndexMap<String, Fields>,
    ) -> Vec<Self> {
        let mut changes = Vec::new();
        for (name, fields) in from {
            let place = format!("{section}.{name}");
            match to.get(name) {
                Some(next) => {
                    let of_field = |(field, value): (&&'static str, &String)| {
                        let next = next.get(field).map_or("", String::as_str);
                        Self::of_value(&format!("{place}.{field}"), value, next)
                    };
                    changes.extend(fields.iter().filter_map(of_field));
                }
                None => changes.push(Self {
                    place,
                    from: Some(summary(fields)),
                    to: None,
                }),
            }
        }
        let added = to.iter().filter(|(name, _)| !from.contains_key(*name));
        changes.extend(added.map(|(name, fields)| Self {
            place: format!("{section}.{name}"),
            from: None,
            to: Some(summary(fields)),
        }));
        changes
    }
}

impl Display for ConfigChange {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "changed: {}: {from} -> {to}", self.place),
            (Some(from), None) => write!(f, "removed: {} ({from})", self.place),
            (None, to) => {
                let to = to.as_deref().unwrap_or_default();
                write!(f, "added: {} ({to})", self.place)
            }
        }
    }
}

fn summary(fields: &Fields) -> String {
    let fields = fields
        .iter()
        .map(|(field, value)| format!("{field} {value}"));
    fields.collect::<Vec<_>>().join(", ")
}
