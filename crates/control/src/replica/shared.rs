//! What the loop, the handlers and the handle of a replica share; all on one thread.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Mutex, MutexGuard, PoisonError},
};

use clem_boot::Clock;
use clem_log::MemberId;
use clem_store::RedbStore;
use clem_types::Epoch;
use clem_wire::Client;
use tokio::sync::{Notify, watch};

use super::{install::Install, seat::Seat};

/// What the loop, the handlers and the handle share.
///
/// The locks are only ever held between two waits, and in this order: seat, store, install.
pub(super) struct Shared {
    pub(super) address: SocketAddr,
    peers: Mutex<Vec<SocketAddr>>,
    pub(super) data_dir: PathBuf,
    pub(super) clock: Clock,
    pub(super) client: Client,
    /// Whether a new group may be founded.
    pub(super) bootstrap: bool,
    /// Free bytes on the disk below which all proposals are refused.
    pub(super) reserve_bytes: u64,
    /// Spans and sizes that steer the group.
    pub(super) consensus: clem_log::Settings,
    /// This process's member id.
    pub(super) member: MemberId,
    /// Whether it has a disk, and so may vote.
    pub(super) votes: bool,
    /// The term that this process leads, if it does.
    pub(super) epoch: watch::Sender<Option<Epoch>>,
    /// There is something to send or to apply.
    pub(super) work: Notify,
    seat: Mutex<Option<Seat>>,
    store: Mutex<RedbStore>,
    install: Mutex<Option<Install>>,
}

/// What a [`Shared`] is made of.
pub(super) struct Parts {
    pub(super) address: SocketAddr,
    pub(super) peers: Vec<SocketAddr>,
    pub(super) data_dir: PathBuf,
    pub(super) clock: Clock,
    pub(super) client: Client,
    pub(super) member: MemberId,
    pub(super) votes: bool,
    pub(super) store: RedbStore,
    pub(super) bootstrap: bool,
    pub(super) reserve_bytes: u64,
    pub(super) consensus: clem_log::Settings,
}

impl Shared {
    pub(super) fn new(parts: Parts) -> Self {
        let (epoch, _) = watch::channel(None);
        Self {
            address: parts.address,
            peers: Mutex::new(parts.peers),
            bootstrap: parts.bootstrap,
            reserve_bytes: parts.reserve_bytes,
            consensus: parts.consensus,
            data_dir: parts.data_dir,
            clock: parts.clock,
            client: parts.client,
            member: parts.member,
            votes: parts.votes,
            epoch,
            work: Notify::new(),
            seat: Mutex::new(None),
            store: Mutex::new(parts.store),
            install: Mutex::new(None),
        }
    }

    /// The addresses at which members are looked for.
    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.clone()
    }

    /// Adds addresses at which members are looked for.
    pub(super) fn add_peers(&self, found: impl IntoIterator<Item = SocketAddr>) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        for address in found {
            if !peers.contains(&address) {
                peers.push(address);
            }
        }
    }

    /// The seat in the group; none before the group is founded or joined.
    pub(super) fn seat(&self) -> MutexGuard<'_, Option<Seat>> {
        self.seat.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn store(&self) -> MutexGuard<'_, RedbStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The copy that is being taken in, if any.
    pub(super) fn install(&self) -> MutexGuard<'_, Option<Install>> {
        self.install.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does what the seat wants done, and tells of a change of leadership.
    pub(super) fn round(&self) {
        let now = self.clock.now();
        let mut seat = self.seat();
        let Some(seat) = seat.as_mut() else { return };
        seat.round(now, &mut self.store());
        let epoch = seat.leads(now);
        self.epoch.send_if_modified(|known| {
            let changed = *known != epoch;
            *known = epoch;
            changed
        });
    }
}
