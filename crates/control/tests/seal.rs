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
