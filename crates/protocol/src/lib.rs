//! The protocol between the dispatcher's own processes: which messages there
//! are, and how they are encoded.

mod codec;
mod errors;
mod message;

pub use {
    codec::{MAX_FRAME_BYTES, decode, encode},
    errors::CodecError,
    message::{GuardHello, Hello, Message, PROTOCOL},
};
