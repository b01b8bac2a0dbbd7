//! Ports that are known before the process that listens on them has started.

use std::{io, net::SocketAddr};

use tokio::net::TcpSocket;

/// A port that the kernel gives to no one else while this lives.
///
/// The socket is bound but doesn't listen. A process that sets `SO_REUSEADDR`, as all of ours do,
/// can still bind the same address and listen; the kernel's own choice of a free port passes it by.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a free port of 127.0.0.1.
    ///
    /// # Errors
    /// No socket or no port is left.
    pub fn new() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// The reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
