//! A stale or invalid platform never reverts what is in force.

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

fn revision(outcome: WatchOutcome) -> Option<u64> {
    match outcome {
        WatchOutcome::Apply(document) => Some(document.revision),
        _ => None,
    }
}

#[test]
fn revisions_only_grow() {
    let mut watch = ConfigWatch::default();
    assert_eq!(revision(watch.consider(SourceKind::Platform, "p", &document(3, 1))), Some(3));
    assert_eq!(watch.consider(SourceKind::Platform, "p", &document(3, 1)), WatchOutcome::Current);
    let stale = WatchOutcome::Stale { served: 2, in_force: 3 };
    assert_eq!(watch.consider(SourceKind::Platform, "p", &document(2, 1)), stale);
    assert_eq!(revision(watch.consider(SourceKind::Platform, "p", &document(7, 1))), Some(7));
}

#[test]
fn invalid_documents_change_nothing() {
    let mut watch = ConfigWatch::default();
    watch.consider(SourceKind::Platform, "p", &document(3, 1));
    assert!(matches!(watch.consider(SourceKind::Platform, "p", b"{"), WatchOutcome::Invalid(_)));
    assert!(matches!(
        watch.consider(SourceKind::Platform, "p", &document(4, 9)),
        WatchOutcome::Invalid(_)
    ));
    assert!(matches!(
        watch.consider(SourceKind::Platform, "p", &document(4, 2)),
        WatchOutcome::Invalid(_)
    ));
    assert_eq!(revision(watch.consider(SourceKind::Platform, "p", &document(4, 1))), Some(4));
}

#[test]
fn an_agreed_document_stands_against_any_of_the_platform() {
    let mut watch = ConfigWatch::default();
    assert_eq!(revision(watch.consider(SourceKind::Platform, "p", &document(3, 1))), Some(3));
    assert_eq!(revision(watch.consider(SourceKind::Balancer, "b", &document(4, 1))), Some(4));
    let ignored = watch.consider(SourceKind::Platform, "p", &document(9, 1));
    assert_eq!(ignored, WatchOutcome::Current);
    assert_eq!(revision(watch.consider(SourceKind::Balancer, "b", &document(5, 1))), Some(5));
}
