//! Builds the programs under test once per test process and locates them.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
    sync::OnceLock,
};

use eyre::{OptionExt, WrapErr, ensure};

use crate::Result;

/// The programs that the tests start.
const PROGRAMS: [&str; 5] = [
    "clem-entry",
    "clem-control",
    "clem-agent",
    "clemctl",
    "clem-fake",
];

/// Returns the path of a program of the workspace, built in the profile of the running test.
///
/// `cargo test` builds only the dependencies of a package's tests, so the first call in a process
/// builds all programs, which is quick when they are up to date. Cargo's lock serialises parallel
/// builds.
///
/// # Errors
/// The build fails, or `name` isn't a program of the workspace.
pub fn binary(name: &str) -> Result<PathBuf> {
    static FOLDER: OnceLock<std::result::Result<PathBuf, String>> = OnceLock::new();
    let folder = FOLDER
        .get_or_init(|| build().map_err(|error| format!("{error:#}")))
        .as_ref()
        .map_err(|error| eyre::eyre!("{error}"))?;
    let path = folder.join(name);
    ensure!(
        path.exists(),
        "{} doesn't exist after the build",
        path.display()
    );
    Ok(path)
}

fn build() -> Result<PathBuf> {
    // The test executable is target/PROFILE/deps/TEST-HASH.
    let test = env::current_exe()?;
    let folder = test.parent().and_then(Path::parent);
    let folder = folder.ok_or_eyre("the test executable is not in a target folder")?;
    let target = folder
        .parent()
        .ok_or_eyre("the profile folder has no parent")?;
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") => "dev",
        Some(name) => name,
        None => return Err(eyre::eyre!("no profile name in {}", folder.display())),
    };
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--workspace", "--locked", "--profile", profile]);
    for program in PROGRAMS {
        command.args(["--bin", program]);
    }
    let output = command
        .arg("--target-dir")
        .arg(target)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .wrap_err("can't start cargo")?;
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(
        output.status.success(),
        "can't build the programs: {errors}"
    );
    Ok(folder.to_owned())
}
