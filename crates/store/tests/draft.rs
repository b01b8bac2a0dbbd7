//! Drafts of stores, which are synced once.

use std::{
    path::Path,
    process::{Command, Stdio},
};

use clem_power::{Choice, VARIABLE, restore};
use clem_store::{Draft, RedbStore, Store};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

const CACHE_BYTES: usize = 1 << 20;
/// Pairs of a draft, which is larger than its cache, so that its file grows while it is written.
const KEYS: u64 = 1000;
const VALUE_BYTES: usize = 4000;
const APPLIED: u64 = 7;
/// Tells the other program whether to finish the draft.
const FINISHES: &str = "DRAFT_FINISHES";

fn write(path: &Path) -> Draft {
    let mut draft = Draft::create(path, CACHE_BYTES).expect("created");
    for key in 0..KEYS {
        let value = vec![1; VALUE_BYTES];
        draft.put(&key.to_le_bytes(), &value).expect("written");
    }
    draft
}

/// Writes a draft and ends as if it were killed; does nothing in the test program itself.
#[test]
fn write_and_die() {
    if std::env::var_os(VARIABLE).is_none() {
        return;
    }
    let site = std::env::current_dir().expect("a folder");
    let draft = write(&site.join("db"));
    if std::env::var_os(FINISHES).is_some() {
        draft.finish(APPLIED).expect("synced");
    } else {
        std::mem::forget(draft);
    }
    std::process::abort();
}

/// Writes a draft in a process of its own and loses what it hasn't synced.
fn write_and_lose_power(site: &Path, finishes: bool) {
    let mut program = Command::new(std::env::current_exe().expect("this program"));
    program.args(["--exact", "write_and_die"]);
    program.env(VARIABLE, site.join("side")).current_dir(site);
    if finishes {
        program.env(FINISHES, "1");
    }
    program.stdout(Stdio::null()).status().expect("it ran");
    assert!(site.join("db").exists(), "it was not written");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    restore(&site.join("side"), Choice::None, &mut rng).expect("restored");
}

/// A process that began to receive a copy answered nobody until a slow disk had synced it.
#[test]
fn an_incomplete_draft_has_synced_nothing() {
    let site = TempDir::new().expect("a folder");
    write_and_lose_power(site.path(), false);
    let length = std::fs::metadata(site.path().join("db")).map_or(0, |file| file.len());
    assert_eq!(length, 0, "bytes that were synced");
}

/// A store of which a part was never synced would replace a sound one.
#[test]
fn a_finished_draft_outlasts_a_loss_of_power() {
    let site = TempDir::new().expect("a folder");
    write_and_lose_power(site.path(), true);
    let store = RedbStore::open(&site.path().join("db"), CACHE_BYTES).expect("it opens");
    assert_eq!(store.applied(), APPLIED);
    for key in 0..KEYS {
        let value = store.get(&key.to_le_bytes()).expect("read");
        assert_eq!(value.as_deref(), Some(&[1; VALUE_BYTES][..]));
    }
}
