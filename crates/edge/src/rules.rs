//! The rules in force on the direct path.

use std::{collections::HashMap, fmt, time::Duration};

use clem_types::RulesVersion;

/// A whole set of rules; a higher version replaces a lower one as a whole.
#[derive(Debug, Default)]
pub struct Ruleset {
    /// The operator's version.
    pub version: RulesVersion,
    /// The routes, in the operator's order.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: HashMap<String, Service>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// The customers.
    pub customers: Vec<Customer>,
    /// Which customer holds a key, as a place in `customers`.
    pub keys: HashMap<KeyDigest, usize>,
}

/// Where requests of a host and path prefix go, and how they may be treated.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub objective: Duration,
    /// The rank of its requests; 0 goes first.
    pub rank: u8,
    /// The services that share its requests.
    pub backends: Vec<Backend>,
    /// The most targets that one request is sent to.
    pub attempts: u32,
    /// Whether it needs no key.
    pub open: bool,
    /// Whether its requests carry prompts for a model engine.
    pub prompts: bool,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// The bounds of its batches, for a batch route.
    pub batch: Option<BatchRules>,
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The answer is a stream of events; it runs at most once unless it may be resumed.
    Stream,
    /// Requests submit batches, whose items may run more than once.
    Batch,
}

/// A share of a route's requests.
#[derive(Debug, Clone)]
pub struct Backend {
    /// The service.
    pub service: String,
    /// Its share among the route's weights.
    pub weight: u32,
}

/// The bounds of a route's batches.
#[derive(Debug, Clone, Copy)]
pub struct BatchRules {
    /// How long after its submission a batch is due.
    pub due: Duration,
    /// How long after its submission an item must be kept trying.
    pub keep: Duration,
    /// The most tokens of one customer's unfinished items; 0 for no bound.
    pub token_cap: u64,
}

/// A service that requests are sent to.
#[derive(Debug, Clone)]
pub struct Service {
    /// The operator's name for it.
    pub name: String,
    /// The most connections that one of its targets takes from everybody.
    pub max_conns: u32,
    /// What its model engines can hold; none for a plain service.
    pub engine: Option<Engine>,
}

/// What a model engine can hold.
#[derive(Debug, Clone, Copy)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens in memory.
    pub memory: u64,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_time: Duration,
    /// How long a connection may lie unused.
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

/// A customer: whose keys open its routes, and how much it may ask.
#[derive(Debug, Clone)]
pub struct Customer {
    /// The operator's name for it.
    pub name: String,
    /// The rank of its requests, in place of the route's.
    pub rank: Option<u8>,
    /// Requests a second over all entries; 0 for no bound.
    pub rate: f64,
    /// Requests that may come at once, on top of the rate.
    pub burst: f64,
}

/// A key's hash; the key itself is never kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
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
    /// The route of a request: of those of its host, the one with the longest prefix of its path.
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

    /// The route with this name.
    pub fn named(&self, name: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Whether any route stands at this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes
            .iter()
            .any(|route| route.host.eq_ignore_ascii_case(host))
    }

    /// The customer that holds a key.
    pub fn holder(&self, key: &[u8]) -> Option<&Customer> {
        let place = self.keys.get(&KeyDigest::of(key))?;
        self.customers.get(*place)
    }

    /// Whether callers need keys at all.
    pub fn has_keys(&self) -> bool {
        !self.customers.is_empty()
    }
}

impl Route {
    /// The service of a request, by weight; `draw` lies in 0 to 1.
    pub fn pick(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.backends.iter().map(|b| b.weight).sum();
        let mut left = draw * f64::from(total);
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

    /// Whether a request may be sent again although it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe | RouteKind::Batch => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }
}
