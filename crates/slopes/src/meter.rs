//! A TCP relay that counts the bytes that pass, to measure traffic as the network sees it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// A relay in front of one address.
#[derive(Debug)]
pub(crate) struct Meter {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl Meter {
    /// Starts a relay to `to` at a port that the system chooses.
    pub(crate) async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(serve(listener, to, Arc::clone(&bytes)));
        Ok(Self { address, bytes })
    }

    /// Where to connect in place of the other side.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that passed so far, both ways together, without TCP and IP headers.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else {
            continue;
        };
        if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
            continue;
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(pass(near_read, far_write, Arc::clone(&bytes)));
        tokio::spawn(pass(far_read, near_write, Arc::clone(&bytes)));
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if count == 0 {
            return;
        }
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
