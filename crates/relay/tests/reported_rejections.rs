//! A rejected item is reported once, and again when it changes.

use weirhinge_relay::{RejectReason, RejectedItem, ReportedRejections};

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
fn rejection_is_reported_once_until_it_changes() {
    let mut rejections = ReportedRejections::default();
    assert!(rejections.record(&item("a", "nonsense")));
    assert!(rejections.record(&item("b", "nonsense")));
    assert!(!rejections.record(&item("a", "nonsense")));
    assert!(rejections.record(&item("a", "other nonsense")));
}

#[test]
fn remembered_rejections_are_bounded() {
    let mut rejections = ReportedRejections::default();
    for number in 0..1_100 {
        assert!(rejections.record(&item(&number.to_string(), "nonsense")));
    }
    assert!(rejections.record(&item("0", "nonsense")), "a forgotten rejection is reported again");
    assert!(!rejections.record(&item("1099", "nonsense")));
}
