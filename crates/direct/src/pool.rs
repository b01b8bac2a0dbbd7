//! Pool of idle connections to targets.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use clem_types::Time;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{Builder, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::upload::{TargetStream, Upload, UploadBytes};

/// Timeout for setting up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Most bytes read from a connection at once, and the largest response head.
pub const READ_BYTES_MAX: usize = 32 * 1024;
/// The send buffer of a connection, which the kernel doubles. A request counts as written once the kernel has
/// taken it, so that a large buffer would hide that a target has not read it: the default holds some MB.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;
/// How long an idle connection is kept; targets close theirs after some seconds.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The most idle connections per target.
const IDLE_PER_TARGET: usize = 4;

/// An HTTP/1 connection to a target, closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<UploadBytes>>,
    upload: Arc<Upload>,
    /// Whether a request was sent on it.
    used: bool,
    /// Reads and writes the connection. It would go on writing a request that the target doesn't read, and hold the
    /// body for as long.
    task: JoinHandle<()>,
}

impl Connection {
    /// Whether a request was sent on it before: bytes that belong to that one may still arrive.
    pub(crate) fn is_used(&self) -> bool {
        self.used
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// The connection ended; the error returns the request if no byte of it was sent.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<UploadBytes>>>> {
        self.used = true;
        let request = self.upload.begin(request);
        self.sender.try_send_request(request).await
    }

    /// How much of the last request has been written.
    pub(crate) fn upload(&self) -> Arc<Upload> {
        Arc::clone(&self.upload)
    }

    fn is_idle(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

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
            if fresh && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool and drops the expired ones. The connection is closed if the pool has
    /// [`IDLE_PER_TARGET`] for the address, or if the target has answered its request without reading all of it:
    /// nothing else may be sent before the rest, which would be held until the target reads on.
    pub(crate) fn put(&self, now: Time, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        idle.retain(|_, list| {
            list.retain(|one| {
                now.since(one.since) < IDLE_TIMEOUT && !one.connection.sender.is_closed()
            });
            !list.is_empty()
        });
        if !connection.upload.is_written() {
            metrics::counter!("clem_target_uploads_cut").increment(1);
            log::info!(target:% = address; "connection closed before its request was written");
            return;
        }
        let list = idle.entry(address).or_default();
        if list.len() < IDLE_PER_TARGET {
            list.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes the idle connections to a target. All connections over a path can go silent at once, without
    /// an error on any of them, while new ones work.
    pub(crate) fn drop_idle(&self, address: SocketAddr) -> usize {
        self.lock().remove(&address).map_or(0, |list| list.len())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a connection could not be opened; nothing was sent.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// No process listens on the address.
    Refused,
    /// It was not established in time, or for another reason.
    Failed(String),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("connection refused"),
            Self::Failed(reason) => f.write_str(reason),
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Failed(error.to_string()),
        }
    }
}

type Result<T> = std::result::Result<T, ConnectError>;

/// Opens a connection.
///
/// # Errors
/// The connection could not be established; nothing was sent.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection> {
    metrics::counter!("clem_target_connects").increment(1);
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Err(error) = socket.set_send_buffer_size(SEND_BUFFER_BYTES) {
        log::debug!(error:% = error; "send buffer not limited");
    }
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    let late = |_| ConnectError::Failed("no connection in time".to_owned());
    let stream = connected.map_err(late)??;
    stream.set_nodelay(true)?;
    let upload = Arc::new(Upload::default());
    let stream = TargetStream::new(stream, Arc::clone(&upload));
    let (sender, connection) = Builder::new()
        .max_buf_size(READ_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| ConnectError::Failed(error.to_string()))?;
    let task = tokio::spawn(async move {
        // An error here also fails the request that uses the connection.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        upload,
        used: false,
        task,
    })
}
