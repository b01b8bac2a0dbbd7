//! Shared state of all requests.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use clem_boot::Readiness;
use clem_direct::{ByteBudget, Node};
use clem_policy::dispatch::RouteTimeouts;
use clem_types::Time;
use tokio::sync::watch;

use clem_intake::{BodyStore, ConnectionList};

/// Part of the grace period reserved for the last answers, so that callers get them before their
/// connections are closed.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Shared state of all requests.
pub(crate) struct Front {
    pub(crate) node: Arc<Node>,
    pub(crate) readiness: Readiness,
    /// Maximum number of requests running at once, derived from the memory limit.
    pub(crate) running_max: usize,
    /// What relayed responses may hold together.
    pub(crate) relays: Arc<ByteBudget>,
    /// The bodies of callers' requests, and of responses to their calls on batches.
    pub(crate) bodies: Arc<BodyStore>,
    /// The callers' connections.
    pub(crate) connections: Arc<ConnectionList>,
    timeouts: Mutex<RouteTimeouts>,
    /// Until when this process answers requests; `None` while it isn't stopping.
    ends: watch::Sender<Option<Time>>,
    running: AtomicUsize,
}

/// Counts a request as running until dropped.
pub(crate) struct RunningGuard {
    front: Arc<Front>,
}

impl Front {
    pub(crate) fn new(
        node: Arc<Node>,
        running_max: usize,
        relay_bytes: usize,
        body_bytes: usize,
        connections_max: usize,
    ) -> Self {
        let bodies = BodyStore::new(body_bytes);
        Self {
            connections: ConnectionList::new(connections_max, Arc::clone(&bodies), node.clock),
            node,
            readiness: Readiness::default(),
            running_max,
            relays: ByteBudget::new(relay_bytes),
            bodies,
            timeouts: Mutex::default(),
            ends: watch::Sender::new(None),
            running: AtomicUsize::new(0),
        }
    }

    /// Begins the grace period, which ends at `end`.
    pub(crate) fn stop(&self, end: Time) {
        let now = self.node.now();
        let last = now + end.since(now).saturating_sub(ANSWER_TIME);
        self.ends.send_replace(Some(last));
        self.readiness.set(false);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.ends().is_some()
    }

    /// Until when this process answers requests; `None` while it isn't stopping.
    pub(crate) fn ends(&self) -> Option<Time> {
        *self.ends.borrow()
    }

    /// Waits for the moment at which a stopping process gives its last answers.
    pub(crate) async fn ended(&self) {
        let mut ends = self.ends.subscribe();
        let Ok(Some(last)) = ends.wait_for(Option::is_some).await.map(|ends| *ends) else {
            // The sender lives as long as this front.
            return std::future::pending().await;
        };
        tokio::time::sleep(last.since(self.node.now())).await;
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Records a request and returns whether its caller has probably been refused before.
    pub(crate) fn record_request(&self, route: &str, timeout: Duration) -> bool {
        let mut timeouts = self.timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        timeouts.observe(route, timeout)
    }

    /// Whether the maximum number of requests is running.
    pub(crate) fn is_full(&self) -> bool {
        self.running() >= self.running_max
    }

    /// Counts a request as running; `None` if the maximum is reached.
    pub(crate) fn start(self: &Arc<Self>) -> Option<RunningGuard> {
        if self.is_full() {
            return None;
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        Some(RunningGuard {
            front: Arc::clone(self),
        })
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.front.running.fetch_sub(1, Ordering::Relaxed);
    }
}
