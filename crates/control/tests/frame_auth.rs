//! Seals: wrong keys, changed frames and replays are refused; keys can change.

#[cfg(test)]
use super::*;

#[cfg(test)]
fn keys(numbers: &[u8]) -> ControlKeys {
    ControlKeys(numbers.iter().map(|&number| [number; 32]).collect())
}

#[test]
fn a_frame_opens_with_its_own_key_alone() {
    let sealed = seal(&keys(&[1]), b"frame");
    assert_eq!(open(&keys(&[1]), &sealed), Ok(&b"frame"[..]));
    assert_eq!(open(&keys(&[2]), &sealed), Err(SealError::WrongKey));
    let unsealed = seal(&keys(&[]), b"frame");
    assert_eq!(open(&keys(&[1]), &unsealed), Err(SealError::WrongKey));
    assert_eq!(open(&keys(&[1]), b"short"), Err(SealError::WrongKey));
}

#[test]
fn every_changed_byte_is_noticed() {
    let sealed = seal(&keys(&[1]), b"frame");
    for position in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[position] ^= 1;
        assert_eq!(open(&keys(&[1]), &changed), Err(SealError::WrongKey));
    }
}

#[test]
fn keys_change_without_a_gap() {
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
        assert!(open(receiver, &seal(sender, b"frame")).is_ok());
    }
}

#[test]
fn a_frame_counts_once() {
    let mut guard = ReplayGuard::default();
    assert_eq!(guard.check(7, 1), Ok(()));
    assert_eq!(guard.check(7, 1), Err(SealError::Replayed));
    assert_eq!(guard.check(7, 5), Ok(()));
    assert_eq!(guard.check(7, 4), Err(SealError::Replayed));
    assert_eq!(guard.check(8, 1), Ok(()));
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let _ = open(&keys(&[1]), &bytes);
        if let Ok(frame) = open(&keys(&[]), &bytes) {
            let _ = musli::storage::from_slice::<crate::frame::Frame>(frame);
        }
        let _ = musli::storage::from_slice::<crate::frame::Frame>(&bytes);
    }
}

/// What is encoded by way of `serde` inside `musli` comes back as it was.
#[test]
fn a_frame_survives_its_codec() {
    use crate::frame::{CONTROL_VERSION, Frame, FrameBody, Sender};
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
        sender: Sender { id: 5, zone: "austin".to_owned(), control: address.into() },
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
