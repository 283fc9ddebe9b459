//! The number of bytes that a target's measured times add to a message.

use weirhinge_fleet::{PeerMessage, TargetLoad, encode};

fn bytes(load: TargetLoad) -> usize {
    let mut buffer = Vec::new();
    encode(&PeerMessage::Waits { load }, &mut buffer).expect("encodes");
    buffer.len()
}

/// Overloaded or stalled targets report times of a second and more.
#[test]
fn target_times_add_few_bytes() {
    let load = |expected_ms, service_ms| TargetLoad { waiting: 3, expected_ms, service_ms };
    let without = bytes(load(None, None));
    assert!(bytes(load(Some(60), Some(30))) <= without + 10);
    assert!(bytes(load(Some(9_000), Some(3_000))) <= without + 10);
    assert!(bytes(load(Some(u32::MAX), Some(u32::MAX))) <= without + 10);
}
