//! Stale and invalid documents never replace the configuration in effect.

use weirhinge_document_source::{ConfigWatch, SourceKind, WatchOutcome};

fn document(revision: u64, service_of_target: u32) -> Vec<u8> {
    let service = |id: u32, last: u32| {
        format!(r#"{{"id":{id},"name":"s{id}","address":"203.0.113.{last}","port":80}}"#)
    };
    format!(
        r#"{{"revision":{revision},"services":[{},{}],"targets":[{{"id":1,"name":"t1",
        "service":{service_of_target},"zone":"z","agent":"127.0.0.1:1","back_end":"127.0.0.1:2",
        "slots":1,"connections":1}}]}}"#,
        service(1, 10),
        service(2, 20),
    )
    .into_bytes()
}

fn applied_revision(outcome: WatchOutcome) -> Option<u64> {
    match outcome {
        WatchOutcome::Apply(document) => Some(document.revision),
        _ => None,
    }
}

#[test]
fn older_revision_is_ignored() {
    let mut watch = ConfigWatch::default();
    assert_eq!(
        applied_revision(watch.handle_document(SourceKind::Platform, "p", &document(3, 1))),
        Some(3)
    );
    assert_eq!(
        watch.handle_document(SourceKind::Platform, "p", &document(3, 1)),
        WatchOutcome::Current
    );
    let stale = WatchOutcome::Stale { served: 2, in_effect: 3 };
    assert_eq!(watch.handle_document(SourceKind::Platform, "p", &document(2, 1)), stale);
    assert_eq!(
        applied_revision(watch.handle_document(SourceKind::Platform, "p", &document(7, 1))),
        Some(7)
    );
}

#[test]
fn invalid_document_is_rejected() {
    let mut watch = ConfigWatch::default();
    watch.handle_document(SourceKind::Platform, "p", &document(3, 1));
    assert!(matches!(
        watch.handle_document(SourceKind::Platform, "p", b"{"),
        WatchOutcome::Invalid(_)
    ));
    assert!(matches!(
        watch.handle_document(SourceKind::Platform, "p", &document(4, 9)),
        WatchOutcome::Invalid(_)
    ));
    assert!(matches!(
        watch.handle_document(SourceKind::Platform, "p", &document(4, 2)),
        WatchOutcome::Invalid(_)
    ));
    assert_eq!(
        applied_revision(watch.handle_document(SourceKind::Platform, "p", &document(4, 1))),
        Some(4)
    );
}

#[test]
fn platform_document_is_ignored_after_agreed_one() {
    let mut watch = ConfigWatch::default();
    assert_eq!(
        applied_revision(watch.handle_document(SourceKind::Platform, "p", &document(3, 1))),
        Some(3)
    );
    assert_eq!(
        applied_revision(watch.handle_document(SourceKind::Balancer, "b", &document(4, 1))),
        Some(4)
    );
    let ignored = watch.handle_document(SourceKind::Platform, "p", &document(9, 1));
    assert_eq!(ignored, WatchOutcome::Current);
    assert_eq!(
        applied_revision(watch.handle_document(SourceKind::Balancer, "b", &document(5, 1))),
        Some(5)
    );
}
