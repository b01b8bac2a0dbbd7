//! Shared state of all requests.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use clem_boot::Readiness;
use clem_direct::Node;
use clem_policy::dispatch::RouteTimeouts;

/// Shared state of all requests.
pub(crate) struct Front {
    pub(crate) node: Arc<Node>,
    pub(crate) readiness: Readiness,
    /// Maximum number of requests running at once, derived from the memory limit.
    pub(crate) running_max: usize,
    timeouts: Mutex<RouteTimeouts>,
    stopping: AtomicBool,
    running: AtomicUsize,
}

/// Counts a request as running until dropped.
pub(crate) struct RunningGuard(Arc<Front>);

impl Front {
    pub(crate) fn new(node: Arc<Node>, running_max: usize) -> Self {
        Self {
            node,
            readiness: Readiness::default(),
            running_max,
            timeouts: Mutex::default(),
            stopping: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        }
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.readiness.set(false);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Records a request and returns whether its caller has probably been refused before.
    pub(crate) fn record_request(&self, route: &str, timeout: Duration) -> bool {
        let mut timeouts = self.timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        timeouts.observe(route, timeout)
    }

    /// Counts a request as running; `None` if the maximum is reached.
    pub(crate) fn start(self: &Arc<Self>) -> Option<RunningGuard> {
        if self.running() >= self.running_max {
            return None;
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        Some(RunningGuard(Arc::clone(self)))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
