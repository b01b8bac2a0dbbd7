//! The side folder of a process.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::OnceLock,
};

/// The environment variable with the side folder.
pub const VARIABLE: &str = "CLEM_POWER_FOLDER";

/// Returns whether this process journals what it has not synced.
#[inline]
pub fn is_on() -> bool {
    folder().is_some()
}

/// The side folder, if there is one.
#[inline]
pub(crate) fn folder() -> Option<&'static Path> {
    if cfg!(feature = "power-loss") {
        chosen()
    } else {
        None
    }
}

fn chosen() -> Option<&'static Path> {
    static FOLDER: OnceLock<Option<PathBuf>> = OnceLock::new();
    let chosen = FOLDER.get_or_init(|| {
        let folder = PathBuf::from(std::env::var_os(VARIABLE)?);
        // Without its folder a test would see no loss at all.
        fs::create_dir_all(&folder).ok()?;
        Some(folder)
    });
    chosen.as_deref()
}
