//! A TCP relay that counts the bytes that it forwards, including HTTP framing.

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

/// The size of the buffer for each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// A relay in front of one address, which runs until the runtime ends.
#[derive(Debug)]
pub(crate) struct CountingRelay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingRelay {
    /// Starts a relay to `to` on an ephemeral port.
    pub(crate) async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(serve(listener, to, Arc::clone(&bytes)));
        Ok(Self { address, bytes })
    }

    /// The address to connect to instead of the destination.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bytes forwarded so far in both directions, without TCP and IP headers.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(to).await else {
            continue;
        };
        if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
            continue;
        }
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(forward(client_read, server_write, Arc::clone(&bytes)));
        tokio::spawn(forward(server_read, client_write, Arc::clone(&bytes)));
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
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
