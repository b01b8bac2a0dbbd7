//! Listening sockets.

use std::{io, net::SocketAddr};

use salvo::conn::tcp::TcpAcceptor;

use crate::Settings;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A listening socket that no server accepts connections from yet.
#[derive(Debug)]
pub struct Listener {
    socket: tokio::net::TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// The bound address. If port 0 was requested, it has the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Binds the address given by the flag `name`. On failure, adds a finding and returns `None`.
///
/// Must be called within a Tokio runtime. All accepted connections have `TCP_NODELAY` set.
pub fn bind(settings: &mut Settings, name: &'static str, address: SocketAddr) -> Option<Listener> {
    match listen(address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            settings.add_finding(name, format!("failed to listen on {address}: {error}"));
            None
        }
    }
}

/// Binds an address, with the same socket options as [`bind`]. Must be called within a Tokio
/// runtime.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Listener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the option from the listening socket.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let socket = socket.listen(BACKLOG)?;
    let address = socket.local_addr()?;
    Ok(Listener { socket, address })
}

impl Listener {
    /// The Tokio listener, for servers that do not use salvo.
    pub fn into_socket(self) -> tokio::net::TcpListener {
        self.socket
    }
}

/// Converts a listener into a salvo acceptor.
///
/// # Errors
/// The local address of the socket cannot be read.
pub fn acceptor(listener: Listener) -> io::Result<TcpAcceptor> {
    TcpAcceptor::try_from(listener.socket)
}
