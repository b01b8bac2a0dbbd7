//! What one process of the direct path knows and holds.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use clem_boot::Clock;
use clem_edge::Dialect;
use clem_policy::dispatch::{Fallback, GrantOutcome, HeldGrant, Ticket, retry_after};
use clem_types::Time;
use clem_wire::{Client, ControlClient, FleetSecret, fleet::ProcessRole};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::{Notify, watch};

use crate::{pool::Pool, view::View};

/// What a node needs to start.
pub struct NodeSettings {
    /// The vm's name.
    pub vm: String,
    /// The data centre.
    pub data_centre: String,
    /// What the process does.
    pub role: ProcessRole,
    /// Where it answers other processes; none if it doesn't.
    pub address: Option<SocketAddr>,
    /// Members of the hub to begin with.
    pub hub: Vec<SocketAddr>,
    /// Where the platform lists its targets.
    pub list: SocketAddr,
    /// What processes show each other.
    pub secret: FleetSecret,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
}

/// What one process of the direct path knows and holds; all of it is used on one thread.
pub struct Node {
    /// The process's clock.
    pub clock: Clock,
    /// The process, by a name that changes at each start.
    pub holder: String,
    /// The vm's name.
    pub vm: String,
    /// The data centre.
    pub data_centre: String,
    /// What the process does.
    pub role: ProcessRole,
    /// Where it answers other processes.
    pub address: Option<SocketAddr>,
    /// Where the platform lists its targets.
    pub list: SocketAddr,
    /// The platform's wire.
    pub dialect: Arc<dyn Dialect>,
    /// The hub.
    pub hub: ControlClient,
    /// The leader of the group that keeps batches.
    pub jobs: ControlClient,
    pub(crate) pool: Pool,
    pub(crate) ends_ready: Notify,
    view: Mutex<View>,
    alone: Mutex<Fallback>,
    held: Mutex<HashMap<Ticket, HeldGrant>>,
    ends: Mutex<Vec<(Ticket, GrantOutcome)>>,
    rng: Mutex<StdRng>,
    changes: watch::Sender<u64>,
    recalls: Mutex<Vec<Ticket>>,
    leader_heard: Mutex<Time>,
    /// Tells that slots are called back.
    pub recalled: Notify,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: NodeSettings) -> Self {
        let mut rng = StdRng::from_os_rng();
        let client = Client::new(settings.secret);
        let holder = format!("{}.{:08x}", settings.vm, rng.random::<u32>());
        Self {
            clock: Clock::start(),
            holder,
            vm: settings.vm,
            data_centre: settings.data_centre,
            role: settings.role,
            address: settings.address,
            list: settings.list,
            dialect: settings.dialect,
            hub: ControlClient::new(client.clone(), settings.hub),
            jobs: ControlClient::new(client, Vec::new()),
            pool: Pool::default(),
            ends_ready: Notify::new(),
            view: Mutex::default(),
            alone: Mutex::default(),
            held: Mutex::default(),
            ends: Mutex::default(),
            rng: Mutex::new(rng),
            changes: watch::Sender::new(0),
            recalls: Mutex::default(),
            leader_heard: Mutex::new(Time::ZERO),
            recalled: Notify::new(),
        }
    }

    /// The present.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// What the hub has said.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Tells of each change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// A number between 0 and 1.
    pub fn draw(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Takes the slots that are called back.
    pub fn take_recalls(&self) -> Vec<Ticket> {
        std::mem::take(&mut *lock(&self.recalls))
    }

    /// A time to come back, spread so that callers don't return together.
    pub fn spread(&self, retry: Duration) -> Duration {
        retry.mul_f64(1.0 + self.draw() / 2.0)
    }

    /// When a caller with `left` of its time should come back, if there should be room after `room`.
    pub fn retry_after(&self, room: Duration, left: Duration) -> Duration {
        retry_after(self.draw(), room, left)
    }

    /// Whether requests are placed without the hub's leader at present.
    pub fn is_alone(&self) -> bool {
        self.alone().is_active()
    }

    /// How long the process has run.
    pub fn uptime(&self) -> Duration {
        self.now().since(Time::ZERO)
    }

    pub(crate) fn alone(&self) -> MutexGuard<'_, Fallback> {
        lock(&self.alone)
    }

    /// The hub's leader has answered.
    pub(crate) fn note_leader(&self) {
        let now = self.now();
        *lock(&self.leader_heard) = now;
        if self.alone().note_heard(now) {
            log::info!("leader places again");
        }
    }

    /// When the hub's leader last answered.
    pub(crate) fn leader_heard(&self) -> Time {
        *lock(&self.leader_heard)
    }

    pub(crate) fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(crate) fn note_recalls(&self, recalls: Vec<Ticket>) {
        if recalls.is_empty() {
            return;
        }
        lock(&self.recalls).extend(recalls);
        self.recalled.notify_one();
    }

    pub(crate) fn new_ticket(&self) -> Ticket {
        Ticket(lock(&self.rng).random())
    }

    pub(crate) fn hold(&self, held: HeldGrant) {
        lock(&self.held).insert(held.ticket, held);
    }

    pub(crate) fn held(&self) -> Vec<HeldGrant> {
        lock(&self.held).values().cloned().collect()
    }

    /// How many requests of this process a target has.
    pub(crate) fn held_at(&self, target: &str) -> usize {
        lock(&self.held)
            .values()
            .filter(|h| h.target == target)
            .count()
    }

    pub(crate) fn give_back(&self, ticket: Ticket, ended: GrantOutcome) {
        if let Some(held) = lock(&self.held).remove(&ticket) {
            self.alone().note(self.now(), &held.target, ended);
        }
        lock(&self.ends).push((ticket, ended));
        self.ends_ready.notify_one();
    }

    pub(crate) fn take_ends(&self) -> Vec<(Ticket, GrantOutcome)> {
        std::mem::take(&mut *lock(&self.ends))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
