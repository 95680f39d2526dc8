//! Guards against help examples that don't parse, and wrong exit codes or output formats.

use sorrelturn_command::{COMMANDS, root};
use std::{
    path::Path,
    process::{Command, Output},
};

fn sorrelctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sorrelctl"))
        .args(args)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .env_remove("SORRELTURN_PLATFORM")
        .output()
        .expect("sorrelctl should start")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn every_example_in_the_help_is_a_call_that_the_command_takes() {
    for entry in COMMANDS {
        let help = (entry.signature)()
            .get_after_help()
            .expect("every command should have examples")
            .to_string();
        let examples: Vec<&str> = help
            .lines()
            .map(str::trim)
            .filter(|line| line.starts_with("sorrelctl "))
            .collect();
        assert!(!examples.is_empty(), "{:?}", entry.name);
        for example in examples {
            let call = example.split('>').next().unwrap_or_default();
            let parsed = root().try_get_matches_from(call.split_whitespace());
            assert!(parsed.is_ok(), "{example}: {parsed:?}");
        }
    }
}

#[test]
fn a_check_prints_a_line_for_people_and_json_for_programs() {
    let plain = sorrelctl(&["bundle", "check", "bundles/protokols-riga.jsonc"]);
    assert!(
        text(&plain.stdout).starts_with("ok: 4 services"),
        "{plain:?}"
    );
    let json = sorrelctl(&[
        "bundle",
        "check",
        "bundles/protokols-riga.jsonc",
        "--output",
        "json",
    ]);
    let value: serde_json::Value =
        serde_json::from_slice(&json.stdout).expect("stdout should be JSON");
    assert_eq!(value["services"], 4);
}

#[test]
fn exit_codes_are_as_the_help_says() {
    let cases: [(&[&str], i32, &str); 6] = [
        (
            &["bundle", "check", "nowhere.jsonc"],
            1,
            "help: name a file that exists",
        ),
        (
            &["bundle", "check", "settings/sorrelturnd.jsonc"],
            1,
            "unknown field",
        ),
        (&["bundle", "check"], 2, "required"),
        (&["bundle", "nonsense"], 2, "unrecognized"),
        (
            &["bundle", "history", "--platform", "127.0.0.1:1"],
            3,
            "help:",
        ),
        (
            &[
                "bundle",
                "publish",
                "bundles/protokols-riga.jsonc",
                "--platform",
                "127.0.0.1:1",
            ],
            3,
            "help:",
        ),
    ];
    for (args, code, message) in cases {
        let output = sorrelctl(args);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {output:?}");
        assert!(
            text(&output.stderr).contains(message),
            "{args:?}: {output:?}"
        );
    }
}

#[test]
fn a_secret_key_is_for_its_owner_and_never_overwritten() {
    use std::os::unix::fs::PermissionsExt;
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("anna.key");
    let _ = std::fs::remove_file(&file);
    let file_name = file.display().to_string();
    let created = sorrelctl(&["key", "new", "anna", "--file", &file_name]);
    assert!(created.status.success(), "{created:?}");
    let mode = std::fs::metadata(&file)
        .expect("the key file should exist")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let again = sorrelctl(&["key", "new", "anna", "--file", &file_name]);
    assert_eq!(again.status.code(), Some(1));
}

#[test]
fn completions_name_every_command() {
    let script = text(&sorrelctl(&["completions", "bash"]).stdout);
    for entry in COMMANDS {
        for word in entry.name {
            assert!(script.contains(word), "{word}");
        }
    }
}

#[test]
fn a_request_is_explained_from_the_logs_of_several_daemons() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (entry, owner) = (folder.join("entry.log"), folder.join("owner.log"));
    let id = "00000000000000009c41d07be2a35f68";
    let other = "00000000000000000000000000000001";
    let first = format!(
        "DEBUG 1000 i-1 S101 hop-forwarded request={id} kind=r depth=0 to=i-2\n\
         DEBUG 1001 i-1 S102 request-done request={other} kind=r status=200\n\
         not a line of a daemon\n"
    );
    let second = format!("DEBUG 999 i-2 S110 refused request={id} kind=r reason=overload\n");
    std::fs::write(&entry, first).expect("the folder can be written");
    std::fs::write(&owner, second).expect("the folder can be written");
    let (entry, owner) = (entry.display().to_string(), owner.display().to_string());
    let explained = sorrelctl(&["explain", "9c41d07be2a35f68", "--logs", &entry, &owner]);
    let words = text(&explained.stdout);
    assert!(explained.status.success(), "{explained:?}");
    let refused = words
        .find("(S110) at i-2")
        .expect("the owner's event should be shown");
    let forwarded = words
        .find("(S101) at i-1")
        .expect("the entry's event should be shown");
    assert!(refused < forwarded, "{words}");
    assert!(words.contains("reason overload"), "{words}");
    assert!(!words.contains("S102"), "{words}");
    let unknown = sorrelctl(&["explain", "77", "--logs", &entry]);
    assert_eq!(unknown.status.code(), Some(1));
    let missing = sorrelctl(&["explain", "77", "--logs", "no-such.log"]);
    assert_eq!(missing.status.code(), Some(2));
}
