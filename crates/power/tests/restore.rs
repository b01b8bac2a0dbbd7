//! What remains after a loss of power: only what was synced, and any part of the rest.

use std::{
    fs::{self, File, OpenOptions},
    io::ErrorKind,
    os::unix::fs::FileExt,
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use clem_power::{Choice, DiskFault, Journal, VARIABLE, restore};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

/// The variable with what [`work`] does.
const SCENARIO: &str = "POWER_SCENARIO";
/// Bytes of a write that may be torn.
const LONG: usize = 3000;

/// A folder and the process that works in it.
struct Site(TempDir);

impl Site {
    fn new() -> Self {
        let site = Self(TempDir::new().expect("a folder"));
        fs::create_dir(site.0.path().join("data")).expect("a folder");
        site
    }

    fn start(&self, scenario: &str) -> Child {
        Command::new(std::env::current_exe().expect("this program"))
            .args(["--exact", "work", "--nocapture"])
            .env(VARIABLE, self.0.path().join("side"))
            .env(SCENARIO, scenario)
            .current_dir(self.0.path().join("data"))
            .stdout(Stdio::null())
            .spawn()
            .expect("it starts")
    }

    /// Runs a process that ends without syncing the rest.
    fn run(&self, scenario: &str) -> &Self {
        let status = self.start(scenario).wait().expect("it ends");
        assert!(status.success(), "{scenario}");
        self
    }

    fn lose_power(&self, choice: Choice, seed: u64) -> &Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        restore(&self.0.path().join("side"), choice, &mut rng).expect("it is restored");
        self
    }

    fn read(&self, name: &str) -> Option<Vec<u8>> {
        fs::read(self.0.path().join("data").join(name)).ok()
    }
}

struct Scratch {
    file: File,
    journal: Journal,
}

impl Scratch {
    fn open(name: &str) -> Self {
        let path = std::env::current_dir().expect("a folder").join(name);
        let created = !path.exists();
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(&path)
            .expect("a file");
        let journal = Journal::open(&path, &file, created).expect("a journal");
        Self { file, journal }
    }

    fn write(&self, offset: u64, bytes: &[u8]) {
        let write = || self.file.write_all_at(bytes, offset);
        let written = self.journal.write(offset, bytes.len(), write);
        written.expect("written");
    }

    fn resize(&self, to: u64) {
        let resized = self.journal.resize(to, || self.file.set_len(to));
        resized.expect("resized");
    }

    fn sync(&self) {
        self.journal.sync(|| self.file.sync_all()).expect("synced");
    }
}

fn sync_folder() {
    let folder = File::open(".").expect("the folder");
    clem_power::sync_folder(|| folder.sync_all()).expect("synced");
}

/// The process whose machine loses power; does nothing in the test program itself.
#[test]
fn work() {
    let Ok(scenario) = std::env::var(SCENARIO) else {
        return;
    };
    let here = std::env::current_dir().expect("a folder");
    match scenario.as_str() {
        "writes" => {
            let file = Scratch::open("a");
            file.write(0, b"synced");
            file.sync();
            file.write(6, &[7; LONG]);
            file.write(0, b"SY");
        }
        "more" => Scratch::open("a").write(2, b"NC"),
        "resize" => {
            let file = Scratch::open("a");
            file.write(0, b"synced");
            file.sync();
            file.resize(3);
            file.write(1, b"12345678");
        }
        "create" => Scratch::open("a").write(0, b"new"),
        "two files" => {
            for (name, text) in [("a", b"old"), ("b", b"new")] {
                let file = Scratch::open(name);
                file.write(0, text);
                file.sync();
            }
        }
        "rename" => clem_power::rename(&here.join("b"), &here.join("a")).expect("renamed"),
        "remove" => clem_power::remove(&here.join("a")).expect("removed"),
        "sync names" => sync_folder(),
        "full" => {
            let file = Scratch::open("a");
            let written = file.journal.write(0, 1, || file.file.write_all_at(b"1", 0));
            let error = written.expect_err("no room");
            assert_eq!(error.kind(), ErrorKind::StorageFull);
            assert!(clem_power::is_full());
        }
        other => panic!("unknown scenario {other}"),
    }
}

fn complete() -> Vec<u8> {
    [b"SYnced".as_slice(), &[7; LONG]].concat()
}

#[test]
fn writes_that_were_not_synced_may_be_gone() {
    let site = Site::new();
    site.run("writes").lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"synced".as_slice()));
}

#[test]
fn writes_that_were_not_synced_may_be_there() {
    let site = Site::new();
    site.run("writes").lose_power(Choice::All, 1);
    assert_eq!(site.read("a"), Some(complete()));
}

#[test]
fn a_killed_process_loses_nothing() {
    let site = Site::new();
    site.run("writes");
    assert_eq!(site.read("a"), Some(complete()));
}

#[test]
fn writes_are_there_gone_or_torn_independently() {
    let mut seen = [false; 5];
    for seed in 0..40 {
        let site = Site::new();
        site.run("writes").lose_power(Choice::Some, seed);
        let found = site.read("a").expect("it was synced");
        assert_eq!(&found[2..6], b"nced", "seed {seed}");
        assert!(found.iter().skip(6).all(|byte| [0, 7].contains(byte)));
        let long = found.iter().filter(|byte| **byte == 7).count();
        seen[0] |= long == LONG;
        seen[1] |= long == 0;
        seen[2] |= long > 0 && long < LONG;
        seen[3] |= &found[..2] == b"SY";
        seen[4] |= &found[..2] == b"sy";
    }
    assert_eq!(seen, [true; 5]);
}

#[test]
fn a_length_that_was_not_synced_may_be_gone() {
    let site = Site::new();
    site.run("resize").lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"synced".as_slice()));
}

#[test]
fn a_new_file_lasts_only_once_it_is_synced() {
    let site = Site::new();
    site.run("create").lose_power(Choice::None, 1);
    assert_eq!(site.read("a"), None);
    site.run("two files").lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"old".as_slice()));
}

#[test]
fn a_renamed_file_lasts_only_once_its_folder_is_synced() {
    let site = Site::new();
    site.run("two files").run("rename");
    site.lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"old".as_slice()));
    assert_eq!(site.read("b").as_deref(), Some(b"new".as_slice()));
    site.run("rename").run("sync names");
    site.lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"new".as_slice()));
    assert_eq!(site.read("b"), None);
}

#[test]
fn a_removed_file_is_gone_only_once_its_folder_is_synced() {
    let site = Site::new();
    site.run("two files").run("remove");
    site.lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"old".as_slice()));
    site.run("remove").run("sync names");
    site.lose_power(Choice::None, 1);
    assert_eq!(site.read("a"), None);
}

#[test]
fn what_a_killed_process_did_not_sync_is_still_not_synced() {
    let site = Site::new();
    site.run("writes").run("more");
    site.lose_power(Choice::None, 1);
    assert_eq!(site.read("a").as_deref(), Some(b"synced".as_slice()));
}

#[test]
fn a_disk_that_hangs_lets_writes_wait() {
    let site = Site::new();
    let side = site.0.path().join("side");
    DiskFault::Hang.begin(&side).expect("a side folder");
    let mut child = site.start("writes");
    thread::sleep(Duration::from_millis(300));
    assert!(child.try_wait().expect("a child").is_none());
    assert_eq!(site.read("a").as_deref(), Some(b"".as_slice()));
    DiskFault::Hang.end(&side).expect("a side folder");
    assert!(child.wait().expect("it ends").success());
    assert_eq!(site.read("a"), Some(complete()));
}

#[test]
fn a_full_disk_refuses_writes() {
    let site = Site::new();
    let side = site.0.path().join("side");
    DiskFault::Full.begin(&side).expect("a side folder");
    site.run("full");
    DiskFault::Full.end(&side).expect("a side folder");
    site.run("writes");
}

#[test]
fn nothing_is_restored_without_a_side_folder() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let none = restore(Path::new("no-such-folder"), Choice::None, &mut rng);
    assert_eq!(none.expect("nothing to do"), 0);
}
