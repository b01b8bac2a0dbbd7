//! Listening sockets.

use std::{io, net::SocketAddr};

use salvo::conn::tcp::TcpAcceptor;

use crate::Settings;

/// How many connections may wait to be taken in.
const BACKLOG: u32 = 1024;

/// A bound socket that is not served yet.
#[derive(Debug)]
pub struct Listener {
    socket: tokio::net::TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// The bound address, with the port that the system chose where 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Binds the address of the flag `name`; a busy port is a finding like any other.
///
/// Must run inside the tokio runtime. Small writes are sent at once on all its connections.
pub fn bind(settings: &mut Settings, name: &'static str, address: SocketAddr) -> Option<Listener> {
    match listen(address) {
        Ok(listener) => Some(listener),
        Err(error) => {
            settings.add_finding(name, format!("can't listen at {address}: {error}"));
            None
        }
    }
}

/// Binds an address that no flag names.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<Listener> {
    let socket = match address {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit this from the listening socket.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let socket = socket.listen(BACKLOG)?;
    let address = socket.local_addr()?;
    Ok(Listener { socket, address })
}

impl Listener {
    /// The bound socket, for a server of its own.
    pub fn into_socket(self) -> tokio::net::TcpListener {
        self.socket
    }
}

/// Turns a bound socket into what salvo serves.
///
/// # Errors
/// The socket has lost its address.
pub fn acceptor(listener: Listener) -> io::Result<TcpAcceptor> {
    TcpAcceptor::try_from(listener.socket)
}
