//! Tells an endpoint's late announcements from its new ones.

/// Late announcements, each newer than the one before, after which the highest number is
/// taken for an odd one. One beside a delayed connection may be older than what is known;
/// the endpoint announces itself again within seconds.
const RISING_IN_A_ROW: u32 = 3;

/// The order of an endpoint's announcements, by their sequence numbers.
///
/// No number can be told to be impossible: the endpoint may begin with any and may leave
/// some out. A number that is far too high therefore counts, and would make all later ones
/// look late; it is given up when later announcements rise among themselves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnnouncementOrder {
    newest: u64,
    /// The last late number, and how many rose in a row up to it.
    late: Option<(u64, u32)>,
}

impl AnnouncementOrder {
    pub(crate) fn new(first: u64) -> Self {
        Self {
            newest: first,
            late: None,
        }
    }

    /// Returns whether an announcement with this number is to be used.
    pub(crate) fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            *self = Self::new(sequence);
            return true;
        }
        if sequence == self.newest {
            return false;
        }
        let rising = match self.late {
            Some((late, _)) if sequence == late => return false,
            Some((late, rising)) if sequence > late => rising + 1,
            _ => 1,
        };
        if rising >= RISING_IN_A_ROW {
            *self = Self::new(sequence);
            return true;
        }
        self.late = Some((sequence, rising));
        false
    }
}
