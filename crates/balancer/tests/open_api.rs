//! The committed OpenAPI document, docs/api.json, matches the code.

/// Environment variable that makes the test rewrite the document before comparing it.
const REWRITE: &str = "WEIRHINGE_REWRITE_API";

#[test]
fn committed_document_is_current() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/api.json");
    let described = weirhinge_balancer::api::open_api().expect("described") + "\n";
    if std::env::var_os(REWRITE).is_some() {
        std::fs::write(path, &described).expect("written");
    }
    let committed = std::fs::read_to_string(path).expect("docs/api.json");
    assert!(committed == described, "docs/api.json is out of date; run this test with {REWRITE}=1");
}
