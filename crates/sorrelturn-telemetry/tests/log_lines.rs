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
