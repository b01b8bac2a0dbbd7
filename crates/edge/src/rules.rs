//! The rules of the direct path.

use std::{collections::HashMap, fmt, time::Duration};

use clem_types::{Rate, Version};

/// A ruleset; one with a higher version replaces the current one as a whole.
#[derive(Debug, Default)]
pub struct Ruleset {
    /// Version chosen by the operator.
    pub version: Version,
    /// The routes in the operator's order.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<String, Service>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The customers; if there are none, no route needs a key.
    pub customers: Vec<Customer>,
    /// Index in `customers` of each key's owner.
    pub keys: HashMap<KeyDigest, usize>,
}

/// Where requests for a host and path prefix go, and how they may be retried.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operator's name for the route.
    pub name: String,
    /// Host name, compared without regard to case.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Upper bound for the total time of a request.
    pub timeout: Duration,
    /// The latency objective; the first output should arrive within this time.
    pub objective: Duration,
    /// Priority class of its requests; 0 is served first.
    pub rank: u8,
    /// The services that share its requests by weight.
    pub backends: Vec<Backend>,
    /// The most targets that may run a request.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether its requests carry prompts for a model engine.
    pub prompts: bool,
    /// Whether an interrupted stream may be resumed at another target.
    pub resumable: bool,
    /// Limits of its batches; set for batch routes only.
    pub batch: Option<BatchRules>,
}

/// Whether requests of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is an event stream; it runs at most once unless it is resumable.
    Stream,
    /// Requests submit batches, whose items may run more than once.
    Batch,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Name of the service.
    pub service: String,
    /// Share relative to the sum of the route's weights; 0 for none.
    pub weight: u32,
}

/// Limits of a route's batches.
#[derive(Debug, Clone, Copy)]
pub struct BatchRules {
    /// Time from submission until a batch is due.
    pub due: Duration,
    /// Time from submission for which an item must be retried.
    pub keep: Duration,
    /// The most tokens in one customer's unfinished items; 0 for no limit.
    pub token_cap: u64,
}

/// A service that requests are sent to.
#[derive(Debug, Clone)]
pub struct Service {
    /// The operator's name for the service.
    pub name: String,
    /// The most connections that one of its targets accepts in total.
    pub max_conns: u32,
    /// Capacity of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Requests a second that one of its targets takes while it is cold; `None` if that makes no
    /// difference.
    pub cold_rate: Option<Rate>,
}

/// Capacity of a model engine.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Size of the KV cache, in tokens.
    pub memory: u64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a request head.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A customer with its priority and rate limit.
#[derive(Debug, Clone)]
pub struct Customer {
    /// The operator's name for the customer.
    pub name: String,
    /// Priority class of its requests, overriding the route's.
    pub rank: Option<u8>,
    /// Requests per second over all fronts; 0 for no limit.
    pub rate: f64,
    /// Size of the token bucket, in requests.
    pub burst: f64,
}

/// Hash of an API key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

impl Ruleset {
    /// Finds the route of a request: the one of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let mut best: Option<&Route> = None;
        for route in &self.routes {
            if !route.host.eq_ignore_ascii_case(host) || !path.starts_with(&route.prefix) {
                continue;
            }
            if best.is_none_or(|known| known.prefix.len() < route.prefix.len()) {
                best = Some(route);
            }
        }
        best
    }

    /// Finds a route by name.
    pub fn route_named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes
            .iter()
            .any(|route| route.host.eq_ignore_ascii_case(host))
    }

    /// Finds the customer that owns a key.
    pub fn customer_by_key(&self, key: &[u8]) -> Option<&Customer> {
        let place = self.keys.get(&KeyDigest::of(key))?;
        self.customers.get(*place)
    }

    /// Whether routes that are not public need an API key.
    pub fn has_keys(&self) -> bool {
        !self.customers.is_empty()
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number in `0.0..1.0`.
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.backends.iter().map(|b| f64::from(b.weight)).sum();
        let mut left = draw * total;
        for backend in &self.backends {
            if backend.weight == 0 {
                continue;
            }
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        let last = self.backends.iter().rev().find(|b| b.weight > 0);
        last.map(|backend| backend.service.as_str())
    }

    /// Whether its requests may go to a service.
    pub fn uses(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.service == service && backend.weight > 0)
    }

    /// Whether a request may be sent again although it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }
}
