//! A store opens after a loss of power, in the state of its last sync or a later commit.

use std::{
    io::{BufRead, BufReader, Write as _},
    path::Path,
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use clem_power::{Choice, VARIABLE, restore};
use clem_store::{RedbStore, Store};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

const CACHE_BYTES: usize = 1 << 20;
/// Losses of power in one folder.
const LOSSES: usize = 6;
/// Commits until the store is synced.
const SYNCED_EVERY: u64 = 5;
/// Pairs that a commit replaces.
const KEYS: u64 = 40;
/// The longest time until the power is lost, in milliseconds.
const POWERED_MS: u64 = 120;

/// Commits until it is killed, and tells what is synced; does nothing in the test program itself.
#[test]
fn commit_until_killed() {
    if std::env::var_os(VARIABLE).is_none() {
        return;
    }
    let path = std::env::current_dir().expect("a folder").join("db");
    let mut store = RedbStore::open(&path, CACHE_BYTES).expect("it opens");
    let syncer = store.syncer();
    let mut out = std::io::stdout();
    for applied in store.applied() + 1.. {
        for key in 0..KEYS {
            let value = applied.to_le_bytes().repeat(50);
            store.put(&key.to_le_bytes(), &value).expect("written");
        }
        store.commit(applied).expect("committed");
        if applied.is_multiple_of(SYNCED_EVERY) {
            let synced = syncer.sync().expect("synced");
            writeln!(out, "synced {synced}").expect("written");
        }
    }
}

/// Runs the committing process for a while; returns the last commit that it told.
fn commit(site: &Path, powered: Duration) -> Option<u64> {
    let mut child = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "commit_until_killed", "--nocapture"])
        .env(VARIABLE, site.join("side"))
        .current_dir(site)
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let out = BufReader::new(child.stdout.take().expect("its output"));
    let reader = thread::spawn(move || {
        let mut last = None;
        for line in out.lines() {
            let line = line.expect("a line");
            let number = line.strip_prefix("synced ").map(str::parse);
            last = number.and_then(Result::ok).or(last);
        }
        last
    });
    thread::sleep(powered);
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    reader.join().expect("it ends")
}

#[test]
fn synced_commits_outlast_losses_of_power() {
    for seed in 0..8 {
        println!("SEED store-power {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = TempDir::new().expect("a folder");
        let mut synced = 0;
        for _ in 0..LOSSES {
            let powered = Duration::from_millis(rng.random_range(0..POWERED_MS));
            synced = commit(site.path(), powered).unwrap_or(synced);
            let choice = match rng.random_range(0..3) {
                0 => Choice::None,
                _ => Choice::Some,
            };
            restore(&site.path().join("side"), choice, &mut rng).expect("restored");
            let path = site.path().join("db");
            let mut store = RedbStore::open(&path, CACHE_BYTES);
            // Its creation was interrupted; a process removes such a store while its disk has no group.
            if store.is_err() && synced == 0 {
                std::fs::remove_file(&path).expect("removed");
                store = RedbStore::open(&path, CACHE_BYTES);
            }
            let store = store.unwrap_or_else(|error| panic!("seed {seed}: {error:?}"));
            let applied = store.applied();
            assert!(applied >= synced, "seed {seed}: {applied} of {synced}");
            for key in 0..KEYS {
                let value = store.get(&key.to_le_bytes()).expect("read");
                let expected = (applied > 0).then(|| applied.to_le_bytes().repeat(50));
                assert_eq!(value.as_deref(), expected.as_deref(), "seed {seed}");
            }
        }
    }
}
