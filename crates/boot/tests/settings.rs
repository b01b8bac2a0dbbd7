//! Parsing of flags and environment variables, and the findings about invalid ones.

use std::{ffi::OsString, net::SocketAddr};

use clem_boot::{CliAction, Flag, Program, Settings};

fn program() -> Program {
    Program::new("clem-demo", "Shows how settings are read.")
        .flag(Flag::new("listen", "IP:PORT", "The address.").required())
        .flag(Flag::new("control", "IP:PORT,...", "Addresses.").repeated())
        .flag(Flag::new("fleet-secret-file", "FILE", "A file.").required())
}

fn read(args: &[&str], env: &[(&str, &str)]) -> Settings {
    let lookup = |name: &str| {
        let (_, value) = env.iter().find(|(known, _)| *known == name)?;
        Some(OsString::from(value))
    };
    match program().read(args.iter().copied(), lookup) {
        CliAction::Run(settings) => settings,
        CliAction::Print(text) => panic!("unexpected text: {text}"),
    }
}

#[test]
fn all_findings_are_reported_together() {
    let mut settings = read(
        &[
            "--colour",
            "red",
            "--listen",
            "localhost:70000",
            "--control",
        ],
        &[],
    );
    let _: Option<SocketAddr> = settings.take("listen");
    let findings = settings.finish().unwrap_err().to_string();
    insta::assert_snapshot!(findings, @r#"
    clem-demo: --colour: unknown flag
    clem-demo: red: unexpected argument
    clem-demo: --control: the value IP:PORT,... is missing
    clem-demo: --fleet-secret-file: required; set the flag or CLEM_FLEET_SECRET_FILE
    clem-demo: --listen: invalid value "localhost:70000": invalid socket address syntax
    "#);
}

#[test]
fn a_flag_takes_precedence_over_its_variable() {
    let env = [
        ("CLEM_LISTEN", "127.0.0.1:1"),
        ("CLEM_FLEET_SECRET_FILE", "secret"),
    ];
    let mut settings = read(&["--listen", "127.0.0.1:2"], &env);
    let listen: Option<SocketAddr> = settings.take("listen");
    assert_eq!(listen, "127.0.0.1:2".parse().ok());
    assert!(settings.finish().is_ok());
}

#[test]
fn a_flag_is_not_taken_for_a_value() {
    let settings = read(
        &[
            "--listen",
            "--control",
            "127.0.0.1:1",
            "--fleet-secret-file",
            "f",
        ],
        &[],
    );
    let findings = settings.finish().unwrap_err();
    assert_eq!(findings.all().len(), 1, "{findings}");
}

#[test]
fn a_repeated_flag_is_a_list_in_the_environment() {
    let env = [
        ("CLEM_CONTROL", "127.0.0.1:1,127.0.0.1:2"),
        ("CLEM_LISTEN", "127.0.0.1:3"),
    ];
    let mut settings = read(&["--fleet-secret-file", "f"], &env);
    let control: Vec<SocketAddr> = settings.take_all("control");
    assert_eq!(control.len(), 2);
}
