//! A caller's connection, which can be reset instead of closed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Tells a caller's connection how to end.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerLink(Arc<AtomicBool>);

impl CallerLink {
    /// Makes the connection end with a reset from now on, also if this process is killed, so that the
    /// caller can tell that end from the end of a response without length and chunks.
    pub(crate) fn reset_at_end(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Makes the connection end without a reset once all of the response is written.
    pub(crate) fn close_at_end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn resets(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The stream of a caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    link: CallerLink,
    /// Whether the kernel resets the connection when the socket is closed, by whatever closes it.
    resets: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, link: CallerLink) -> Self {
        Self {
            stream,
            link,
            resets: false,
        }
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
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.arm_reset()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
