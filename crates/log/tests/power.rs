//! The log opens after a loss of power, with all that was acknowledged.

use std::{
    io::{BufRead, BufReader, Write as _},
    path::Path,
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use clem_log::{
    Entry, LogIndex, MemberId, Members, Payload, SnapshotMetadata, Term, Write,
    disk::{Folder, Identity},
};
use clem_power::{Choice, VARIABLE, restore};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

/// Losses of power in one folder.
const LOSSES: usize = 6;
/// Entries until the log is compacted.
const COMPACTED_EVERY: u64 = 7;
/// Bytes of an entry, so that segments are closed now and then.
const ENTRY_BYTES: usize = 400_000;
/// The longest time until the power is lost, in milliseconds.
const POWERED_MS: u64 = 60;

const FRESH: Identity = Identity {
    member: MemberId(7),
    cluster: None,
};

/// Appends entries until it is killed, and tells which are synced; does nothing in the test program
/// itself.
#[test]
fn append_until_killed() {
    if std::env::var_os(VARIABLE).is_none() {
        return;
    }
    let folder = std::env::current_dir().expect("a folder").join("data");
    let (mut folder, recovered) = Folder::open(&folder, FRESH).expect("the folder opens");
    let last = recovered.entries.last().map(|entry| entry.index);
    let mut next = last.unwrap_or(recovered.base.index).next();
    let mut out = std::io::stdout();
    loop {
        let entry = Entry {
            index: next,
            term: Term(1),
            payload: Payload::Data(vec![next.0 as u8; ENTRY_BYTES].into()),
        };
        let write = Write {
            entries: vec![entry],
            ..Write::default()
        };
        folder.write(vec![write]).expect("written");
        writeln!(out, "synced {}", next.0).expect("written");
        if next.0 % COMPACTED_EVERY == 0 {
            let base = SnapshotMetadata {
                index: LogIndex(next.0 - 1),
                term: Term(1),
                members: Members::default(),
            };
            folder.compact(base).expect("compacted");
        }
        next = next.next();
    }
}

/// Runs the appending process for a while; returns the last entry that it told.
fn append(site: &Path, powered: Duration) -> Option<u64> {
    let mut child = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "append_until_killed", "--nocapture"])
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
fn acknowledged_entries_outlast_losses_of_power() {
    for seed in 0..8 {
        println!("SEED log-power {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let site = TempDir::new().expect("a folder");
        let mut acknowledged = 0;
        for _ in 0..LOSSES {
            let powered = Duration::from_millis(rng.random_range(0..POWERED_MS));
            acknowledged = append(site.path(), powered).unwrap_or(acknowledged);
            let choice = match rng.random_range(0..3) {
                0 => Choice::None,
                _ => Choice::Some,
            };
            restore(&site.path().join("side"), choice, &mut rng).expect("restored");
            let data = site.path().join("data");
            let opened = Folder::open(&data, FRESH);
            let (_, recovered) = opened.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
            let last = recovered.entries.last().map(|entry| entry.index);
            let last = last.unwrap_or(recovered.base.index);
            assert!(last.0 >= acknowledged, "seed {seed}");
            for entry in &recovered.entries {
                let expected = Payload::Data(vec![entry.index.0 as u8; ENTRY_BYTES].into());
                assert_eq!(entry.payload, expected, "seed {seed}");
            }
        }
    }
}
