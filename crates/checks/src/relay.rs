//! A TCP relay that can fail in either direction.

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

/// The most bytes carried in one piece.
const PIECE_BYTES: usize = 16 * 1024;

/// What happens to bytes in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// They pass.
    Open,
    /// They pass after a delay, in order.
    Delayed(Duration),
    /// They wait in the relay, without a word to either side, until the link is open again.
    Held,
    /// They are lost without a word to either side; the connection stays open.
    Lost,
}

#[derive(Debug, Clone, Copy)]
struct Links {
    /// From the side that connected to the side that listens.
    forward: Link,
    backward: Link,
}

/// A relay in front of one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    links: watch::Sender<Links>,
    pairs: Arc<Mutex<Vec<JoinHandle<()>>>>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free port and relays to `target`; all links are open.
    ///
    /// # Errors
    /// No port is free.
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

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to bytes towards the target.
    pub fn forward(&self, link: Link) {
        self.links.send_modify(|links| links.forward = link);
    }

    /// Sets what happens to bytes from the target.
    pub fn backward(&self, link: Link) {
        self.links.send_modify(|links| links.backward = link);
    }

    /// Sets both directions.
    pub fn both(&self, link: Link) {
        self.forward(link);
        self.backward(link);
    }

    /// Ends all connections that pass now; new ones are relayed.
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
            // A connection that can't do this is only slower.
            let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
            let (caller_read, caller_write) = caller.into_split();
            let (callee_read, callee_write) = callee.into_split();
            tokio::join!(
                carry(caller_read, callee_write, links.clone(), |l| l.forward),
                carry(callee_read, caller_write, links, |l| l.backward),
            );
        });
        let mut pairs = pairs.lock().unwrap_or_else(PoisonError::into_inner);
        pairs.retain(|pair| !pair.is_finished());
        pairs.push(pair);
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut links: watch::Receiver<Links>,
    side: fn(&Links) -> Link,
) {
    let mut piece = vec![0; PIECE_BYTES];
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
                    // The end of the connection is lost as well.
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
