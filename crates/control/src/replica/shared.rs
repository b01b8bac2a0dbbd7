//! State shared by a replica's event loop, its HTTP handlers and [`Replica`](super::Replica). All
//! of them run on one thread.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
};

use clem_boot::Clock;
use clem_log::{MemberId, disk::RoomProbe};
use clem_store::RedbStore;
use clem_types::Epoch;
use clem_wire::Client;
use tokio::sync::{Notify, watch};

use super::{
    calls::HelloReply,
    core::Core,
    discovery::{Discovery, NamedLeader},
    fatal,
    in_flight::InFlight,
    install_snapshot::Incoming,
    outbox::Lane,
};

/// The shared state of a replica.
///
/// Locks are never held across an `await`, and are taken in this order: core, store, install, discovery.
pub(super) struct Shared {
    pub(super) address: SocketAddr,
    /// The initial members, if a group is to be bootstrapped.
    pub(super) founders: Vec<SocketAddr>,
    peers: Mutex<Vec<SocketAddr>>,
    /// The processes that are thought to be alive.
    live: Mutex<Vec<SocketAddr>>,
    pub(super) data_dir: PathBuf,
    pub(super) clock: Clock,
    pub(super) client: Client,
    /// Whether this process may bootstrap a new group.
    pub(super) bootstrap: bool,
    /// Whether the disk was empty before any group of the founders could be bootstrapped.
    pub(super) predates_group: bool,
    /// Free disk space below which new work is refused, in bytes.
    pub(super) reserve_bytes: u64,
    /// Tells the room on the disk.
    pub(super) probe: Arc<dyn RoomProbe>,
    /// Timeouts and limits of the consensus protocol.
    pub(super) consensus: clem_log::Settings,
    /// This process's member id.
    pub(super) member: MemberId,
    /// Whether this process has a disk and can therefore vote.
    pub(super) votes: bool,
    /// The epoch (term) in which this process leads; `None` while it does not.
    pub(super) epoch: watch::Sender<Option<Epoch>>,
    /// Whether this process is about to stop, so that it asks no longer to join.
    pub(super) stopping: AtomicBool,
    /// Members with an exchange under way.
    pub(super) exchanges: InFlight<(MemberId, Lane)>,
    /// Members that a snapshot is being sent to.
    pub(super) copies: InFlight<MemberId>,
    /// Wakes the event loop when there is something to send or to apply.
    pub(super) work: Notify,
    core: Mutex<Option<Core>>,
    store: Mutex<RedbStore>,
    install: Mutex<Incoming>,
    discovery: Mutex<Discovery>,
}

/// The fields with which a [`Shared`] is created.
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
    pub(super) predates_group: bool,
    pub(super) reserve_bytes: u64,
    pub(super) probe: Arc<dyn RoomProbe>,
    pub(super) consensus: clem_log::Settings,
}

impl Shared {
    pub(super) fn new(parts: Parts) -> Self {
        let (epoch, _) = watch::channel(None);
        Self {
            address: parts.address,
            founders: parts.peers.clone(),
            peers: Mutex::new(parts.peers),
            live: Mutex::default(),
            bootstrap: parts.bootstrap,
            predates_group: parts.predates_group,
            reserve_bytes: parts.reserve_bytes,
            probe: parts.probe,
            consensus: parts.consensus,
            data_dir: parts.data_dir,
            clock: parts.clock,
            client: parts.client,
            member: parts.member,
            votes: parts.votes,
            epoch,
            stopping: AtomicBool::new(false),
            exchanges: InFlight::default(),
            copies: InFlight::default(),
            work: Notify::new(),
            core: Mutex::new(None),
            store: Mutex::new(parts.store),
            install: Mutex::default(),
            discovery: Mutex::default(),
        }
    }

    /// The known addresses at which members may be reached.
    pub(super) fn peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.clone()
    }

    /// Adds addresses at which members may be reached.
    pub(super) fn add_peers(&self, found: impl IntoIterator<Item = SocketAddr>) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        for address in found {
            if !peers.contains(&address) {
                peers.push(address);
            }
        }
    }

    /// Sets the addresses of the processes that are thought to be alive.
    pub(super) fn set_live(&self, live: &[SocketAddr]) {
        live.clone_into(&mut self.live.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The addresses of all other processes that may know the group, each once.
    pub(super) fn others(&self) -> Vec<SocketAddr> {
        let mut others = self.peers();
        for address in self.live() {
            if !others.contains(&address) {
                others.push(address);
            }
        }
        others.retain(|address| *address != self.address);
        others
    }

    /// The addresses of the other processes that must have answered before a group is bootstrapped.
    pub(super) fn expected(&self) -> impl Iterator<Item = SocketAddr> {
        let founders = self.founders.iter().copied();
        let expected = founders.chain(self.live());
        expected.filter(|address| *address != self.address)
    }

    fn live(&self) -> Vec<SocketAddr> {
        let live = self.live.lock().unwrap_or_else(PoisonError::into_inner);
        live.clone()
    }

    /// The replica's core; `None` until a group has been bootstrapped or joined.
    ///
    /// Exits the process if a task panicked while it changed the core: what it says to other members
    /// could be wrong from then on.
    pub(super) fn core(&self) -> MutexGuard<'_, Option<Core>> {
        match self.core.lock() {
            Ok(core) => core,
            Err(error) => fatal::exit("a task panicked while it changed the member", &error),
        }
    }

    pub(super) fn store(&self) -> MutexGuard<'_, RedbStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The snapshot that is being received, if any.
    pub(super) fn install(&self) -> MutexGuard<'_, Incoming> {
        match self.install.lock() {
            Ok(install) => install,
            Err(error) => fatal::exit("a task panicked while it received a snapshot", &error),
        }
    }

    /// The leader that others named lately, if any.
    pub(super) fn named_leader(&self) -> Option<NamedLeader> {
        let discovery = self.discovery.lock();
        let discovery = discovery.unwrap_or_else(PoisonError::into_inner);
        discovery.leader(self.clock.now())
    }

    /// Notes what others have replied about the group of this process, or about any if it is in none.
    pub(super) fn note_replies(&self, replies: &[&HelloReply]) {
        let mut core = self.core();
        let own = core.as_ref().map(|core| core.cluster);
        let mut leaders = Vec::new();
        for reply in replies {
            let Some(group) = &reply.group else { continue };
            if own.is_some_and(|own| own != group.cluster) {
                continue;
            }
            leaders.extend(reply.leader);
            if let (Some(core), Some(committed)) = (core.as_mut(), &reply.committed) {
                core.note_membership(committed);
            }
        }
        let discovery = self.discovery.lock();
        let mut discovery = discovery.unwrap_or_else(PoisonError::into_inner);
        discovery.note(self.clock.now(), leaders);
    }

    /// Processes pending work of the core and publishes changes of leadership.
    pub(super) fn process(&self) {
        let now = self.clock.now();
        let mut core = self.core();
        let Some(core) = core.as_mut() else { return };
        core.process(now, &mut self.store());
        let epoch = core.leased_epoch(now);
        self.epoch.send_if_modified(|known| {
            let changed = *known != epoch;
            *known = epoch;
            changed
        });
    }
}
