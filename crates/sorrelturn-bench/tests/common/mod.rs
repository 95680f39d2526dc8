//! Helpers shared by the integration tests.
#![allow(dead_code, reason = "not every test program uses all helpers")]

use bytes::Bytes;
use hyper::Request;
use sorrelturn_bundle::{BundleSource, parse};
use std::path::{Path, PathBuf};

/// Reads an example bundle by its file name.
pub fn bundle(name: &str) -> BundleSource {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../bundles")
        .join(name);
    let text = std::fs::read_to_string(file).expect("the example is in the repository");
    parse(name, &text).expect("the example is valid")
}

/// Creates a folder for the files of one test and returns its path.
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

/// A bundle in which service `s0` calls `s1`, which calls `s2`, and so on. All kinds are repeatable.
pub fn chain(depth: usize, attempts: u32) -> BundleSource {
    let services: Vec<String> = (0..depth)
        .map(|index| {
            let calls = if index + 1 < depth {
                format!(r#", "calls": {{ "k{}": 1 }}"#, index + 1)
            } else {
                String::new()
            };
            format!(
                r#""s{index}": {{ "slots": 200, "connections": 1000, "cold_start_ms": 1,
                "drain_header": "x-draining", "refused_statuses": [503], "kinds": {{
                "k{index}": {{ "method": "GET", "path": "/k{index}/{{id}}", "importance": "normal",
                "execution": "repeatable", "deadline_ms": 5000, "attempts": {attempts},
                "exposed": true {calls} }} }} }}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{ "services": {{ {} }}, "callers": {{ "all": {{ "networks": ["127.0.0.0/8"],
        "rate_per_second": 100000, "retry_fraction": 0.1 }} }} }}"#,
        services.join(",")
    );
    parse("chain", &text).expect("the chain is valid")
}
