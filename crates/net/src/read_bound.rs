//! Bounds the bytes that the HTTP library keeps of a connection and has not decoded.

use {
    crate::{
        ClosingCause, SharedIntake,
        http::{MAX_HEAD_BYTES, READ_BUFFER_BYTES},
    },
    ntex::io::{IoCallbacks, IoRef},
};

/// Most bytes that are kept and not decoded. A request whose head or whose chunk has a line
/// that is too long is answered before that, and a few reads come behind until the response
/// has left. The library has no bound there, and none while nobody asks for a body.
const MAX_UNDECODED_BYTES: usize = MAX_HEAD_BYTES + 8 * READ_BUFFER_BYTES;

/// Closes a connection over the bound.
pub(crate) struct ReadBound(pub(crate) SharedIntake);

impl IoCallbacks for ReadBound {
    fn before_processing(&self, _: &IoRef) {}

    fn after_processing(&self, io: &IoRef) {
        if io.with_read_buf(|buf| buf.len()) > MAX_UNDECODED_BYTES && !io.is_closed() {
            self.0.record(ClosingCause::LongLine);
            io.terminate();
        }
    }
}
