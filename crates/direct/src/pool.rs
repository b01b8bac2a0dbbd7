//! Pool of idle connections to targets.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use clem_types::Time;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Timeout for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is kept; targets close theirs after some seconds.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The most idle connections per target.
const IDLE_PER_TARGET: usize = 4;

/// The sending half of an HTTP/1 connection to a target.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// Idle connections by target address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
}

impl Pool {
    /// Takes the most recently used connection that is still open.
    pub(crate) fn take(&self, now: Time, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        while let Some(last) = list.pop() {
            let fresh = now.since(last.since) < IDLE_TIMEOUT;
            if fresh && !last.connection.is_closed() && last.connection.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool and drops the expired ones. The connection is closed if the
    /// pool has [`IDLE_PER_TARGET`] for the address.
    pub(crate) fn put(&self, now: Time, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        idle.retain(|_, list| {
            list.retain(|one| now.since(one.since) < IDLE_TIMEOUT && !one.connection.is_closed());
            !list.is_empty()
        });
        let list = idle.entry(address).or_default();
        if list.len() < IDLE_PER_TARGET {
            list.push(Idle {
                connection,
                since: now,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection.
///
/// # Errors
/// The connection could not be established; nothing was sent.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, String> {
    metrics::counter!("clem_target_connects").increment(1);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| "no connection in time".to_owned())?
        .map_err(|error| error.to_string())?;
    stream
        .set_nodelay(true)
        .map_err(|error| error.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        // An error here also fails the request that uses the connection.
        let _ = connection.await;
    });
    Ok(sender)
}
