//! The default settings file matches the defaults of the code, and invalid settings are
//! rejected with their position.

use sorrelturn_daemon::Settings;
use std::{path::Path, process::Command};

fn default_file() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/sorrelturnd.jsonc")
}

fn default_text() -> String {
    std::fs::read_to_string(default_file()).expect("the default file exists")
}

#[test]
fn the_default_file_matches_the_defaults_of_the_code() {
    let settings = Settings::parse("default", &default_text()).expect("the default file is valid");
    // A field that is left out has the value of the default file.
    let mut text = serde_json::to_value(&settings).expect("settings serialize to JSON");
    let object = text.as_object_mut().expect("the value is an object");
    for field in [
        "threads",
        "once",
        "stop",
        "seeds",
        "advertise",
        "fleet_keys",
        "trace",
        "metrics",
    ] {
        object.remove(field);
    }
    object["backend"]
        .as_object_mut()
        .expect("the value is an object")
        .remove("connect_ms");
    object["platform"]
        .as_object_mut()
        .expect("the value is an object")
        .remove("timeout_ms");
    let short =
        Settings::parse("short", &text.to_string()).expect("all omitted fields have defaults");
    assert_eq!(short, settings);
}

#[test]
fn every_field_of_the_default_file_is_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).expect("docs/SETTINGS.md exists");
    let settings = Settings::parse("default", &default_text()).expect("the default file is valid");
    let json = serde_json::to_value(&settings).expect("settings serialize to JSON");
    for (field, value) in json.as_object().expect("the value is an object") {
        let nested = value.as_object().filter(|_| field != "operators");
        let names: Vec<String> = match nested {
            Some(nested) => nested
                .keys()
                .map(|name| format!("`{field}.{name}`"))
                .collect(),
            None => vec![format!("`{field}")],
        };
        for name in names {
            assert!(page.contains(&name), "{name} is not described");
        }
    }
}

#[test]
fn bad_settings_are_refused_with_file_line_and_help() {
    let cases = [
        (
            r#""instance": "archive-0""#,
            r#""instance": "Archive 0""#,
            "instance is",
        ),
        (
            r#""local": "127.0.0.1:7001""#,
            r#""local": "10.0.0.1:7001""#,
            "reachable from other hosts",
        ),
        (
            r#""peers": "127.0.0.1:7002""#,
            r#""peers": "127.0.0.1:7000""#,
            "two listeners",
        ),
        (
            r#""peers": "127.0.0.1:7002""#,
            r#""peers": "0.0.0.0:7002""#,
            "can't connect to",
        ),
        (r#""threads": 2"#, r#""threads": 0"#, "threads is 0"),
        (
            r#""threads": 2"#,
            r#""thread": 2"#,
            "unknown field `thread`",
        ),
        (
            r#""timeout_ms": 1000"#,
            r#""timeout_ms": "1s""#,
            "invalid type",
        ),
        (
            r#""address": "127.0.0.1:8080""#,
            r#""address": "backend""#,
            "invalid socket address",
        ),
        (
            r#""ttl_s": 600"#,
            r#""ttl_s": 0"#,
            "no token could ever be used",
        ),
        (
            r#""capacity": 20000"#,
            r#""capacity": 20001"#,
            "would not fit",
        ),
        (
            r#""most_ms": 60000"#,
            r#""most_ms": 1000"#,
            "before accepted requests are answered",
        ),
        (
            r#""example": "2152"#,
            r#""example": "zz52"#,
            "64 hexadecimal digits",
        ),
    ];
    for (from, to, message) in cases {
        let text = default_text();
        assert!(text.contains(from), "{from}");
        let bad = text.replacen(from, to, 1);
        let diagnostics = Settings::parse("bad.jsonc", &bad).expect_err(to);
        let shown = diagnostics
            .iter()
            .map(ToString::to_string)
            .collect::<String>();
        assert!(shown.contains(message), "{to}: {shown}");
        assert!(shown.contains("--> bad.jsonc:"), "{shown}");
        assert!(shown.contains("help: "), "{shown}");
    }
}

#[test]
fn the_program_checks_settings_and_exits_as_its_help_says() {
    let program = env!("CARGO_BIN_EXE_sorrelturnd");
    let check = |file: &Path| {
        Command::new(program)
            .arg("--settings")
            .arg(file)
            .arg("--check-settings")
            .output()
            .expect("the program runs")
    };
    assert_eq!(check(&default_file()).status.code(), Some(0));
    let missing = check(Path::new("/nowhere/settings.jsonc"));
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("help:"));
}

/// Checks that values of a number in `routes` are accepted or rejected with this message.
fn check_routes_number(field: &str, valid: &[&str], invalid: &[&str], message: &str) {
    let with = |value: &str| {
        let routes = format!(r#""routes": {{ "object": "config/main", "{field}": {value} }},"#);
        let text = default_text().replacen(r#""threads""#, &format!("{routes} \"threads\""), 1);
        Settings::parse("it.jsonc", &text)
    };
    for valid in valid {
        assert!(with(valid).is_ok(), "{valid} is rejected");
    }
    for invalid in invalid {
        let diagnostics = with(invalid).expect_err(invalid);
        let shown = diagnostics
            .iter()
            .map(ToString::to_string)
            .collect::<String>();
        assert!(shown.contains(message), "{invalid}: {shown}");
    }
}

#[test]
fn the_retry_window_is_within_limits() {
    let message = "write seconds from 0.1 to 3600";
    check_routes_number(
        "retry_window_s",
        &["10", "1.5"],
        &["0", "-3", "9999"],
        message,
    );
}

#[test]
fn the_duration_of_quota_leases_is_within_limits() {
    let message = "write milliseconds from 100 to 10000";
    let (valid, invalid) = (["100", "250", "10000"], ["0", "99", "10001"]);
    check_routes_number("quota_lease_ms", &valid, &invalid, message);
}
