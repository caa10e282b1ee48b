//! Encoded messages decode to the same message; other bytes are refused.

use {
    chestnutrun_protocol::{CodecError, MAX_FRAME_BYTES, Message, decode, encode},
    chestnutrun_types::{Confirm, JobRef},
    rstest::rstest,
};

#[rstest]
#[case::confirm(Message::Confirm(Confirm { nonce: 7, leased: Some(3) }))]
#[case::ask(Message::Ask(JobRef { contract: "c".into(), key: "k".into() }))]
fn an_encoded_message_decodes_to_itself(#[case] message: Message) {
    let buf = encode(&message).expect("the message can be encoded");
    assert_eq!(decode(&buf).expect("the frame is a valid message"), message);
}

#[rstest]
#[case::empty(&[])]
#[case::other_bytes(b"GET / HTTP/1.1")]
#[case::deep_nesting(&[0x81; 4_096])]
fn bytes_that_are_not_a_message_are_refused(#[case] buf: &[u8]) {
    assert!(matches!(decode(buf), Err(CodecError::Decode(_))));
}

#[test]
fn a_frame_that_is_too_long_is_refused() {
    let buf = vec![0; MAX_FRAME_BYTES + 1];
    assert!(matches!(decode(&buf), Err(CodecError::TooLong(_))));
}
