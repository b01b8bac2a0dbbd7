//! Taking in a copy of the state.
//!
//! The copy is built in a file of its own and takes the store's place only when it is whole and
//! synced. The place where the log starts after it is written beside it first, so that a process
//! that ends between the two steps goes on from the copy.

use std::{
    fs::{self, File},
    io::Write as _,
    path::{Path, PathBuf},
    sync::Arc,
};

use clem_log::{Base, LogIndex};
use clem_store::{RedbStore, Store as _};

use super::{
    calls::{CopyPage, CopyReply},
    fatal,
    shared::Shared,
};

/// The page cache of the store, in bytes.
pub(super) const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// The store.
const STORE: &str = "state.redb";
/// The copy that is being taken in.
const COPY: &str = "copy.redb";
/// Where the log starts after the copy.
const BASE: &str = "copy.base";

/// A copy that is being taken in.
pub(super) struct Install {
    base: Base,
    next: u64,
    copy: RedbStore,
}

/// The store's file in a data folder.
pub(super) fn store_path(data_dir: &Path) -> PathBuf {
    data_dir.join(STORE)
}

/// The place where the log starts after the last copy that was taken in, if any.
pub(super) fn last_base(data_dir: &Path) -> Option<Base> {
    let bytes = fs::read(data_dir.join(BASE)).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// Takes one page; the last one puts the copy in use.
pub(super) async fn take_page(shared: &Arc<Shared>, page: CopyPage) -> CopyReply {
    if !is_wanted(shared, &page) {
        return CopyReply::Refused;
    }
    let last = page.last;
    if !add_page(shared, &page) {
        return CopyReply::Refused;
    }
    if !last {
        return CopyReply::Taken;
    }
    let Some(install) = shared.install().take() else {
        return CopyReply::Refused;
    };
    let folder = shared.data_dir.clone();
    let synced = tokio::task::spawn_blocking(move || finish(&folder, install)).await;
    match synced {
        Ok(Ok(base)) => put_in_use(shared, base),
        Ok(Err(error)) => fatal::end("a copy of the state can't be written", &error),
        Err(error) => fatal::end("a copy of the state can't be written", &error),
    }
}

fn is_wanted(shared: &Shared, page: &CopyPage) -> bool {
    let seat = shared.seat();
    let Some(seat) = seat.as_ref() else {
        return false;
    };
    let ours = seat.cluster == page.cluster && page.to == shared.member;
    ours && page.base.index > seat.node().commit() && !seat.node().is_leader()
}

/// Adds a page to the copy; the first page starts a new one.
fn add_page(shared: &Shared, page: &CopyPage) -> bool {
    let mut install = shared.install();
    if page.page == 0 {
        match start(&shared.data_dir, page.base.clone()) {
            Ok(started) => *install = Some(started),
            Err(error) => fatal::end("a copy of the state can't be written", &error),
        }
    }
    let Some(install) = install.as_mut() else {
        return false;
    };
    if install.next != page.page || install.base != page.base {
        return false;
    }
    install.next += 1;
    for pair in &page.pairs {
        if let Err(error) = install.copy.put(&pair.key, &pair.value) {
            fatal::end("a copy of the state can't be written", &error);
        }
    }
    true
}

fn start(folder: &Path, base: Base) -> eyre::Result<Install> {
    let path = folder.join(COPY);
    if path.exists() {
        fs::remove_file(&path)?;
    }
    let copy = RedbStore::open(&path, CACHE_BYTES)?;
    Ok(Install {
        base,
        next: 0,
        copy,
    })
}

/// Makes the copy durable, then says where the log starts after it.
fn finish(folder: &Path, mut install: Install) -> eyre::Result<Base> {
    install.copy.commit(install.base.index.0)?;
    install.copy.syncer().sync()?;
    drop(install.copy);
    let draft = folder.join(format!("{BASE}.draft"));
    let mut file = File::create(&draft)?;
    file.write_all(&rmp_serde::to_vec(&install.base)?)?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(BASE))?;
    File::open(folder)?.sync_all()?;
    Ok(install.base)
}

/// Puts the copy in the store's place and lets the node go on from there.
fn put_in_use(shared: &Shared, base: Base) -> CopyReply {
    let now = shared.clock.now();
    let mut seat = shared.seat();
    let Some(seat) = seat.as_mut() else {
        return CopyReply::Refused;
    };
    if base.index <= seat.node().commit() || seat.node().is_leader() {
        return CopyReply::Refused;
    }
    let mut store = shared.store();
    match replace(&shared.data_dir) {
        Ok(copy) => *store = copy,
        Err(error) => fatal::end("a copy of the state can't be put in use", &error),
    }
    let index = base.index;
    let installed = seat.installed(now, base);
    debug_assert!(installed, "nothing came in between");
    debug_assert_eq!(
        LogIndex(store.applied()),
        index,
        "the copy says what it holds"
    );
    log::info!(index = index.0; "copy of the state taken in");
    shared.work.notify_one();
    CopyReply::Taken
}

fn replace(folder: &Path) -> eyre::Result<RedbStore> {
    let path = store_path(folder);
    fs::rename(folder.join(COPY), &path)?;
    File::open(folder)?.sync_all()?;
    Ok(RedbStore::open(&path, CACHE_BYTES)?)
}
