//! Snapshots of the `--help` output of each program.

use std::process::Command;

use clem_checks::{Result, binary};

fn help(program: &str, args: &[&str]) -> Result<String> {
    let output = Command::new(binary(program)?)
        .args(args)
        .arg("--help")
        .output()?;
    assert!(output.status.success(), "{program} {args:?}");
    Ok(String::from_utf8(output.stdout)?)
}

#[test]
fn help_texts() -> Result<()> {
    for program in ["clem-entry", "clem-control", "clem-agent", "clemctl"] {
        insta::assert_snapshot!(program, help(program, &[])?);
    }
    for kind in ["engine", "service", "platform", "weights", "ports"] {
        insta::assert_snapshot!(format!("clem-fake-{kind}"), help("clem-fake", &[kind])?);
    }
    Ok(())
}

#[test]
fn every_program_prints_its_version() -> Result<()> {
    for program in [
        "clem-entry",
        "clem-control",
        "clem-agent",
        "clemctl",
        "clem-fake",
    ] {
        let output = Command::new(binary(program)?).arg("--version").output()?;
        let text = String::from_utf8(output.stdout)?;
        assert_eq!(
            text.trim(),
            format!("{program} {}", env!("CARGO_PKG_VERSION"))
        );
        assert!(output.status.success());
    }
    Ok(())
}
