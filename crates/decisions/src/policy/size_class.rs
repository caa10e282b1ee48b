//! Classes of tasks by run time.

use std::time::Duration;

/// Longest run time of the short class.
pub const SHORT_RUN_TIME: Duration = Duration::from_millis(500);

/// Class of a task by run time.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum SizeClass {
    /// At most [`SHORT_RUN_TIME`].
    Short,
    /// More than [`SHORT_RUN_TIME`].
    Long,
}

impl SizeClass {
    /// Returns the class of a run time.
    #[must_use]
    pub fn of(run_time: Duration) -> Self {
        if run_time <= SHORT_RUN_TIME {
            Self::Short
        } else {
            Self::Long
        }
    }
}

/// One value for each class.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerClass<T> {
    /// Value of the short class.
    pub short: T,
    /// Value of the long class.
    pub long: T,
}

impl<T> PerClass<T> {
    /// Returns the value of a class.
    #[must_use]
    pub fn get(&self, class: SizeClass) -> &T {
        match class {
            SizeClass::Short => &self.short,
            SizeClass::Long => &self.long,
        }
    }

    /// Returns a mutable reference to the value of a class.
    pub fn get_mut(&mut self, class: SizeClass) -> &mut T {
        match class {
            SizeClass::Short => &mut self.short,
            SizeClass::Long => &mut self.long,
        }
    }
}
