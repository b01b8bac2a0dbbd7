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
    pub(super) peers: Vec<SocketAddr>,
    pub(super) data_dir: PathBuf,
    pub(super) clock: Clock,
    pub(super) client: Client,
    /// This process's member id.
    pub(super) member: MemberId,
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
    pub(super) store: RedbStore,
}

impl Shared {
    pub(super) fn new(parts: Parts) -> Self {
        let (epoch, _) = watch::channel(None);
        Self {
            address: parts.address,
            peers: parts.peers,
            data_dir: parts.data_dir,
            clock: parts.clock,
            client: parts.client,
            member: parts.member,
            epoch,
            work: Notify::new(),
            seat: Mutex::new(None),
            store: Mutex::new(parts.store),
            install: Mutex::new(None),
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
