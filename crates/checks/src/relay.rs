//! A TCP proxy that injects faults into either direction.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

use crate::Result;

/// The size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a relay treats the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Forwards them at once.
    Open,
    /// Forwards each chunk after a delay, in order.
    Delayed(Duration),
    /// Keeps them until the link changes. Neither side is told.
    Held,
    /// Drops them. Neither side is told, and the connection stays open.
    Lost,
}

#[derive(Debug, Clone, Copy)]
struct Links {
    /// From the client to the target.
    forward: Link,
    /// From the target to the client.
    backward: Link,
}

/// A TCP proxy in front of one address; dropping it closes all connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    links: watch::Sender<Links>,
    pairs: Arc<Mutex<Vec<JoinHandle<()>>>>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free loopback port and forwards to `target`, with both directions open.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let open = Links {
            forward: Link::Open,
            backward: Link::Open,
        };
        let (links, _) = watch::channel(open);
        let pairs = Arc::new(Mutex::new(Vec::new()));
        let accepting = tokio::spawn(accept(listener, target, links.clone(), Arc::clone(&pairs)));
        Ok(Self {
            address,
            links,
            pairs,
            accepting,
        })
    }

    /// The listening address, to which clients connect in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the link towards the target, for existing and new connections.
    pub fn forward(&self, link: Link) {
        self.links.send_modify(|links| links.forward = link);
    }

    /// Sets the link from the target, for existing and new connections.
    pub fn backward(&self, link: Link) {
        self.links.send_modify(|links| links.backward = link);
    }

    /// Sets the links of both directions.
    pub fn both(&self, link: Link) {
        self.forward(link);
        self.backward(link);
    }

    /// Closes all current connections; new ones are still forwarded.
    pub fn cut(&self) {
        let mut pairs = self.pairs.lock().unwrap_or_else(PoisonError::into_inner);
        for pair in pairs.drain(..) {
            pair.abort();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
        self.cut();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    links: watch::Sender<Links>,
    pairs: Arc<Mutex<Vec<JoinHandle<()>>>>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let links = links.subscribe();
        let pair = tokio::spawn(async move {
            let Ok(callee) = TcpStream::connect(target).await else {
                return;
            };
            // Without TCP_NODELAY the connection is only slower.
            let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
            let (caller_read, caller_write) = caller.into_split();
            let (callee_read, callee_write) = callee.into_split();
            tokio::join!(
                copy_bytes(caller_read, callee_write, links.clone(), |l| l.forward),
                copy_bytes(callee_read, caller_write, links, |l| l.backward),
            );
        });
        let mut pairs = pairs.lock().unwrap_or_else(PoisonError::into_inner);
        pairs.retain(|pair| !pair.is_finished());
        pairs.push(pair);
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut links: watch::Receiver<Links>,
    side: fn(&Links) -> Link,
) {
    let mut piece = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut piece).await else {
            return;
        };
        loop {
            let link = side(&links.borrow_and_update());
            match link {
                Link::Open => {}
                Link::Delayed(delay) => tokio::time::sleep(delay).await,
                Link::Held => {
                    if links.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                Link::Lost if length > 0 => break,
                Link::Lost => {
                    // Drops the end of the stream as well.
                    std::future::pending::<()>().await;
                }
            }
            let sent = if length == 0 {
                to.shutdown().await
            } else {
                to.write_all(&piece[..length]).await
            };
            if length == 0 || sent.is_err() {
                return;
            }
            break;
        }
    }
}
