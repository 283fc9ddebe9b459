//! Frame authentication: frames with a wrong key, modified frames and replays are
//! rejected, and keys can be rotated.

#[cfg(test)]
use super::*;

#[cfg(test)]
fn keys(numbers: &[u8]) -> ControlKeys {
    ControlKeys(numbers.iter().map(|&number| [number; 32]).collect())
}

#[test]
fn frame_is_accepted_only_with_its_key() {
    let signed = sign(&keys(&[1]), b"frame");
    assert_eq!(verify(&keys(&[1]), &signed), Ok(&b"frame"[..]));
    assert_eq!(verify(&keys(&[2]), &signed), Err(FrameAuthError::WrongKey));
    let unsigned = sign(&keys(&[]), b"frame");
    assert_eq!(verify(&keys(&[1]), &unsigned), Err(FrameAuthError::WrongKey));
    assert_eq!(verify(&keys(&[1]), b"short"), Err(FrameAuthError::WrongKey));
}

#[test]
fn modified_frame_is_rejected() {
    let signed = sign(&keys(&[1]), b"frame");
    for position in 0..signed.len() {
        let mut changed = signed.clone();
        changed[position] ^= 1;
        assert_eq!(verify(&keys(&[1]), &changed), Err(FrameAuthError::WrongKey));
    }
}

#[test]
fn frames_are_accepted_during_key_rotation() {
    let (old, both_old_first, both_new_first, new) =
        (keys(&[1]), keys(&[1, 2]), keys(&[2, 1]), keys(&[2]));
    for (sender, receiver) in [
        (&old, &both_old_first),
        (&both_old_first, &old),
        (&both_old_first, &both_new_first),
        (&both_new_first, &both_old_first),
        (&both_new_first, &new),
        (&new, &both_new_first),
    ] {
        assert!(verify(receiver, &sign(sender, b"frame")).is_ok());
    }
}

#[test]
fn replayed_frame_is_rejected() {
    let mut guard = ReplayGuard::default();
    assert_eq!(guard.check(7, 1), Ok(()));
    assert_eq!(guard.check(7, 1), Err(FrameAuthError::Replayed));
    assert_eq!(guard.check(7, 5), Ok(()));
    assert_eq!(guard.check(7, 4), Err(FrameAuthError::Replayed));
    assert_eq!(guard.check(8, 1), Ok(()));
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let _ = verify(&keys(&[1]), &bytes);
        if let Ok(frame) = verify(&keys(&[]), &bytes) {
            let _ = musli::storage::from_slice::<crate::frame::Frame>(frame);
        }
        let _ = musli::storage::from_slice::<crate::frame::Frame>(&bytes);
    }
}

/// Guards against losses in the fields that `musli` encodes through `serde`.
#[test]
fn frame_is_unchanged_by_encoding_and_decoding() {
    use crate::frame::{CONTROL_VERSION, Frame, FrameBody, FrameSender};
    use crate::state_machine::{ConfigChange, ConfigCommand};

    let command = ConfigCommand {
        key: "key".to_owned(),
        expected: Some(7),
        change: ConfigChange::Replace(weirhinge_config::ConfigDocument::default()),
    };
    let address: std::net::SocketAddr = ([127, 0, 0, 1], 7_000).into();
    let frame = Frame {
        version: CONTROL_VERSION,
        number: 3,
        group: 9,
        sender: FrameSender { id: 5, zone: "austin".to_owned(), control: address.into() },
        body: FrameBody::Write { ticket: 2, command: command.clone() },
    };
    let bytes = musli::storage::to_vec(&frame).expect("encoded");
    let decoded: Frame = musli::storage::from_slice(&bytes).expect("decoded");
    assert_eq!((decoded.number, decoded.group, decoded.sender), (3, 9, frame.sender));
    match decoded.body {
        FrameBody::Write { ticket: 2, command: found } => assert_eq!(found, command),
        other => panic!("expected the write, found {other:?}"),
    }
}
