//! Checks of single values of settings.

use std::time::Duration;

/// Maximum length of a name, in characters.
const MAX_NAME_CHARACTERS: usize = 64;

/// Adds a problem unless `value` is a name that is safe in logs and paths.
pub(crate) fn name(problems: &mut Vec<String>, key: &str, value: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    let fits = (1..=MAX_NAME_CHARACTERS).contains(&value.len());
    if !fits || !value.chars().all(allowed) {
        problems.push(format!(
            "{key}: `{value}` is not a valid name; accepted: 1 to {MAX_NAME_CHARACTERS} \
             characters of A-Z a-z 0-9 . _ -"
        ));
    }
}

/// Adds a problem if `value` is below the minimum.
pub(crate) fn at_least(problems: &mut Vec<String>, key: &str, min: usize, value: usize) {
    if value < min {
        problems.push(format!(
            "{key}: {value} is too low; accepted: {min} or more"
        ));
    }
}

/// Adds a problem if a duration is outside the accepted range.
pub(crate) fn within(
    problems: &mut Vec<String>,
    key: &str,
    (min, max): (Duration, Duration),
    value: Duration,
) {
    if value < min || value > max {
        problems.push(format!(
            "{key}: {value:?} is out of range; accepted: {min:?} to {max:?}"
        ));
    }
}
