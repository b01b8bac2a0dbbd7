//! Names that are renamed or removed without a sync of their folder.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind, Write},
    path::{Path, PathBuf},
};

use crate::{fault, side};

/// The file in the side folder with the changes of names.
const FILE: &str = "names";
/// The prefix of the links that keep replaced and removed files.
const KEPT: &str = "kept-";

/// A change of a name that isn't synced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum NameChange {
    Rename {
        from: PathBuf,
        to: PathBuf,
        kept: PathBuf,
    },
    Remove {
        path: PathBuf,
        kept: PathBuf,
    },
}

/// Renames a file.
///
/// # Errors
/// A system call fails.
pub fn rename(from: &Path, to: &Path) -> io::Result<()> {
    if let Some(side) = side::folder() {
        fault::wait();
        let kept = keep(side, to)?;
        note(side, &["rename", &text(from), &text(to), &text(&kept)])?;
    }
    fs::rename(from, to)
}

/// Removes a file.
///
/// # Errors
/// A system call fails.
pub fn remove(path: &Path) -> io::Result<()> {
    if let Some(side) = side::folder() {
        fault::wait();
        let kept = keep(side, path)?;
        note(side, &["remove", &text(path), &text(&kept)])?;
    }
    fs::remove_file(path)
}

/// Syncs a folder by `sync`, which makes the changes of its names durable.
///
/// # Errors
/// A system call fails.
pub fn sync_folder(sync: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
    let Some(side) = side::folder() else {
        return sync();
    };
    fault::wait();
    sync()?;
    clear(side)
}

/// Forgets all changes of names.
pub(crate) fn clear(side: &Path) -> io::Result<()> {
    if let Err(error) = fs::remove_file(side.join(FILE))
        && error.kind() != ErrorKind::NotFound
    {
        return Err(error);
    }
    for file in fs::read_dir(side)? {
        let file = file?;
        if file.file_name().to_string_lossy().starts_with(KEPT) {
            fs::remove_file(file.path())?;
        }
    }
    Ok(())
}

/// Keeps a file by another link, if it exists; returns the link.
fn keep(side: &Path, path: &Path) -> io::Result<PathBuf> {
    let number = fs::read_dir(side)?.count();
    let mut kept = side.join(format!("{KEPT}{number}"));
    while kept.exists() {
        kept = kept.with_extension("more");
    }
    match fs::hard_link(path, &kept) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        Ok(()) | Err(_) => Ok(kept),
    }
}

fn note(side: &Path, fields: &[&str]) -> io::Result<()> {
    let mut file: File = OpenOptions::new()
        .create(true)
        .append(true)
        .open(side.join(FILE))?;
    file.write_all(format!("{}\n", fields.join("\t")).as_bytes())
}

fn text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

/// Reads the changes of names, in their order.
pub(crate) fn read(side: &Path) -> io::Result<Vec<NameChange>> {
    let lines = match fs::read_to_string(side.join(FILE)) {
        Ok(lines) => lines,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut changes = Vec::new();
    for line in lines.lines() {
        let fields: Vec<&str> = line.split('\t').collect();
        match fields.as_slice() {
            ["rename", from, to, kept] => changes.push(NameChange::Rename {
                from: from.into(),
                to: to.into(),
                kept: kept.into(),
            }),
            ["remove", path, kept] => changes.push(NameChange::Remove {
                path: path.into(),
                kept: kept.into(),
            }),
            // A line that is incomplete was not followed by its change.
            [..] => {}
        }
    }
    Ok(changes)
}

impl NameChange {
    /// Takes the change back, if it was made.
    pub(crate) fn undo(&self) -> io::Result<()> {
        match self {
            Self::Rename { from, to, kept } => {
                if !from.exists() && to.exists() {
                    fs::rename(to, from)?;
                }
                if kept.exists() && !to.exists() {
                    fs::hard_link(kept, to)?;
                }
            }
            Self::Remove { path, kept } => {
                if kept.exists() && !path.exists() {
                    fs::hard_link(kept, path)?;
                }
            }
        }
        Ok(())
    }
}
