//! What a process finds in its data directory after a loss of power, and whether it starts.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::{fs, path::Path, sync::Arc};

use clem_boot::Clock;
use clem_control::replica::{RESERVE_BYTES, Replica, ReplicaSettings};
use clem_log::{
    ClusterId, MemberId,
    disk::{FileSystem, Folder, Identity},
};
use clem_wire::FleetSecret;
use tempfile::TempDir;

/// File name of the store.
const STORE: &str = "state.redb";
/// Size of a store that has just been created, in bytes.
const CREATED_BYTES: usize = 1024 * 1024;

fn open(folder: &Path) -> eyre::Result<Replica> {
    Replica::open(ReplicaSettings {
        data_dir: Some(folder.to_owned()),
        address: "127.0.0.1:1".parse().unwrap(),
        peers: Vec::new(),
        secret: FleetSecret::new("startup-test-001").unwrap(),
        clock: Clock::start(),
        bootstrap: true,
        predates_group: false,
        reserve_bytes: RESERVE_BYTES,
        probe: Arc::new(FileSystem),
        consensus: clem_log::Settings::default(),
    })
}

/// A data directory with this identity and store.
fn folder(cluster: Option<ClusterId>, store: &[u8]) -> TempDir {
    let folder = TempDir::new().unwrap();
    let identity = Identity {
        member: MemberId(1),
        cluster,
    };
    drop(Folder::open(folder.path(), identity).unwrap());
    fs::write(folder.path().join(STORE), store).unwrap();
    folder
}

/// The process ended at each start, for good.
#[tokio::test]
async fn a_process_starts_whose_store_was_cut_short_at_its_creation() {
    for store in [
        &[][..],
        &[0; 5],
        &[0; CREATED_BYTES],
        &[0xa5; CREATED_BYTES],
    ] {
        let folder = folder(None, store);
        let opened = open(folder.path());
        assert!(opened.is_ok(), "{:?}", opened.err());
    }
}

/// The state of a member can't be had from its log alone.
#[tokio::test]
async fn a_damaged_store_of_a_member_is_kept_and_refused() {
    let store = [0; CREATED_BYTES];
    let folder = folder(Some(ClusterId(1)), &store);
    assert!(open(folder.path()).is_err());
    assert_eq!(fs::read(folder.path().join(STORE)).unwrap(), store);
}
