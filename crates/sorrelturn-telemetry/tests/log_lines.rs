//! Log lines parse back into the events that they were written from.

use sorrelturn_telemetry::{EventRecord, Field};

#[test]
fn a_line_reads_back_with_request_and_fields() {
    let record = EventRecord {
        at_ms: 1_234,
        instance: "i-7".to_owned(),
        number: 110,
        name: "refused".to_owned(),
        text: "The request was refused here.".to_owned(),
        request: Some("0abc".to_owned()),
        fields: vec![
            Field::new("kind", "r"),
            Field::new("error", "no answer in time"),
        ],
    };
    let line = format!("DEBUG {} {} {record}", record.at_ms, record.instance);
    assert_eq!(EventRecord::from_log_line(&line), Some(record));
}

#[test]
fn other_lines_are_not_parsed_as_events() {
    for line in [
        "",
        "INFO",
        "{\"callers\":\"127.0.0.1:1\"}",
        "WARN log lines dropped=3",
    ] {
        assert_eq!(EventRecord::from_log_line(line), None, "{line}");
    }
}

#[test]
fn control_characters_in_a_value_are_escaped_in_the_log() {
    let field = Field::new("backend", "b\nINFO 1 i-1 S002 stopped \u{1b}[31m");
    let line = field.to_string();
    assert_eq!(line, r"backend=b\nINFO 1 i-1 S002 stopped \u{1b}[31m");
}

#[test]
fn values_of_any_length_are_kept_whole() {
    for len in 0..60 {
        let text: String = "kind ü of 123 requests\t"
            .chars()
            .cycle()
            .take(len)
            .collect();
        let number = len * 7;
        let field = Field::new("value", format_args!("{text}{number}"));
        let whole = format!("{text}{number}");
        assert_eq!(field.value.as_str(), whole);
        let json = serde_json::to_string(&field).expect("a field is JSON");
        let value = serde_json::to_string(&whole).expect("a text is JSON");
        assert_eq!(json, format!(r#"{{"name":"value","value":{value}}}"#));
        let parsed: Field = serde_json::from_str(&json).expect("it is a field");
        assert_eq!(parsed, field);
    }
}
