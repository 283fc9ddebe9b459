//! Refused items are told once each, and again when they change.

use weirhinge_relay::{RefusedItems, RejectReason, RejectedItem};

fn item(key: &str, found: &str) -> RejectedItem {
    RejectedItem {
        reason: RejectReason::Form,
        key: key.to_owned(),
        field: "value".to_owned(),
        found: found.to_owned(),
        expected: "a document".to_owned(),
    }
}

#[test]
fn an_item_is_told_once_and_again_when_it_changes() {
    let mut refused = RefusedItems::default();
    assert!(refused.is_news(&item("a", "nonsense")));
    assert!(refused.is_news(&item("b", "nonsense")));
    assert!(!refused.is_news(&item("a", "nonsense")));
    assert!(refused.is_news(&item("a", "other nonsense")));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut refused = RefusedItems::default();
    for number in 0..1_100 {
        assert!(refused.is_news(&item(&number.to_string(), "nonsense")));
    }
    assert!(refused.is_news(&item("0", "nonsense")), "forgotten, and told again");
    assert!(!refused.is_news(&item("1099", "nonsense")));
}
