//! The committed OpenAPI document matches the API. `UPDATE_OPENAPI=1 cargo test --test openapi`
//! regenerates it.

use std::path::PathBuf;

use laurelstiled::gateway::api::openapi;

#[test]
fn the_committed_document_is_current() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("openapi.json");
    let document = openapi().expect("the API can be described");
    if std::env::var_os("UPDATE_OPENAPI").is_some() {
        std::fs::write(&path, &document).expect("the document can be written");
    }
    let committed = std::fs::read_to_string(&path).expect("the document is committed");
    assert!(committed == document, "run with UPDATE_OPENAPI=1");
}
