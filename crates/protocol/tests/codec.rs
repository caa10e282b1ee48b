//! Encoded messages decode to the same message; other bytes are refused.

use {
    chestnutrun_protocol::{CodecError, MAX_FRAME_BYTES, Message, decode, encode},
    chestnutrun_types::{
        AgentUpdate, Assignment, CancelledJob, Confirm, JobRef, MemberList, Resync,
    },
    ciborium::Value,
    rstest::rstest,
    std::time::Duration,
};

fn assignment() -> Assignment {
    Assignment {
        id: 1,
        job: "00000000000000a1".into(),
        route: None,
        payload: "payload".into(),
        after_run: 0,
        start_within: Duration::from_millis(30),
        priority: 0,
        alone: false,
        tasks: Vec::new(),
    }
}

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

/// A field that an earlier process does not send.
#[rstest]
#[case::update(Message::Update(AgentUpdate::default()), "crashes")]
#[case::resync(Message::Resync(Resync::default()), "crashes")]
#[case::assignment(Message::Assign(assignment()), "alone")]
fn a_message_without_a_later_field_is_refused(#[case] message: Message, #[case] later: &str) {
    let mut value = Value::serialized(&message).expect("the message can be encoded");
    let kinds = value.as_map_mut().expect("a message is a map");
    let fields = kinds[0].1.as_map_mut().expect("its body is a map");
    let count = fields.len();
    fields.retain(|(name, _)| name.as_text() != Some(later));
    assert_eq!(fields.len() + 1, count, "the message has the field");
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).expect("the value can be encoded");
    assert_eq!(decode(&buf).expect("the frame is a valid message"), message);
}

/// A field that an earlier process does not know.
#[rstest]
fn a_message_with_an_unknown_field_is_refused() {
    let message = Message::Update(AgentUpdate::default());
    let mut value = Value::serialized(&message).expect("the message can be encoded");
    let kinds = value.as_map_mut().expect("a message is a map");
    let fields = kinds[0].1.as_map_mut().expect("its body is a map");
    fields.push((Value::from("later"), Value::from(1)));
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).expect("the value can be encoded");
    assert_eq!(decode(&buf).expect("the frame is a valid message"), message);
}

/// An earlier build closes a link on a message of an unknown kind, and ignores a field
/// that it does not know.
#[test]
fn cancelled_jobs_are_told_in_a_message_that_an_earlier_build_refuses() {
    let cancelled = vec![CancelledJob {
        job: "00000000000000a1".into(),
        remembered_for: Duration::from_secs(30),
    }];
    let list = MemberList {
        cancelled,
        ..MemberList::default()
    };
    let message = Message::Members(list);
    let buf = encode(&message).expect("the message can be encoded");
    assert_eq!(decode(&buf).expect("the frame is a valid message"), message);
    let mut value = Value::serialized(&message).expect("the message can be encoded");
    let kinds = value.as_map_mut().expect("a message is a map");
    assert_eq!(kinds[0].0.as_text(), Some("members"));
    let fields = kinds[0].1.as_map_mut().expect("its body is a map");
    fields.retain(|(name, _)| name.as_text() != Some("cancelled"));
    let mut buf = Vec::new();
    ciborium::into_writer(&value, &mut buf).expect("the value can be encoded");
    let empty = Message::Members(MemberList::default());
    assert_eq!(decode(&buf).expect("the frame is a valid message"), empty);
}
