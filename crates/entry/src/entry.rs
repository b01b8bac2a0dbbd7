//! The state of an entry process, shared by all its requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use clem_boot::{Clock, CommonSettings, Readiness};
use clem_intake::BodyStore;
use clem_policy::{
    poison::PoisonTable,
    retry::{self, RetryBudget},
    route::Router,
};
use clem_rules::Rules;
use clem_types::{HolderId, Incarnation, KeyId, RequestId, TargetId, Time, Version};
use clem_wire::{
    Client, LeaderClient,
    sync::{FleetStamp, Holder, Role},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::watch;

use crate::{caller::Identity, gate::Gate};

/// The shared state of the process.
///
/// It is used on a single thread; locks are never held across an await and never contended.
pub(crate) struct Entry {
    pub(crate) clock: Clock,
    pub(crate) holder: Holder,
    pub(crate) client: Client,
    pub(crate) control: LeaderClient,
    pub(crate) gate: Gate,
    pub(crate) readiness: Readiness,
    pub(crate) max_body: usize,
    /// The bodies of callers.
    pub(crate) bodies: Arc<BodyStore>,
    pub(crate) stopping: AtomicBool,
    running: AtomicUsize,
    view: Mutex<View>,
    router: Mutex<Router>,
    budget: Mutex<RetryBudget>,
    rng: Mutex<StdRng>,
    changes: watch::Sender<Version>,
}

/// The latest data from the control leader.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) rules: Rules,
    /// When the lease on the rules expires; `None` until rules have been received.
    pub(crate) lease: Option<Time>,
    pub(crate) fleet: FleetStamp,
    pub(crate) agents: HashMap<TargetId, AgentAddress>,
    pub(crate) poison: PoisonTable,
    pub(crate) poison_version: Version,
}

/// The address of a target's agent, and its incarnation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgentAddress {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    /// Whether the target serves any back end yet.
    pub(crate) serving: bool,
}

/// Counts a request as running until dropped.
pub(crate) struct Running(Arc<Entry>);

impl Entry {
    pub(crate) fn new(
        settings: &CommonSettings,
        readiness: Readiness,
        max_body: usize,
        body_bytes: usize,
    ) -> eyre::Result<Self> {
        let mut rng = StdRng::from_os_rng();
        let address = settings.listener.address();
        let id: HolderId = format!("entry-{address}").parse()?;
        let holder = Holder {
            id,
            incarnation: Incarnation(rng.random()),
            role: Role::Entry,
            data_centre: settings.data_centre.clone(),
            address,
        };
        let client = Client::new(settings.secret.clone());
        let control = LeaderClient::new(client.clone(), settings.control.clone());
        Ok(Self {
            clock: Clock::start(),
            gate: Gate::default(),
            router: Mutex::new(Router::new(settings.data_centre.clone())),
            holder,
            client,
            control,
            readiness,
            max_body,
            bodies: BodyStore::new(body_bytes),
            stopping: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            view: Mutex::default(),
            budget: Mutex::default(),
            rng: Mutex::new(rng),
            changes: watch::Sender::new(Version(0)),
        })
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn rng(&self) -> MutexGuard<'_, StdRng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn new_request(&self) -> RequestId {
        RequestId(self.rng().random())
    }

    /// Adds jitter to the retry delay for a refused caller.
    pub(crate) fn retry_ms(&self, base_ms: u32) -> u32 {
        retry::jitter(&mut *self.rng(), base_ms)
    }

    /// Whether the lease on the rules is valid.
    pub(crate) fn has_lease(&self) -> bool {
        self.view().lease.is_some_and(|until| self.now() < until)
    }

    /// Whether the key is still in the rules and belongs to the same customer.
    pub(crate) fn still_allowed(&self, identity: &Identity) -> bool {
        allowed(&self.view().rules, &identity.key, identity)
    }

    /// Subscribes to changes of the rules.
    pub(crate) fn changes(&self) -> watch::Receiver<Version> {
        self.changes.subscribe()
    }

    pub(crate) fn notify_change(&self, version: Version) {
        self.changes.send_replace(version);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request as running; `None` if `limit` requests already run.
    pub(crate) fn start(self: &Arc<Self>, limit: usize) -> Option<Running> {
        if self.running.load(Ordering::Relaxed) >= limit {
            return None;
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        metrics::gauge!("clem_entry_running").increment(1.0);
        Some(Running(self.clone()))
    }
}

fn allowed(rules: &Rules, key: &KeyId, identity: &Identity) -> bool {
    rules
        .keys()
        .get(key)
        .is_some_and(|key| key.customer == identity.customer)
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        metrics::gauge!("clem_entry_running").decrement(1.0);
    }
}
