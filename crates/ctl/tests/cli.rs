//! Tests of the `clemctl` command line: arguments, exit codes and output.

use std::process::{Command, Output};

/// An address where nothing listens: the port is below the kernel's ephemeral range.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Runs `clemctl` without its environment variables.
fn ctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_clemctl"))
        .args(args)
        .env_remove("CLEM_CONTROL")
        .env_remove("CLEM_FLEET_SECRET_FILE")
        .output()
        .expect("the program starts")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let output = ctl(&["apply", "--expect", "x", "--colour", "red", "--json"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(errors(&output));
}

#[test]
fn remote_commands_require_the_control_group() {
    let output = ctl(&["status"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(errors(&output));
}

#[test]
fn check_needs_no_control_group() {
    let folder = tempfile::tempdir().expect("a folder");
    let good = folder.path().join("good.toml");
    let line = "customer.c = { rate = \"1/s\", burst = 1 } # asked by Ana";
    std::fs::write(&good, line).expect("a file");
    let output = ctl(&["check", &good.display().to_string()]);
    assert_eq!(output.status.code(), Some(0));
    let bad = folder.path().join("bad.toml");
    let line = "customer.c = { rate = \"1/s\", burst = 0 }";
    std::fs::write(&bad, line).expect("a file");
    let output = ctl(&["check", &bad.display().to_string()]);
    assert_eq!(output.status.code(), Some(4));
    let text = errors(&output);
    assert!(
        text.contains("bad.toml:1:38: burst must be a whole number"),
        "{text}"
    );
    assert!(text.contains("2 findings"), "{text}");
}

#[test]
fn a_new_key_is_printed_with_its_rule() {
    let output = ctl(&["key", "new", "--customer", "totara", "--key-id", "totara-2"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let (key, rule) = text.split_once('\n').expect("two lines");
    let key: clem_types::Key = key.parse().expect("a key");
    let hash = key.hash();
    let wanted = format!("key.totara-2 = {{ customer = \"totara\", blake3 = \"{hash}\" }}");
    assert!(rule.starts_with(&wanted), "{rule}");
}

#[test]
fn an_unreachable_group_is_reported_as_nothing_done() {
    let folder = tempfile::tempdir().expect("a folder");
    let secret = folder.path().join("secret");
    std::fs::write(&secret, "0123456789abcdef0123").expect("a file");
    let secret = secret.display().to_string();
    let args = [
        "rules",
        "--control",
        UNUSED_ADDRESS,
        "--fleet-secret-file",
        &secret,
    ];
    let output = ctl(&args);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        errors(&output).contains("nothing was done"),
        "{}",
        errors(&output)
    );
}
