//! Pools of connections to other processes, one for each address.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::upload::Upload;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection stays in its pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes read from a connection at once, which it keeps a buffer for.
pub(crate) const READ_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of idle connections to a process.
const IDLE_MAX: usize = 128;
/// Maximum number of pools; all are dropped when another one is needed.
const POOLS_MAX: usize = 4096;

/// The connections to one process.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    pub(crate) http: HttpClient<HttpConnector, Upload>,
    number: u64,
}

/// The pools of a client; clones share them.
///
/// A pool is replaced as a whole when a call on one of its connections gets no reply: the path to a
/// process can fail for all connections that are open, without an error on any of them, while new
/// ones work. See `docs/incidents/totara-config.md`.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pools(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    pools: HashMap<SocketAddr, Pool>,
    created: u64,
}

impl Pools {
    /// The pool of an address.
    pub(crate) fn pool(&self, address: SocketAddr) -> Pool {
        let mut state = self.lock();
        if let Some(pool) = state.pools.get(&address) {
            return pool.clone();
        }
        if state.pools.len() >= POOLS_MAX {
            state.pools.clear();
        }
        state.created += 1;
        let pool = Pool {
            http: connect_client(),
            number: state.created,
        };
        state.pools.insert(address, pool.clone());
        pool
    }

    /// Closes the idle connections of a pool, unless it has been replaced already. Calls in flight on
    /// its other connections are not affected.
    pub(crate) fn drop_pool(&self, address: SocketAddr, pool: &Pool) {
        let mut state = self.lock();
        let current = state.pools.get(&address).map(|current| current.number);
        if current == Some(pool.number) {
            state.pools.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn connect_client() -> HttpClient<HttpConnector, Upload> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    HttpClient::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(IDLE_MAX)
        .http1_max_buf_size(READ_BYTES_MAX)
        .build(connector)
}
