//! A caller's connection, which can be reset instead of closed, and is closed when its caller doesn't read.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use clem_intake::ConnectionPlace;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::{Sleep, sleep},
};

/// Tells a caller's connection how to end.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerLink(Arc<LinkState>);

#[derive(Debug, Default)]
struct LinkState {
    resets: AtomicBool,
    closed: Arc<Notify>,
}

impl CallerLink {
    /// Closes the connection without the rest of its response.
    pub(crate) fn close(&self) {
        self.0.closed.notify_one();
    }

    /// Closes the connection when it is notified.
    pub(crate) fn closer(&self) -> Arc<Notify> {
        Arc::clone(&self.0.closed)
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.0.closed.notified().await;
    }

    /// Makes the connection end with a reset from now on, also if this process is killed, so that the
    /// caller can tell that end from the end of a response without length and chunks.
    pub(crate) fn reset_at_end(&self) {
        self.0.resets.store(true, Ordering::Relaxed);
    }

    /// Makes the connection end without a reset once all of the response is written.
    pub(crate) fn close_at_end(&self) {
        self.0.resets.store(false, Ordering::Relaxed);
    }

    fn resets(&self) -> bool {
        self.0.resets.load(Ordering::Relaxed)
    }
}

/// The stream of a caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    link: CallerLink,
    place: Arc<ConnectionPlace>,
    /// Whether the kernel resets the connection when the socket is closed, by whatever closes it.
    resets: bool,
    /// How long the caller may read nothing.
    unread_time: Duration,
    /// Ends when the caller has read nothing for that long; `None` while the socket takes bytes.
    unread: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        link: CallerLink,
        place: Arc<ConnectionPlace>,
        unread_time: Duration,
    ) -> Self {
        Self {
            stream,
            link,
            place,
            resets: false,
            unread_time,
            unread: None,
        }
    }

    /// Fails a write that the socket doesn't take once the caller has read nothing for too long.
    fn check_unread(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.unread = None;
            return written;
        }
        let span = self.unread_time;
        let unread = self.unread.get_or_insert_with(|| Box::pin(sleep(span)));
        if unread.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        metrics::counter!("clem_front_unread").increment(1);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Arms the reset before the first byte of a response that needs it is written.
    fn arm_reset(&mut self) -> io::Result<()> {
        if self.resets || !self.link.resets() {
            return Ok(());
        }
        self.stream.set_zero_linger()?;
        self.resets = true;
        Ok(())
    }

    /// Disarms the reset once everything is written.
    fn disarm_reset(&mut self) -> io::Result<()> {
        if !self.resets || self.link.resets() {
            return Ok(());
        }
        #[expect(deprecated, reason = "only lingering for a time blocks the thread")]
        self.stream.set_linger(None)?;
        self.resets = false;
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
        self.arm_reset()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_unread(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check_unread(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.place.note_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets && self.link.resets() {
            // A shutdown would end the connection plainly before the reset.
            return Poll::Ready(Ok(()));
        }
        self.disarm_reset()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
