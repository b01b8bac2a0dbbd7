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

/// Tells a caller's connection to end with a reset.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerLink(Arc<AtomicBool>);

impl CallerLink {
    /// Makes the connection end with a reset when it is dropped, so that the caller can tell its end
    /// from the end of a response without length and chunks.
    pub(crate) fn reset_on_drop(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn resets(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The stream of a caller's connection.
pub(crate) struct CallerStream {
    stream: TcpStream,
    link: CallerLink,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, link: CallerLink) -> Self {
        Self { stream, link }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.link.resets()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!(error:% = error; "caller's connection not reset");
        }
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
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
