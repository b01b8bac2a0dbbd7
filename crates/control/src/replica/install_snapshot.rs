//! Receives a snapshot of the state and replaces the store with it.
//!
//! The snapshot is written to a separate file, which replaces the store only once it is complete
//! and synced. Before that, the log position of the snapshot is written to a file beside it, so
//! that a process that exits between the two steps recovers from the snapshot.

use std::{
    fs::{self, File},
    io::Write as _,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use clem_boot::spawn_vital;
use clem_log::{LogIndex, SnapshotMetadata};
use clem_store::{Draft, RedbStore};
use tokio::sync::watch;

use super::{
    calls::{SnapshotPage, SnapshotReply},
    fatal,
    shared::Shared,
};

/// Size of the store's page cache, in bytes.
pub(super) const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// File name of the store.
const STORE_FILE: &str = "state.redb";
/// File name of a snapshot that is being received.
const SNAPSHOT_FILE: &str = "copy.redb";
/// File name of the log position of the last received snapshot.
const BASE_FILE: &str = "copy.base";

/// How long the last page waits for the snapshot to be in place; shorter than the timeout of a page.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// A snapshot that is being received.
pub(super) struct Install {
    base: SnapshotMetadata,
    next: u64,
    store: Draft,
}

/// A snapshot that is being put in place.
pub(super) struct Installing {
    base: SnapshotMetadata,
    /// The result, once there is one.
    result: watch::Receiver<Option<SnapshotReply>>,
}

/// What is received of a snapshot.
#[derive(Default)]
pub(super) enum Incoming {
    /// Nothing.
    #[default]
    None,
    /// Some of its pages.
    Pages(Box<Install>),
    /// All of it. Its file is being put in place, so that no other one may be begun.
    Whole(Installing),
}

/// The path of the store in a data directory.
pub(super) fn store_path(data_dir: &Path) -> PathBuf {
    data_dir.join(STORE_FILE)
}

/// The log position of the last snapshot that was received, if any.
pub(super) fn installed_base(data_dir: &Path) -> Option<SnapshotMetadata> {
    let bytes = fs::read(data_dir.join(BASE_FILE)).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// Stores one page; the last page replaces the store by the snapshot, and may come again until that is done.
pub(super) async fn receive_page(shared: &Arc<Shared>, page: SnapshotPage) -> SnapshotReply {
    if let Some(reply) = refusal(shared, &page) {
        return reply;
    }
    let begun = match installing(shared, &page) {
        Some(begun) => begun,
        None if !add_page(shared, &page) => return SnapshotReply::Refused,
        None if !page.last => return SnapshotReply::Taken,
        None => match begin_install(shared) {
            Some(begun) => begun,
            None => return SnapshotReply::Refused,
        },
    };
    answer_install(begun).await
}

/// The installation of the snapshot whose last page has come once more.
fn installing(
    shared: &Shared,
    page: &SnapshotPage,
) -> Option<watch::Receiver<Option<SnapshotReply>>> {
    match &*shared.install() {
        Incoming::Whole(whole) if page.last && whole.base == page.base => {
            Some(whole.result.clone())
        }
        Incoming::Whole(_) | Incoming::Pages(_) | Incoming::None => None,
    }
}

/// Begins to put the received snapshot in place, which goes on if the sender gives up meanwhile.
fn begin_install(shared: &Arc<Shared>) -> Option<watch::Receiver<Option<SnapshotReply>>> {
    let (sender, result) = watch::channel(None);
    let mut incoming = shared.install();
    let Incoming::Pages(install) = std::mem::take(&mut *incoming) else {
        return None;
    };
    *incoming = Incoming::Whole(Installing {
        base: install.base.clone(),
        result: result.clone(),
    });
    let installing = put_in_place(Arc::clone(shared), install);
    spawn_vital("install_snapshot", async move {
        let reply = installing.await;
        sender.send_replace(Some(reply));
    });
    Some(result)
}

/// Waits for the result of an installation for as long as a call may take.
async fn answer_install(mut result: watch::Receiver<Option<SnapshotReply>>) -> SnapshotReply {
    let ended = result.wait_for(Option::is_some);
    match tokio::time::timeout(ANSWER_TIME, ended).await {
        Ok(Ok(reply)) => reply.clone().unwrap_or(SnapshotReply::Installing),
        Ok(Err(_)) | Err(_) => SnapshotReply::Installing,
    }
}

async fn put_in_place(shared: Arc<Shared>, install: Box<Install>) -> SnapshotReply {
    let folder = shared.data_dir.clone();
    let synced = tokio::task::spawn_blocking(move || finish(&folder, *install)).await;
    let reply = match synced {
        Ok(Ok(base)) => switch_to(&shared, base),
        Ok(Err(error)) => fatal::exit("failed to write a snapshot", &error),
        Err(error) => fatal::exit("failed to write a snapshot", &error),
    };
    *shared.install() = Incoming::None;
    reply
}

/// Returns why this process takes no page of a snapshot; `None` if it does.
fn refusal(shared: &Shared, page: &SnapshotPage) -> Option<SnapshotReply> {
    let mut core = shared.core();
    let core = core.as_mut().filter(|core| core.cluster == page.cluster);
    let core = core.filter(|core| page.to == shared.member && !core.node().is_leader());
    let Some(core) = core else {
        return Some(SnapshotReply::Refused);
    };
    if !core.holds(&page.base) {
        return None;
    }
    shared.work.notify_one();
    Some(SnapshotReply::Held)
}

/// Adds a page to the snapshot; page 0 starts a new one.
fn add_page(shared: &Shared, page: &SnapshotPage) -> bool {
    let mut incoming = shared.install();
    if matches!(*incoming, Incoming::Whole(_)) {
        return false;
    }
    if page.page == 0 {
        // Closes the file of an earlier one.
        *incoming = Incoming::None;
        match start(&shared.data_dir, page.base.clone()) {
            Ok(started) => *incoming = Incoming::Pages(Box::new(started)),
            Err(error) => fatal::exit("failed to write a snapshot", &error),
        }
    }
    let Incoming::Pages(install) = &mut *incoming else {
        return false;
    };
    if install.next != page.page || install.base != page.base {
        return false;
    }
    install.next += 1;
    for pair in &page.pairs {
        if let Err(error) = install.store.put(&pair.key, &pair.value) {
            fatal::exit("failed to write a snapshot", &error);
        }
    }
    true
}

fn start(folder: &Path, base: SnapshotMetadata) -> eyre::Result<Install> {
    let path = folder.join(SNAPSHOT_FILE);
    if path.exists() {
        fs::remove_file(&path)?;
    }
    let store = Draft::create(&path, CACHE_BYTES)?;
    Ok(Install {
        base,
        next: 0,
        store,
    })
}

/// Syncs the snapshot, then durably writes its log position.
fn finish(folder: &Path, install: Install) -> eyre::Result<SnapshotMetadata> {
    install.store.finish(install.base.index.0)?;
    let draft = folder.join(format!("{BASE_FILE}.draft"));
    let mut file = File::create(&draft)?;
    file.write_all(&rmp_serde::to_vec(&install.base)?)?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(BASE_FILE))?;
    File::open(folder)?.sync_all()?;
    Ok(install.base)
}

/// Replaces the store by the snapshot and resets the consensus node to its position.
fn switch_to(shared: &Shared, base: SnapshotMetadata) -> SnapshotReply {
    let now = shared.clock.now();
    let mut core = shared.core();
    let Some(core) = core.as_mut() else {
        return SnapshotReply::Refused;
    };
    if core.node().is_leader() {
        return SnapshotReply::Refused;
    }
    if core.holds(&base) {
        return SnapshotReply::Held;
    }
    let mut store = shared.store();
    match replace_store(&shared.data_dir) {
        Ok(opened) => *store = opened,
        Err(error) => fatal::exit("failed to install a snapshot", &error),
    }
    let index = base.index;
    let installed = core.install(now, base);
    debug_assert!(
        installed,
        "the preconditions were checked above, under the same lock"
    );
    debug_assert_eq!(
        LogIndex(store.applied()),
        index,
        "the snapshot is at its base index"
    );
    log::info!(index = index.0; "snapshot installed");
    shared.work.notify_one();
    SnapshotReply::Taken
}

fn replace_store(folder: &Path) -> eyre::Result<RedbStore> {
    let path = store_path(folder);
    fs::rename(folder.join(SNAPSHOT_FILE), &path)?;
    File::open(folder)?.sync_all()?;
    Ok(RedbStore::open(&path, CACHE_BYTES)?)
}
