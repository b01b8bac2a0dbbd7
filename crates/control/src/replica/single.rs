//! A control group of one process, without a log: for development and small tests.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use clem_state::{Command, StateError};
use clem_store::{RedbStore, Store};
use clem_types::{Epoch, Time, UnixMillis};
use clem_wire::{
    ControlReply, FleetSecret,
    admin::{ChangeMembersReply, MemberChange, MemberRole, MemberView},
};
use eyre::{Result, WrapErr};
use salvo::Router;
use tokio::sync::watch;

use super::Proposed;

/// The page cache of the store, in bytes.
const CACHE_BYTES: usize = 16 * 1024 * 1024;

/// What a replica needs to start.
#[derive(Debug)]
pub struct ReplicaSettings {
    /// The folder of everything that must survive.
    pub data_dir: PathBuf,
    /// This process's address.
    pub address: SocketAddr,
    /// The addresses of the first members.
    pub peers: Vec<SocketAddr>,
    /// What members show each other.
    pub secret: FleetSecret,
    /// The present, from which the first term is drawn.
    pub started: UnixMillis,
}

/// A handle on this process's replica; clones stand for the same one.
#[derive(Clone)]
pub struct Replica {
    address: SocketAddr,
    epoch: watch::Sender<Option<Epoch>>,
    store: Arc<Mutex<RedbStore>>,
}

impl Replica {
    /// Opens the data folder and takes part in the group.
    ///
    /// # Errors
    /// The folder or what lies in it can't be used.
    pub fn open(settings: ReplicaSettings) -> Result<Self> {
        let ReplicaSettings {
            data_dir,
            address,
            started,
            ..
        } = settings;
        fs::create_dir_all(&data_dir)
            .wrap_err_with(|| format!("can't make the data folder {}", data_dir.display()))?;
        let path = data_dir.join("state.redb");
        let store = RedbStore::open(&path, CACHE_BYTES)
            .wrap_err_with(|| format!("can't open {}", path.display()))?;
        let (epoch, _) = watch::channel(Some(Epoch(started.0)));
        Ok(Self {
            address,
            epoch,
            store: Arc::new(Mutex::new(store)),
        })
    }

    /// The paths at which members of the group reach each other.
    pub fn routes(&self) -> Vec<Router> {
        Vec::new()
    }

    /// Puts a command into the log and waits until it is applied here.
    pub async fn propose(&self, command: Command) -> Proposed {
        let mut store = self.lock();
        let index = store.applied() + 1;
        let outcome = match clem_state::apply(&mut *store, index, &command) {
            Ok(outcome) => outcome,
            Err(error) => fail(&error),
        };
        let synced = store.commit(index).and_then(|()| store.syncer().sync());
        match synced {
            Ok(_) => Proposed::Done(outcome),
            Err(error) => fail(&StateError::Store(error)),
        }
    }

    /// Waits until what was committed before this call can be read here; says whether this
    /// process leads, so that the read is not stale.
    pub async fn read_barrier(&self) -> bool {
        true
    }

    /// Reads the state as it is applied here.
    pub fn read<T>(&self, read: impl FnOnce(&dyn Store) -> clem_state::Result<T>) -> T {
        match read(&*self.lock()) {
            Ok(value) => value,
            Err(error) => fail(&error),
        }
    }

    /// The term in which this process leads by a lease that holds at `now`.
    pub fn leads(&self, _now: Time) -> Option<Epoch> {
        *self.epoch.borrow()
    }

    /// The leader's address, as far as known.
    pub fn leader(&self) -> Option<SocketAddr> {
        Some(self.address)
    }

    /// Tells of each change of leadership.
    pub fn watch(&self) -> watch::Receiver<Option<Epoch>> {
        self.epoch.subscribe()
    }

    /// The members of the group.
    pub fn members(&self) -> Vec<MemberView> {
        vec![MemberView {
            address: self.address,
            identity: "single".to_owned(),
            role: MemberRole::Leader,
            matched: self.lock().applied(),
        }]
    }

    /// Changes the members of the group.
    pub async fn change_members(&self, _change: MemberChange) -> ControlReply<ChangeMembersReply> {
        let reason = "a group of one process has no changes of members".to_owned();
        ControlReply::Done(ChangeMembersReply::Rejected { reason })
    }

    /// Hands leadership to another member before a planned stop, if there is one.
    pub async fn hand_over(&self) {}

    fn lock(&self) -> MutexGuard<'_, RedbStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends the process on a state that can't be gone on with.
fn fail(error: &StateError) -> ! {
    log::error!(error:% = error; "the state can't be used");
    // The line may sit in a buffer otherwise.
    let _ = io::Write::flush(&mut io::stderr());
    std::process::exit(i32::from(clem_boot::EXIT_FAILURE));
}
