//! How much of a request has been written to its connection, and whether the target ended its response
//! before that.
//!
//! What the kernel has taken counts as written, though the target may not have read it. The buffers of both
//! ends bound how much that is; see `SEND_BUFFER_BYTES` in the pool.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use futures_util::FutureExt;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
};

/// The state of the request body on one connection, which carries one request at a time.
#[derive(Debug, Default)]
pub struct Upload {
    /// Bytes of the body that the socket has not taken.
    unwritten: AtomicUsize,
    /// Whether a part of the body was written after the target had ended its side.
    overtaken: AtomicBool,
}

impl Upload {
    /// Whether the target ended its side of the connection before the body was written in full. To be
    /// asked when the response has ended.
    pub fn is_cut(&self) -> bool {
        // Pairs with the last `advance`, before which `overtaken` was set.
        !self.is_written() || self.overtaken.load(Ordering::Relaxed)
    }

    /// Whether the body was written in full.
    pub(crate) fn is_written(&self) -> bool {
        self.unwritten.load(Ordering::Acquire) == 0
    }

    /// Begins a request whose body is counted as it is written.
    pub(crate) fn begin(self: &Arc<Self>, request: Request<Bytes>) -> Request<Full<UploadBytes>> {
        self.overtaken.store(false, Ordering::Relaxed);
        self.unwritten
            .store(request.body().len(), Ordering::Release);
        request.map(|bytes| {
            Full::new(UploadBytes {
                bytes,
                upload: Arc::clone(self),
            })
        })
    }
}

/// The body of a request. hyper advances it by what a vectored write has taken.
#[derive(Debug)]
pub(crate) struct UploadBytes {
    bytes: Bytes,
    upload: Arc<Upload>,
}

impl Buf for UploadBytes {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        self.upload
            .unwritten
            .store(self.bytes.len(), Ordering::Release);
    }
}

/// A connection that notes when a request is written past the end of its response.
#[derive(Debug)]
pub(crate) struct TargetStream {
    stream: TcpStream,
    upload: Arc<Upload>,
}

impl TargetStream {
    pub(crate) fn new(stream: TcpStream, upload: Arc<Upload>) -> Self {
        Self { stream, upload }
    }

    /// Called before each write. The event that unblocks a write also reports an end that arrived before, so
    /// that a target can't read the rest of a request unnoticed after it has ended its response.
    fn note_end(&self) {
        if self.upload.unwritten.load(Ordering::Relaxed) == 0 {
            return;
        }
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        if ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed())) {
            self.upload.overtaken.store(true, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.note_end();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.note_end();
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
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
