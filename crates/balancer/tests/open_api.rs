//! The committed OpenAPI document is the one that the code describes.

/// Set to write the document anew instead of comparing it.
const REWRITE: &str = "WEIRHINGE_REWRITE_API";

#[test]
fn the_committed_document_is_current() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/api.json");
    let described = weirhinge_balancer::api::open_api().expect("described") + "\n";
    if std::env::var_os(REWRITE).is_some() {
        std::fs::write(path, &described).expect("written");
    }
    let committed = std::fs::read_to_string(path).expect("docs/api.json");
    assert!(committed == described, "docs/api.json is not current; run with {REWRITE}=1");
}
