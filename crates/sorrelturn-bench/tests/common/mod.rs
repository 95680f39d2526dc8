//! The one helper of these tests.

use bytes::Bytes;
use hyper::Request;
use sorrelturn_bundle::{BundleSource, parse};
use std::path::{Path, PathBuf};

/// One of the example bundles.
pub fn bundle(name: &str) -> BundleSource {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../bundles")
        .join(name);
    let text = std::fs::read_to_string(file).expect("the example is in the repository");
    parse(name, &text).expect("the example is right")
}

/// A fresh folder for one test.
pub fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).expect("the target folder can be written");
    folder
}

/// A request without a body.
pub fn request(method: &str, path: &str) -> Request<Bytes> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Bytes::new())
        .expect("a request")
}
