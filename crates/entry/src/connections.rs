//! The connections of callers: how many there are, and what their unfinished heads hold.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll},
};

use clem_boot::Clock;
use clem_intake::{ConnectionList, ConnectionPlace, LinkedBody};
use http_body_util::BodyExt;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    conn::{
        Accepted, Acceptor, Holding, StraightStream,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    fuse::ArcFusePolicy,
    http::ResBody,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{Notify, futures::OwnedNotified},
};

/// The places of open connections by the callers' addresses.
#[derive(Clone)]
pub(crate) struct Places(Arc<Mutex<HashMap<SocketAddr, Weak<ConnectionPlace>>>>);

impl Places {
    pub(crate) fn new() -> Self {
        Self(Arc::default())
    }

    fn map(&self) -> MutexGuard<'_, HashMap<SocketAddr, Weak<ConnectionPlace>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn of(&self, req: &Request) -> Option<Arc<ConnectionPlace>> {
        let address = req.remote_addr().clone().into_std()?;
        self.map().get(&address)?.upgrade()
    }
}

/// Accepts connections as far as there is room.
pub(crate) struct BoundedAcceptor {
    pub(crate) inner: TcpAcceptor,
    pub(crate) list: Arc<ConnectionList>,
    pub(crate) places: Places,
    pub(crate) clock: Clock,
}

impl Acceptor for BoundedAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = CallerStream;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let accepted = self.inner.accept(policy.clone()).await?;
            let closer = Arc::new(Notify::new());
            let now = self.clock.now();
            let Some(place) = self.list.open(now, Arc::clone(&closer)) else {
                continue;
            };
            let place = Arc::new(place);
            let address = accepted.remote_addr.clone().into_std();
            if let Some(address) = address {
                self.places.map().insert(address, Arc::downgrade(&place));
            }
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream: CallerStream {
                    stream: accepted.stream,
                    place,
                    closed: Box::pin(closer.notified_owned()),
                    address,
                    places: self.places.clone(),
                },
                fuse_config: accepted.fuse_config,
                conn_ctrl: accepted.conn_ctrl,
                local_addr: accepted.local_addr,
                remote_addr: accepted.remote_addr,
                http_scheme: accepted.http_scheme,
            });
        }
    }
}

/// The stream of a caller's connection.
pub(crate) struct CallerStream {
    stream: StraightStream<TcpStream>,
    place: Arc<ConnectionPlace>,
    /// Ends when the connection has to give way to another one, or its head to a body.
    closed: Pin<Box<OwnedNotified>>,
    address: Option<SocketAddr>,
    places: Places,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if !self.place.may_read() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 && !self.place.note_read(count) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.place.note_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        let Some(address) = self.address else {
            return;
        };
        let mut places = self.places.map();
        // The address may have been used again.
        let is_own = |place: &Weak<ConnectionPlace>| place.as_ptr() == Arc::as_ptr(&self.place);
        if places.get(&address).is_some_and(is_own) {
            places.remove(&address);
        }
    }
}

/// Tells a connection when its request begins and its response ends.
pub(crate) struct NotePhases {
    pub(crate) places: Places,
}

#[async_trait]
impl Handler for NotePhases {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Some(place) = self.places.of(req) else {
            return;
        };
        place.begin_request();
        ctrl.call_next(req, depot, res).await;
        match res.take_body() {
            // Such a body is replaced by an error page.
            body @ (ResBody::None | ResBody::Error(_)) => {
                res.body(body);
                place.end_response();
            }
            body => {
                let body = LinkedBody::new(body, place).map_err(Into::into);
                res.body(ResBody::Boxed(Box::pin(body)));
            }
        }
    }
}
