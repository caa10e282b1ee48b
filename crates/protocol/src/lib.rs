//! The protocol between entries and agents: its messages and their encoding.

mod codec;
mod errors;
mod message;

pub use {
    codec::{MAX_FRAME_BYTES, decode, encode},
    errors::CodecError,
    message::{GuardHello, Hello, Message, PROTOCOL},
};
