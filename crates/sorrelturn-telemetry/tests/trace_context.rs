//! Valid W3C Trace Context headers survive a round trip, and malformed ones are rejected.

use sorrelturn_telemetry::TraceContext;

const GOOD: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

#[test]
fn a_valid_header_reads_back_as_written() {
    let context: TraceContext = GOOD.parse().expect("the header is valid");
    assert!(context.sampled);
    assert_eq!(context.to_string(), GOOD);
}

#[test]
fn malformed_headers_are_rejected() {
    let zero_trace = GOOD.replace("4bf92f3577b34da6a3ce929d0e0e4736", &"0".repeat(32));
    let zero_parent = GOOD.replace("00f067aa0ba902b7", &"0".repeat(16));
    let capitals = GOOD.to_uppercase();
    let trailing = format!("{GOOD}-x");
    for text in [
        "",
        "00-1-2-3",
        "ff-x",
        &zero_trace,
        &zero_parent,
        &capitals,
        &trailing,
    ] {
        assert_eq!(text.parse::<TraceContext>(), Err(()), "{text}");
    }
}
