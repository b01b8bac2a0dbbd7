//! Finds the programs under test, and builds them once.

use std::{
    env,
    path::{Path, PathBuf},
    process::Command,
    sync::OnceLock,
};

use eyre::{OptionExt, WrapErr, ensure};

use crate::Result;

/// The programs that tests start.
const PROGRAMS: [&str; 5] = [
    "clem-entry",
    "clem-control",
    "clem-agent",
    "clemctl",
    "clem-fake",
];

/// The path of one of the workspace's programs, built in this test's own profile.
///
/// `cargo test` builds only what a package's tests need; so the first call in a process builds all
/// programs, which is quick when nothing has changed. Cargo's own lock keeps parallel builds apart.
///
/// # Errors
/// The build fails, or the program is not part of the workspace.
pub fn binary(name: &str) -> Result<PathBuf> {
    static FOLDER: OnceLock<std::result::Result<PathBuf, String>> = OnceLock::new();
    let folder = FOLDER
        .get_or_init(|| build().map_err(|error| format!("{error:#}")))
        .as_ref()
        .map_err(|error| eyre::eyre!("{error}"))?;
    let path = folder.join(name);
    ensure!(path.exists(), "{} was not built", path.display());
    Ok(path)
}

fn build() -> Result<PathBuf> {
    // target/PROFILE/deps/TEST-HASH
    let test = env::current_exe()?;
    let folder = test.parent().and_then(Path::parent);
    let folder = folder.ok_or_eyre("the test is not in a target folder")?;
    let target = folder.parent().ok_or_eyre("no target folder")?;
    let profile = match folder.file_name().and_then(|name| name.to_str()) {
        Some("debug") => "dev",
        Some(name) => name,
        None => return Err(eyre::eyre!("no profile in {}", folder.display())),
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
        .wrap_err("cargo can't be started")?;
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(
        output.status.success(),
        "the programs can't be built: {errors}"
    );
    Ok(folder.to_owned())
}
