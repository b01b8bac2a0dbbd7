//! Reservation of ports for processes that are started later.

use std::{io, net::SocketAddr};

use tokio::net::TcpSocket;

/// A port that the kernel doesn't assign to another process until this is dropped.
///
/// The socket is bound but doesn't listen. A process that sets `SO_REUSEADDR`, as all programs of
/// the workspace do, can still bind the same address and listen. The kernel skips the port when it
/// picks a free one.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedPort {
    /// Reserves a free port of 127.0.0.1.
    ///
    /// # Errors
    /// No socket can be opened, or no port is free.
    pub fn new() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// The reserved address, always of 127.0.0.1.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
