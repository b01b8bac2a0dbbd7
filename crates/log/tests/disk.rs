//! The log on disk recovers synced data, truncates an incomplete write and rejects damage.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use clem_log::{
    Entry, HardState, LogIndex, MemberId, Members, Payload, SnapshotMetadata, Term, Write,
    WriteNumber,
    disk::{DiskError, DiskEvent, FileSystem, Folder, Identity, Recovered, RoomProbe, Writer},
};
use proptest::prelude::*;
use tempfile::TempDir;
use tokio::sync::mpsc::UnboundedReceiver;

const FRESH: Identity = Identity {
    member: MemberId(7),
    cluster: None,
};

fn open(path: &Path) -> (Folder, Recovered) {
    Folder::open(path, FRESH).expect("the folder opens")
}

fn entry(index: u64, term: u64, size: usize) -> Entry {
    let payload = Payload::Data(vec![index as u8; size].into());
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload,
    }
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Write {
    let entries = range.map(|index| entry(index, term, 100)).collect();
    Write {
        entries,
        ..Write::default()
    }
}

fn base(index: u64, term: u64) -> SnapshotMetadata {
    SnapshotMetadata {
        index: LogIndex(index),
        term: Term(term),
        members: Members::default(),
    }
}

fn segments(path: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for file in fs::read_dir(path).expect("the folder is there") {
        let file = file.expect("the file is there").path();
        if file.to_string_lossy().contains("segment-") {
            found.push(file);
        }
    }
    found.sort();
    found
}

fn flip_byte(path: &Path, at: usize) {
    let mut bytes = fs::read(path).expect("the segment is there");
    bytes[at] ^= 0xff;
    fs::write(path, bytes).expect("the segment can be written");
}

fn open_error(path: &Path) -> DiskError {
    Folder::open(path, FRESH)
        .map(|_| ())
        .expect_err("opening fails")
}

#[test]
fn written_data_is_recovered() {
    let dir = TempDir::new().unwrap();
    let (mut folder, recovered) = open(dir.path());
    assert!(recovered.entries.is_empty());
    let hard = HardState {
        term: Term(3),
        vote: Some(MemberId(9)),
    };
    folder
        .write(vec![Write {
            hard: Some(hard),
            ..entries(1..=5, 3)
        }])
        .unwrap();
    // A new leader replaces the last entries.
    folder.write(vec![entries(4..=6, 4)]).unwrap();
    drop(folder);
    let (_folder, recovered) = open(dir.path());
    assert_eq!(recovered.hard, hard);
    assert_eq!(recovered.torn_bytes, 0);
    let terms: Vec<u64> = recovered.entries.iter().map(|entry| entry.term.0).collect();
    assert_eq!(terms, [3, 3, 3, 4, 4, 4]);
}

#[test]
fn an_incomplete_write_is_truncated() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    folder.write(vec![entries(1..=3, 1)]).unwrap();
    let whole = fs::metadata(&segments(dir.path())[0]).unwrap().len();
    folder.write(vec![entries(4..=9, 1)]).unwrap();
    drop(folder);
    let path = segments(dir.path()).remove(0);
    let full = fs::metadata(&path).unwrap().len();
    for length in whole + 1..full {
        let copy = TempDir::new().unwrap();
        for file in fs::read_dir(dir.path()).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), copy.path().join(file.file_name())).unwrap();
        }
        let torn = copy.path().join(path.file_name().unwrap());
        OpenOptions::new()
            .write(true)
            .open(&torn)
            .unwrap()
            .set_len(length)
            .unwrap();
        let (mut folder, recovered) = open(copy.path());
        assert_eq!(recovered.entries.len(), 3, "truncated to {length}");
        assert_eq!(recovered.torn_bytes, length - whole);
        folder.write(vec![entries(4..=4, 2)]).unwrap();
        drop(folder);
        let (_folder, recovered) = open(copy.path());
        assert_eq!(recovered.entries.len(), 4, "truncated to {length}");
    }
}

#[test]
fn damage_before_valid_frames_is_reported_with_file_and_offset() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    folder.write(vec![entries(1..=3, 1)]).unwrap();
    let offset_of_damage = fs::metadata(&segments(dir.path())[0]).unwrap().len();
    folder.write(vec![entries(4..=6, 1)]).unwrap();
    folder.write(vec![entries(7..=9, 1)]).unwrap();
    drop(folder);
    let path = segments(dir.path()).remove(0);
    flip_byte(&path, usize::try_from(offset_of_damage).unwrap() + 20);
    match open_error(dir.path()) {
        DiskError::Damaged {
            path: named,
            offset,
            ..
        } => {
            assert_eq!(named, path);
            assert_eq!(offset, offset_of_damage);
        }
        other => panic!("{other}"),
    }
}

#[test]
fn damage_at_the_end_of_an_earlier_segment_is_rejected() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    for index in 1..=3 {
        let large = Write {
            entries: vec![entry(index, 1, 5 << 20)],
            ..Write::default()
        };
        folder.write(vec![large]).unwrap();
    }
    drop(folder);
    let all = segments(dir.path());
    assert!(all.len() > 1, "the log has more than one segment");
    let length = fs::metadata(&all[0]).unwrap().len();
    flip_byte(&all[0], usize::try_from(length).unwrap() - 1);
    assert!(matches!(open_error(dir.path()), DiskError::Damaged { path, .. } if path == all[0]));
}

#[test]
fn a_missing_segment_is_rejected() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    for index in 1..=5 {
        let large = Write {
            entries: vec![entry(index, 1, 5 << 20)],
            ..Write::default()
        };
        folder.write(vec![large]).unwrap();
    }
    drop(folder);
    let all = segments(dir.path());
    fs::remove_file(&all[1]).unwrap();
    assert!(matches!(open_error(dir.path()), DiskError::Damaged { path, .. } if path == all[1]));
}

#[test]
fn a_power_loss_that_undoes_some_removals_of_a_compaction_leaves_a_log_that_opens() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    for index in 1..=10 {
        let large = Write {
            entries: vec![entry(index, 1, 5 << 20)],
            ..Write::default()
        };
        folder.write(vec![large]).unwrap();
    }
    let before: Vec<(PathBuf, Vec<u8>)> = segments(dir.path())
        .into_iter()
        .map(|path| (path.clone(), fs::read(path).unwrap()))
        .collect();
    folder.compact(base(8, 1)).unwrap();
    drop(folder);
    let kept = segments(dir.path());
    let removed: Vec<_> = before.iter().filter(|(p, _)| !kept.contains(p)).collect();
    assert!(
        removed.len() >= 3,
        "{} segments were removed",
        removed.len()
    );
    for undone in 0..1_u32 << removed.len() {
        let copy = TempDir::new().unwrap();
        for file in fs::read_dir(dir.path()).unwrap() {
            let file = file.unwrap();
            fs::copy(file.path(), copy.path().join(file.file_name())).unwrap();
        }
        for (at, (path, bytes)) in removed.iter().enumerate() {
            if undone & (1 << at) != 0 {
                fs::write(copy.path().join(path.file_name().unwrap()), bytes).unwrap();
            }
        }
        let (mut folder, recovered) = Folder::open(copy.path(), FRESH)
            .unwrap_or_else(|error| panic!("removals undone {undone:b}: {error}"));
        assert_eq!(recovered.base, base(8, 1));
        let indices: Vec<u64> = recovered.entries.iter().map(|e| e.index.0).collect();
        assert_eq!(indices, [9, 10]);
        folder.write(vec![entries(11..=11, 1)]).unwrap();
        folder.compact(base(10, 1)).unwrap();
        drop(folder);
        let (_folder, recovered) = open(copy.path());
        assert_eq!(recovered.entries.len(), 1);
    }
}

#[test]
fn a_missing_segment_after_the_compacted_ones_is_rejected() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    for index in 1..=10 {
        let large = Write {
            entries: vec![entry(index, 1, 5 << 20)],
            ..Write::default()
        };
        folder.write(vec![large]).unwrap();
    }
    folder.compact(base(3, 1)).unwrap();
    drop(folder);
    let kept = segments(dir.path());
    assert!(kept.len() > 3, "{} segments are left", kept.len());
    for lost in &kept[1..kept.len() - 1] {
        let copy = TempDir::new().unwrap();
        for file in fs::read_dir(dir.path()).unwrap() {
            let file = file.unwrap();
            if file.path() != *lost {
                fs::copy(file.path(), copy.path().join(file.file_name())).unwrap();
            }
        }
        let missing = copy.path().join(lost.file_name().unwrap());
        assert!(
            matches!(open_error(copy.path()), DiskError::Damaged { path, .. } if path == missing)
        );
    }
}

#[test]
fn compaction_removes_segments() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    for index in 1..=6 {
        let large = Write {
            entries: vec![entry(index, 1, 5 << 20)],
            ..Write::default()
        };
        folder.write(vec![large]).unwrap();
    }
    let before = segments(dir.path()).len();
    folder.compact(base(5, 1)).unwrap();
    let after = segments(dir.path());
    assert!(
        after.len() < before,
        "{before} segments before, {} after",
        after.len()
    );
    drop(folder);
    let (_folder, recovered) = open(dir.path());
    assert_eq!(recovered.base, base(5, 1));
    let kept: Vec<u64> = recovered
        .entries
        .iter()
        .map(|entry| entry.index.0)
        .collect();
    assert_eq!(kept, [6]);
}

#[test]
fn a_reset_replaces_the_log() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    folder.write(vec![entries(1..=9, 1)]).unwrap();
    let reset = Write {
        reset: Some(base(50, 4)),
        ..entries(51..=52, 4)
    };
    folder.write(vec![reset]).unwrap();
    drop(folder);
    let (_folder, recovered) = open(dir.path());
    assert_eq!(recovered.base, base(50, 4));
    assert_eq!(recovered.entries.len(), 2);
}

#[test]
fn a_folder_is_locked_while_open() {
    let dir = TempDir::new().unwrap();
    let (_folder, _) = open(dir.path());
    assert!(matches!(open_error(dir.path()), DiskError::Locked(_)));
}

#[test]
fn identity_is_kept_and_a_damaged_or_missing_one_is_rejected() {
    let dir = TempDir::new().unwrap();
    let (mut folder, _) = open(dir.path());
    let joined = Identity {
        cluster: Some(clem_log::ClusterId(5)),
        ..FRESH
    };
    folder.set_identity(joined).unwrap();
    drop(folder);
    let other = Identity {
        member: MemberId(8),
        cluster: None,
    };
    let (folder, recovered) = Folder::open(dir.path(), other).unwrap();
    assert_eq!(recovered.identity, joined);
    drop(folder);
    flip_byte(&dir.path().join("identity"), 3);
    assert!(matches!(open_error(dir.path()), DiskError::Damaged { .. }));
    fs::remove_file(dir.path().join("identity")).unwrap();
    assert!(
        matches!(open_error(dir.path()), DiskError::Damaged { .. }),
        "a log without an identity"
    );
}

/// The next event that is not about room alone.
async fn next_event(events: &mut UnboundedReceiver<DiskEvent>) -> Option<DiskEvent> {
    loop {
        match events.recv().await {
            Some(DiskEvent::Idle { free_bytes }) => assert!(free_bytes > 0),
            event => return event,
        }
    }
}

#[tokio::test]
async fn the_writer_syncs_in_order_and_reports_failure() {
    let dir = TempDir::new().unwrap();
    let (folder, _) = open(dir.path());
    let (writer, mut events) = Writer::start(folder, Arc::new(FileSystem)).unwrap();
    for number in 1..=100 {
        writer.write(Write {
            number: WriteNumber(number),
            ..entries(number..=number, 1)
        });
    }
    let mut synced = 0;
    while synced < 100 {
        match next_event(&mut events).await {
            Some(DiskEvent::Synced { number, free_bytes }) => {
                assert!(number.0 > synced && free_bytes > 0);
                synced = number.0;
            }
            other => panic!("{other:?}"),
        }
    }
    // The next segment can't be created, as a folder has its name.
    fs::create_dir(dir.path().join("segment-000000000002")).unwrap();
    let large = Write {
        entries: vec![entry(101, 1, 9 << 20)],
        ..Write::default()
    };
    writer.write(large);
    assert!(matches!(
        next_event(&mut events).await,
        Some(DiskEvent::Failed(DiskError::Io { .. }))
    ));
    assert!(
        next_event(&mut events).await.is_none(),
        "nothing is written after a failure"
    );
}

/// A disk whose room the test sets.
#[derive(Debug)]
struct Room(AtomicU64);

impl RoomProbe for Room {
    fn free_bytes(&self, _folder: &Path) -> io::Result<u64> {
        Ok(self.0.load(Ordering::SeqCst))
    }
}

/// Waits until the writer reports this much room.
async fn until_room(events: &mut UnboundedReceiver<DiskEvent>, wanted: u64) {
    loop {
        match events.recv().await {
            Some(DiskEvent::Idle { free_bytes }) if free_bytes == wanted => return,
            Some(DiskEvent::Idle { .. }) => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Room was read after writes only, and whoever is short of room writes nothing.
#[tokio::test]
async fn the_writer_reports_room_without_a_write() {
    let dir = TempDir::new().unwrap();
    let (folder, _) = open(dir.path());
    let room = Arc::new(Room(AtomicU64::new(3)));
    let probe: Arc<dyn RoomProbe> = room.clone();
    let (_writer, mut events) = Writer::start(folder, probe).unwrap();
    until_room(&mut events, 3).await;
    room.0.store(7, Ordering::SeqCst);
    until_room(&mut events, 7).await;
}

/// A process that ended since a write failed is started again until there is room.
#[tokio::test]
async fn a_log_whose_write_failed_goes_on_once_there_is_room() {
    let dir = TempDir::new().unwrap();
    let (folder, _) = open(dir.path());
    let (writer, mut events) = Writer::start(folder, Arc::new(FileSystem)).unwrap();
    writer.write(entries(1..=3, 1));
    assert!(matches!(
        next_event(&mut events).await,
        Some(DiskEvent::Synced { .. })
    ));
    // The next segment can't be created, as a folder has its name.
    let obstacle = dir.path().join("segment-000000000002");
    fs::create_dir(&obstacle).unwrap();
    writer.write(Write {
        entries: vec![entry(4, 1, 9 << 20)],
        ..Write::default()
    });
    assert!(matches!(
        next_event(&mut events).await,
        Some(DiskEvent::Failed(_))
    ));
    drop(writer);
    assert!(next_event(&mut events).await.is_none());
    for _ in 0..3 {
        Folder::open(dir.path(), FRESH).unwrap_err();
    }
    fs::remove_dir(&obstacle).unwrap();
    let (mut folder, recovered) = open(dir.path());
    assert!(recovered.entries.len() >= 3, "what was synced is kept");
    let next = recovered.entries.len() as u64 + 1;
    folder.write(vec![entries(next..=next, 1)]).unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn trailing_bytes_are_truncated_or_rejected(tail in proptest::collection::vec(any::<u8>(), 0..300)) {
        let dir = TempDir::new().unwrap();
        let (mut folder, _) = open(dir.path());
        folder.write(vec![entries(1..=3, 1)]).unwrap();
        drop(folder);
        let path = segments(dir.path()).remove(0);
        OpenOptions::new().append(true).open(&path).unwrap().write_all(&tail).unwrap();
        if let Ok((_folder, recovered)) = Folder::open(dir.path(), FRESH) {
            prop_assert_eq!(recovered.entries.len(), 3);
        }
    }
}
