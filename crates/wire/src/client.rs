//! HTTP client for calls to a given address.

use std::{
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::connect::{CaptureConnection, HttpInfo, capture_connection};

use crate::{
    Call, CallError, FleetSecret, MAX_MESSAGE_BYTES, SECRET_HEADER, codec,
    pools::{Pool, Pools, READ_BYTES_MAX},
    upload::Upload,
};

/// The slowest link on which a long call is not given up after its last piece was taken, in bytes per second.
const UPLOAD_RATE_MIN: f64 = 1_000_000.0;

type Result<T> = std::result::Result<T, CallError>;

/// Sends calls to other processes of the fleet, over pooled connections.
#[derive(Debug, Clone)]
pub struct Client {
    pools: Pools,
    secret: FleetSecret,
}

impl Client {
    /// Creates a client that authenticates with `secret`.
    pub fn new(secret: FleetSecret) -> Self {
        Self {
            pools: Pools::default(),
            secret,
        }
    }

    /// Sends a call and waits at most `timeout` for its reply.
    ///
    /// # Errors
    /// See [`CallError`], which tells whether the server may have executed the call.
    pub async fn call<C: Call>(
        &self,
        address: SocketAddr,
        call: &C,
        timeout: Duration,
    ) -> Result<C::Reply> {
        let body = encode(call)?;
        let reply = self.post(address, C::PATH, body, timeout).await?;
        codec::decode(&reply).map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Sends a call and waits for its reply, at most `timeout`. Unlike [`call`](Self::call) it gives a long
    /// body the time that it takes on a slow link; `stall` is the time for the rest.
    ///
    /// # Errors
    /// See [`CallError`], which tells whether the server may have executed the call.
    pub async fn call_unless_stalled<C: Call>(
        &self,
        address: SocketAddr,
        call: &C,
        stall: Duration,
        timeout: Duration,
    ) -> Result<C::Reply> {
        let body = encode(call)?;
        let reply = self
            .post_unless_stalled(address, C::PATH, body, stall, timeout)
            .await?;
        codec::decode(&reply).map_err(|error| CallError::Malformed(error.to_string()))
    }

    /// Posts raw bytes and reads the complete response body, within `timeout`.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes> {
        let mut request = self.request(address, path, body)?;
        let connection = capture_connection(&mut request);
        let pool = self.pools.pool(address);
        let exchange = async {
            let response = send(&pool, request).await?;
            let limited = Limited::new(response.into_body(), MAX_MESSAGE_BYTES);
            match limited.collect().await {
                Ok(body) => Ok(body.to_bytes()),
                Err(error) => Err(CallError::MayHaveArrived(error.to_string())),
            }
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.no_reply(address, &pool, &connection)),
        }
    }

    /// Posts raw bytes and reads the complete response body, however long that takes within
    /// `timeout`, unless nothing arrives for `stall`.
    ///
    /// A transfer that makes progress over a slow link must not be given up and begun anew: if all
    /// followers of a process do so at once, the link is full and no transfer ever ends.
    ///
    /// # Errors
    /// See [`CallError`].
    pub(crate) async fn post_unless_stalled(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        stall: Duration,
        timeout: Duration,
    ) -> Result<Bytes> {
        self.post_with_room(address, path, body, stall, timeout, &Unbounded)
            .await
    }

    /// As [`post_unless_stalled`](Self::post_unless_stalled), and reads a reply only once `room` has taken its length.
    pub(crate) async fn post_with_room<R: ReplyRoom>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        stall: Duration,
        timeout: Duration,
        room: &R,
    ) -> Result<Bytes> {
        let wait = stall + Duration::from_secs_f64(body.len() as f64 / UPLOAD_RATE_MIN);
        let mut request = self.request(address, path, body)?;
        let connection = capture_connection(&mut request);
        let pool = self.pools.pool(address);
        let progress = request.body().progress();
        let exchange = async {
            let mut sending = pin!(send(&pool, request));
            let mut until = Instant::now() + wait;
            let response = loop {
                if let Ok(opened) = tokio::time::timeout_at(until.into(), &mut sending).await {
                    break opened?;
                }
                let next = progress.last().map_or(until, |last| last + wait);
                if next <= until {
                    return Err(self.no_reply(address, &pool, &connection));
                }
                until = next;
            };
            let reply = response.into_body();
            let length = usize::try_from(reply.size_hint().lower()).unwrap_or(usize::MAX);
            let buffer = length.min(READ_BYTES_MAX);
            if !room.take(length.saturating_add(buffer)).await {
                return Err(CallError::NoRoom);
            }
            match read_unless_stalled(reply, stall).await? {
                Some(reply) => Ok(reply),
                None => Err(self.no_reply(address, &pool, &connection)),
            }
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.no_reply(address, &pool, &connection)),
        }
    }

    /// Posts raw bytes and returns the response once its headers have arrived; used for dispatches,
    /// whose answers are streamed.
    ///
    /// # Errors
    /// See [`CallError`]; a status other than 200 is [`CallError::Refused`], but 500 comes from a server
    /// that has executed the call.
    pub async fn open(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let pool = self.pools.pool(address);
        send(&pool, self.request(address, path, body)?).await
    }

    fn request(&self, address: SocketAddr, path: &str, body: Bytes) -> Result<Request<Upload>> {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/msgpack")
            .header(SECRET_HEADER, self.secret.reveal())
            .body(Upload::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))
    }

    /// Drops the pool of a call that timed out, and returns the call's error. The error names the
    /// connection, so that logs tell a silent connection from a silent process.
    fn no_reply(
        &self,
        address: SocketAddr,
        pool: &Pool,
        connection: &CaptureConnection,
    ) -> CallError {
        self.pools.drop_pool(address, pool);
        let mut extras = http::Extensions::new();
        if let Some(connected) = connection.connection_metadata().as_ref() {
            connected.get_extras(&mut extras);
        }
        let cause = match extras.get::<HttpInfo>() {
            Some(info) => format!(
                "no reply in time on the connection from {}",
                info.local_addr()
            ),
            None => "no connection in time".to_owned(),
        };
        CallError::TimedOut(cause)
    }
}

/// Memory for the reply to a call.
pub trait ReplyRoom: Sync {
    /// Takes room for a reply and the buffer of its connection before it is read; returns false if there is none.
    fn take(&self, bytes: usize) -> impl Future<Output = bool> + Send;
}

/// Takes replies of any length.
pub(crate) struct Unbounded;

impl ReplyRoom for Unbounded {
    async fn take(&self, _bytes: usize) -> bool {
        true
    }
}

async fn send(pool: &Pool, request: Request<Upload>) -> Result<Response<Incoming>> {
    let response = match pool.http.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(CallError::NotSent(error.to_string())),
        Err(error) => return Err(CallError::MayHaveArrived(error.to_string())),
    };
    if response.status() == StatusCode::OK {
        return Ok(response);
    }
    let failed = response.status() == StatusCode::INTERNAL_SERVER_ERROR;
    let status = response.status().as_u16();
    let message = refusal_text(response).await;
    if failed {
        // The call was executed, but its reply could not be sent.
        return Err(CallError::MayHaveArrived(message));
    }
    Err(CallError::Refused { status, message })
}

/// Reads a response body; `None` if nothing arrived for `stall`.
async fn read_unless_stalled(mut body: Incoming, stall: Duration) -> Result<Option<Bytes>> {
    let failed = |reason: &str| CallError::MayHaveArrived(reason.to_owned());
    let length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if length > MAX_MESSAGE_BYTES {
        return Err(failed("the reply is too long"));
    }
    // A buffer that grows would be up to twice as large.
    let mut read = BytesMut::with_capacity(length);
    loop {
        let Ok(frame) = tokio::time::timeout(stall, body.frame()).await else {
            return Ok(None);
        };
        let Some(frame) = frame else {
            return Ok(Some(read.freeze()));
        };
        let frame = frame.map_err(|error| failed(&error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(failed("the reply is too long"));
        }
        read.extend_from_slice(&data);
    }
}

/// Maximum size of an error response that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 4096;

/// The text of an error response; empty if it is too long or can't be read.
async fn refusal_text(response: Response<Incoming>) -> String {
    let limited = Limited::new(response.into_body(), MAX_REFUSAL_BYTES);
    match limited.collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(_) => String::new(),
    }
}

/// Encodes a call, or fails if it is longer than the server would accept.
fn encode<C: Call>(call: &C) -> Result<Bytes> {
    let bytes = codec::encode(call).map_err(|error| CallError::NotSent(error.to_string()))?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(CallError::NotSent(format!(
            "the message body exceeds {MAX_MESSAGE_BYTES} bytes"
        )));
    }
    Ok(bytes.into())
}
