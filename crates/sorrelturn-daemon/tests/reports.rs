//! Guards against panics and misread fields when backend servers send malformed reports.

use proptest::prelude::*;
use serde_json::{Value, json};
use sorrelturn_daemon::{read_deregistration, read_heartbeat};

fn complete_report() -> Value {
    json!({
        "service": "a", "address": "10.1.0.8:80", "zone": "z", "version": "v1", "slots": 36, "state": "ready",
        "cold_remaining": 0, "sequence": 4, "born": 1_793_099_597_338_u64,
    })
}

/// Malformed reports that must be refused.
const MALFORMED_REPORTS: [&str; 12] = [
    "",
    "null",
    "[]",
    "\u{0}",
    "{\"service\":\"a\",\"state\":\"ready\",\"sequence\":4}",
    "{\"service\":\"a\",\"state\":\"ready\",\"sequence\":-1,\"slots\":3}",
    "{\"service\":\"a\",\"state\":\"asleep\",\"sequence\":4,\"slots\":3}",
    "{\"service\":7,\"state\":\"ready\",\"sequence\":4,\"slots\":3}",
    "{\"service\":\"a\",\"state\":\"ready\",\"sequence\":4,\"slots\":3,\"born\":1.5}",
    "{\"service\":\"a\",\"state\":\"ready\",\"sequence\":4,\"slots\":3,\"born\":\"1793099597338\"}",
    "{\"service\":\"a\",\"state\":\"ready\",\"sequence\":4,\"slots\":3,\"born\":-1}",
    "{\"service\":\"a\",\"state\":\"ready\",\"sequence\":4,\"slots\":3",
];

#[test]
fn a_complete_report_is_read_and_unknown_fields_are_ignored() {
    let heartbeat =
        read_heartbeat(complete_report().to_string().as_bytes()).expect("the heartbeat is valid");
    assert_eq!(heartbeat.born, Some(1_793_099_597_338));
    assert_eq!(heartbeat.slots, 36);
}

/// Guards against a heartbeat that is refused for what an optional or unknown field holds.
#[test]
fn optional_and_unknown_fields_hold_anything() {
    let nested = "[".repeat(200) + &"]".repeat(200);
    for odd in ["1e400", r#""\ud800""#, "null", "[1]", &nested] {
        for field in ["cold_ms", "unknown"] {
            let report = complete_report().to_string();
            let report = format!(r#"{{"{field}":{odd},{}"#, &report[1..]);
            let heartbeat = read_heartbeat(report.as_bytes()).expect(field);
            assert_eq!(heartbeat.cold_remaining(), None, "{field}: {odd}");
        }
    }
    let report = complete_report().to_string();
    let cold = format!(r#"{{"cold_ms":1500.0,{}"#, &report[1..]);
    let heartbeat = read_heartbeat(cold.as_bytes()).expect("it is valid");
    let remaining = heartbeat.cold_remaining().expect("it is cold");
    assert_eq!(remaining.as_millis(), 1_500);
}

#[test]
fn malformed_reports_are_refused() {
    for text in MALFORMED_REPORTS {
        assert!(read_heartbeat(text.as_bytes()).is_err(), "{text}");
    }
    assert!(read_heartbeat(&[0xff, 0xfe, b'{']).is_err());
    assert_eq!(
        read_deregistration(b"")
            .expect("an empty deregistration is valid")
            .born,
        None
    );
    assert!(read_deregistration(b"{\"born\":\"x\"}").is_err());
}

fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,20}".prop_map(Value::from),
        Just(json!([1])),
        Just(json!({"a": 1})),
    ]
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = read_heartbeat(&bytes);
        let _ = read_deregistration(&bytes);
    }

    /// One field is missing or has an arbitrary value. An accepted report must contain exactly the value that was sent.
    #[test]
    fn a_missing_or_mistyped_field_is_never_invented(
        field in prop::sample::select(vec!["service", "state", "sequence", "slots", "born"]),
        replacement in prop::option::of(any_value()),
    ) {
        let mut report = complete_report();
        let fields = report.as_object_mut().expect("an object");
        match &replacement {
            None => { fields.remove(field); }
            Some(value) => { fields.insert(field.to_owned(), value.clone()); }
        }
        match (read_heartbeat(report.to_string().as_bytes()), &replacement) {
            (Err(_), _) => {}
            (Ok(heartbeat), None | Some(Value::Null)) => {
                prop_assert_eq!(field, "born");
                prop_assert_eq!(heartbeat.born, None);
            }
            (Ok(heartbeat), Some(value)) => match field {
                "service" => prop_assert_eq!(Some(heartbeat.service.as_str()), value.as_str()),
                "sequence" => prop_assert_eq!(Some(heartbeat.sequence), value.as_u64()),
                "slots" => prop_assert_eq!(Some(u64::from(heartbeat.slots)), value.as_u64()),
                "born" => prop_assert_eq!(heartbeat.born, value.as_u64()),
                _ => prop_assert!(["ready", "draining", "gone"].map(Some).contains(&value.as_str())),
            },
        }
    }
}
