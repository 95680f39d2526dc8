//! The one helper of these tests.
#![allow(dead_code, reason = "each test program uses a part of this module")]

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

/// A bundle of a chain: service `s0` calls `s1`, and so on; all may be repeated.
pub fn chain(depth: usize, attempts: u32) -> BundleSource {
    let services: Vec<String> = (0..depth)
        .map(|at| {
            let calls = if at + 1 < depth {
                format!(r#", "calls": {{ "k{}": 1 }}"#, at + 1)
            } else {
                String::new()
            };
            format!(
                r#""s{at}": {{ "slots": 200, "connections": 1000, "cold_start_ms": 1,
                "drain_header": "x-draining", "refused_statuses": [503], "kinds": {{
                "k{at}": {{ "method": "GET", "path": "/k{at}/{{id}}", "importance": "normal",
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
    parse("chain", &text).expect("the chain is right")
}
