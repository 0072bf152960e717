//! `carawayd check` and `carawayd print-config`, with valid and invalid settings.
#![allow(clippy::unwrap_used, reason = "a test that meets an error ends there")]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

/// The exit status if the settings are invalid.
const BAD_SETTINGS: i32 = 2;
/// The valid settings of a control host, to which the tests add faults.
const VALID_SETTINGS: &str = "host = \"control-1\"\ncontrol = true\ndata_dir = \"data\"\n\
    fleet_secret = \"correct-horse\"\n\
    [[control_hosts]]\nhost = \"control-1\"\npeers = \"127.0.0.1:6433\"\n";

/// Runs a command of `carawayd` with a settings file.
fn carawayd(command: &str, file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carawayd"))
        .args([command, "--settings", file.to_str().unwrap()])
        .output()
        .unwrap()
}

/// Writes a settings file, and returns its path.
fn write(folder: &TempDir, text: &str) -> PathBuf {
    let file = folder.path().join("host.toml");
    std::fs::write(&file, text).unwrap();
    file
}

/// Checks that each command refuses a file, with an error that names the file and has all the words.
fn assert_refused(file: &Path, words: &[&str]) {
    for command in ["check", "run", "print-config"] {
        let output = carawayd(command, file);
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(BAD_SETTINGS), "{said}");
        assert!(output.stdout.is_empty(), "{command}");
        assert!(said.contains(file.to_str().unwrap()), "{said}");
        for word in words {
            assert!(said.contains(word), "{word:?} is not in {said}");
        }
    }
}

#[test]
fn good_settings_pass() {
    let folder = tempfile::tempdir().unwrap();
    let output = carawayd("check", &write(&folder, VALID_SETTINGS));
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
}

#[test]
fn an_unknown_key_is_refused_with_its_line_and_the_nearest_known_name() {
    let folder = tempfile::tempdir().unwrap();
    let file = write(
        &folder,
        &format!("{VALID_SETTINGS}[session]\nrequest_timout = \"1s\"\n"),
    );
    let nearest = "did you mean `request_timeout`?";
    assert_refused(&file, &["line 9", "`request_timout`", nearest]);
    let file = write(&folder, &format!("fleet_secrt = \"x\"\n{VALID_SETTINGS}"));
    let nearest = "did you mean `fleet_secret`?";
    assert_refused(&file, &["line 1", "`fleet_secrt`", nearest]);
}

#[test]
fn an_ill_typed_value_is_refused_with_its_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = write(
        &folder,
        &format!("traffic_threads = \"two\"\n{VALID_SETTINGS}"),
    );
    assert_refused(&file, &["line 1", "traffic_threads", "expected u16"]);
    let file = write(
        &folder,
        &format!("{VALID_SETTINGS}[group]\nprobe_every = \"soon\"\n"),
    );
    assert_refused(&file, &["line 9", "probe_every"]);
    let file = write(
        &folder,
        &format!("{VALID_SETTINGS}[listen]\napi = \"localhost\"\n"),
    );
    assert_refused(&file, &["line 9", "api"]);
    let file = write(&folder, "host = \n");
    assert_refused(&file, &["line 1"]);
}

#[test]
fn contradictory_settings_are_refused_all_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let text = "host = \"host-1\"\nentry = false\n[listen]\napi = \"127.0.0.1:6432\"\n\
                peers = \"0.0.0.0:6433\"\n";
    let faults = [
        "entry: a host is",
        "control_hosts: at least 1",
        "listen.api: 127.0.0.1:6432 is taken by listen.callers",
        "fleet_secret: links from other hosts need a secret",
        "listen.peers: other hosts need an address",
    ];
    assert_refused(&write(&folder, text), &faults);
    let text = format!("{VALID_SETTINGS}[listen]\nmetrics = \"127.0.0.1:6434\"\n");
    assert_refused(
        &write(&folder, &text),
        &["listen.metrics: 127.0.0.1:6434 is taken by listen.api"],
    );
    let again = "[[control_hosts]]\nhost = \"control-1\"\npeers = \"127.0.0.1:1\"\n";
    let file = write(&folder, &format!("{VALID_SETTINGS}{again}"));
    assert_refused(&file, &["control_hosts: `control-1` is named twice"]);
    let text = VALID_SETTINGS.replace("data_dir = \"data\"\n", "");
    let text = text.replace("host = \"control-1\"\ncontrol", "host = \"other\"\ncontrol");
    let faults = ["data_dir: a control host needs", "control_hosts: `other`"];
    assert_refused(&write(&folder, &text), &faults);
}

#[test]
fn a_file_that_cannot_be_read_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    assert_refused(&folder.path().join("absent.toml"), &["No such file"]);
    assert_refused(folder.path(), &["directory"]);
    let file = folder.path().join("host.toml");
    std::fs::write(&file, b"host = \"\xff\"\n").unwrap();
    assert_refused(&file, &["UTF-8"]);
}

#[test]
fn printed_settings_can_be_read_back_and_show_no_secret() {
    let folder = tempfile::tempdir().unwrap();
    let text = format!("{VALID_SETTINGS}[upstream]\npassword = \"battery-staple\"\n");
    let output = carawayd("print-config", &write(&folder, &text));
    assert!(output.status.success());
    let printed = String::from_utf8(output.stdout).unwrap();
    for secret in ["correct-horse", "battery-staple"] {
        assert!(!printed.contains(secret), "{printed}");
    }
    let file = write(&folder, &printed);
    assert!(carawayd("check", &file).status.success());
    let again = carawayd("print-config", &file);
    assert_eq!(String::from_utf8(again.stdout).unwrap(), printed);
}

#[test]
fn every_example_can_be_used_and_holds_no_real_secret() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for user in ["blue-mahoe", "urzad"] {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(examples.join(user)).unwrap() {
            let file = entry.unwrap().path();
            let output = carawayd("check", &file);
            let said = String::from_utf8(output.stderr).unwrap();
            assert!(output.status.success(), "{said}");
            let text = std::fs::read_to_string(&file).unwrap();
            let mut secrets = text
                .lines()
                .filter(|line| line.contains("secret =") || line.contains("password ="));
            assert!(
                secrets.all(|line| line.contains("REPLACE-WITH-")),
                "{}: a secret is not a placeholder",
                file.display()
            );
            names.push(file.file_name().unwrap().to_owned());
        }
        names.sort();
        assert_eq!(names, ["control.toml", "entry.toml"], "{user}");
    }
}
