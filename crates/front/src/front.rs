//! What all requests of this process share.

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

/// What all requests of this process share.
pub(crate) struct Front {
    pub(crate) node: Arc<Node>,
    pub(crate) readiness: Readiness,
    /// The most requests that run at once, by the memory that they may take.
    pub(crate) running_max: usize,
    timeouts: Mutex<RouteTimeouts>,
    stopping: AtomicBool,
    running: AtomicUsize,
}

/// Counts a request as running until it is dropped.
pub(crate) struct Running(Arc<Front>);

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

    /// Counts a caller of a route; says whether it has most likely been refused before.
    pub(crate) fn has_returned(&self, route: &str, patience: Duration) -> bool {
        let mut timeouts = self.timeouts.lock().unwrap_or_else(PoisonError::into_inner);
        timeouts.observe(route, patience)
    }

    /// Counts a request as running, if there is room for it.
    pub(crate) fn start(self: &Arc<Self>) -> Option<Running> {
        if self.running() >= self.running_max {
            return None;
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        Some(Running(Arc::clone(self)))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
