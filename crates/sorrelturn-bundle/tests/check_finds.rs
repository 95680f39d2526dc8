//! Tests that `check` finds each mistake and reports its line.

use sorrelturn_bundle::{BundleSource, SourceMap, check, parse};
use std::path::Path;

fn example(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../bundles")
        .join(name);
    std::fs::read_to_string(file).expect("the example is in the repository")
}

fn findings(text: &str) -> Vec<String> {
    let source: BundleSource = parse("bundle.jsonc", text).expect("the bundle is valid JSON");
    check(&source, &SourceMap::new("bundle.jsonc", text))
        .iter()
        .map(|finding| format!("{}:{} {}", finding.line, finding.column, finding.message))
        .collect()
}

/// Returns the example with its first `from` replaced by `to`, and the number of the changed line.
fn example_with(from: &str, to: &str) -> (String, usize) {
    let text = example("protokols-riga.jsonc");
    let at = text.find(from).expect("the example contains the text");
    let line = text[..at].matches('\n').count() + 1;
    (text.replacen(from, to, 1), line)
}

/// Guards against a search for cycles that ends at a fixed depth.
#[test]
fn a_cycle_of_many_kinds_is_found() {
    const LENGTH: usize = 40;
    let kinds: Vec<String> = (0..LENGTH)
        .map(|number| {
            let next = (number + 1) % LENGTH;
            format!(
                r#""k{number}":{{"method":"GET","path":"/k{number}","importance":"normal","execution":"repeatable",
                "deadline_ms":1000,"attempts":1,"exposed":true,"calls":{{"k{next}":1}}}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"services":{{"s":{{"slots":1,"connections":9,"kinds":{{{}}}}}}},"callers":{{}}}}"#,
        kinds.join(",")
    );
    let found = findings(&text);
    let cycles = found
        .iter()
        .filter(|finding| finding.contains("calls itself"));
    assert_eq!(cycles.count(), LENGTH, "{found:?}");
}

#[test]
fn the_example_bundles_have_no_findings() {
    for name in ["protokols-riga.jsonc", "dalaqyz-soft.jsonc"] {
        assert_eq!(findings(&example(name)), Vec::<String>::new(), "{name}");
    }
}

#[test]
fn each_mistake_is_found_at_its_line() {
    // An empty message means that no finding is expected.
    let cases = [
        (
            r#""slots": 80"#,
            r#""slots": 0"#,
            "service archive has no slots",
        ),
        (
            r#""connections": 550"#,
            r#""connections": 5"#,
            "fewer connections than it has slots",
        ),
        (
            r#""path": "/transcripts/{id}""#,
            r#""path": "transcripts""#,
            "has the invalid path pattern \"transcripts\"",
        ),
        (
            r#""method": "GET""#,
            r#""method": "get""#,
            r#"has the invalid HTTP method "get""#,
        ),
        (
            r#""deadline_ms": 2000"#,
            r#""deadline_ms": 2000000"#,
            "has a deadline of 2000000 ms, which is out of range",
        ),
        (
            r#""attempts": 6"#,
            r#""attempts": 2"#,
            "has 2 attempts, but one request needs 3 executions",
        ),
        (
            r#""execution": "at-most-once""#,
            r#""execution": "repeatable""#,
            "is critical and changes something but may run twice",
        ),
        (r#""path": "/transcripts""#, r#""path": "/{any}""#, ""),
        (
            r#""speaker-index": 1, "seal"#,
            r#""speaker-indexx": 1, "seal"#,
            "calls speaker-indexx, which no service defines",
        ),
        (
            r#""10.20.0.0/16""#,
            r#""10.20.0.0/33""#,
            "has the invalid network",
        ),
        (
            r#""rate_per_second": 100000"#,
            r#""rate_per_second": 0"#,
            "rate_per_second of caller",
        ),
        (
            r#""retry_fraction": 0.1"#,
            r#""retry_fraction": 7"#,
            "has the retry fraction 7, which is out of range",
        ),
        (
            r#""kinds": ["audio-pack""#,
            r#""kinds": ["audio-packs""#,
            "may use audio-packs",
        ),
    ];
    for (from, to, message) in cases {
        let (text, line) = example_with(from, to);
        let found = findings(&text);
        if message.is_empty() {
            assert_eq!(found, Vec::<String>::new(), "{to}");
            continue;
        }
        let wanted = |finding: &String| {
            finding.starts_with(&format!("{line}:")) && finding.contains(message)
        };
        assert!(found.iter().any(wanted), "{to} at {line}: {found:#?}");
    }
}

#[test]
fn cycles_and_unreachable_kinds_are_found() {
    let (text, _) = example_with(
        r#""path": "/internal/seals/{id}","#,
        r#""path": "/internal/seals/{id}", "calls": { "certificate-verify": 1 },"#,
    );
    assert!(
        findings(&text)
            .iter()
            .any(|f| f.contains("calls itself directly or through other kinds"))
    );
    let (text, _) = example_with(r#""exposed": true,"#, r#""exposed": false,"#);
    assert!(
        findings(&text)
            .iter()
            .any(|f| f.contains("not exposed and nothing calls it"))
    );
}

#[test]
fn a_repeatable_kind_may_not_call_an_at_most_once_kind() {
    let (text, _) = example_with(
        r#""calls": { "speaker-index": 1, "seal-record": 1 }"#,
        r#""calls": { "stenographer-book": 1 }"#,
    );
    let found = findings(&text);
    assert!(
        found
            .iter()
            .any(|f| f.contains("may run twice but calls stenographer-book")),
        "{found:?}"
    );
}

#[test]
fn overlapping_paths_are_found() {
    let (text, _) = example_with(r#""path": "/calendar/{day}""#, r#""path": "/audio/{day}""#);
    assert!(
        findings(&text)
            .iter()
            .any(|f| f.contains("has paths in common"))
    );
}

#[test]
fn unknown_fields_and_wrong_types_are_refused_with_line_and_column() {
    let (text, line) = example_with(r#""slots": 80"#, r#""slotz": 80"#);
    let error = parse("bundle.jsonc", &text).expect_err("the field is unknown");
    assert_eq!(error.line, line);
    assert!(error.message.contains("unknown field `slotz`"), "{error}");
    let (text, line) = example_with(r#""slots": 80"#, r#""slots": "80""#);
    let error = parse("bundle.jsonc", &text).expect_err("the type is wrong");
    assert_eq!(error.line, line);
    assert!(error.to_string().contains("docs/BUNDLE.md"), "{error}");
}
