//! The two listening sockets, and whether connections are waiting to be accepted.

use std::io;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use super::Listener;

/// A listening socket.
struct ListeningSocket {
    socket: TcpListener,
    /// Connections may be waiting to be accepted.
    is_pending: bool,
}

impl ListeningSocket {
    /// Listens with the short backlog of the standard library: with a long one, clients would time
    /// out before their connections are accepted.
    fn bind(address: SocketAddr) -> io::Result<ListeningSocket> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(ListeningSocket {
            socket: TcpListener::from_std(listener),
            is_pending: false,
        })
    }

    fn register(&mut self, registry: &Registry, token: Token) -> io::Result<()> {
        registry.register(&mut self.socket, token, Interest::READABLE)
    }
}

/// Tokens under which the listening sockets are registered.
pub(super) struct ListenerTokens {
    pub front: Token,
    pub peers: Token,
}

/// The listening sockets; they are polled edge-triggered, so pending connections are tracked here.
pub(super) struct Listeners {
    front: ListeningSocket,
    peers: ListeningSocket,
    /// Accepting has failed, for example because no socket was free. The poll is edge-triggered
    /// and does not report the waiting connections again.
    accept_failed: bool,
}

impl Listeners {
    /// Binds and registers both listening sockets.
    ///
    /// # Errors
    ///
    /// If an address cannot be used, or if there are no free sockets.
    pub(super) fn bind(
        front: SocketAddr,
        peers: SocketAddr,
        registry: &Registry,
        tokens: ListenerTokens,
    ) -> io::Result<Listeners> {
        let mut front = ListeningSocket::bind(front)?;
        let mut peers = ListeningSocket::bind(peers)?;
        front.register(registry, tokens.front)?;
        peers.register(registry, tokens.peers)?;
        Ok(Listeners {
            front,
            peers,
            accept_failed: false,
        })
    }

    fn socket_mut(&mut self, listener: Listener) -> &mut ListeningSocket {
        match listener {
            Listener::Front => &mut self.front,
            Listener::Peers => &mut self.peers,
        }
    }

    /// Records that connections may be waiting to be accepted.
    pub(super) fn mark_pending(&mut self, listener: Listener) {
        self.socket_mut(listener).is_pending = true;
    }

    /// Whether connections may be waiting to be accepted.
    pub(super) fn is_pending(&self, listener: Listener) -> bool {
        match listener {
            Listener::Front => self.front.is_pending,
            Listener::Peers => self.peers.is_pending,
        }
    }

    /// Whether connections may be waiting to be accepted by either listener.
    pub(super) fn is_any_pending(&self) -> bool {
        self.front.is_pending || self.peers.is_pending
    }

    /// Accepts a connection. Returns `None` on failure; the listener remains pending only if
    /// another attempt may succeed immediately.
    pub(super) fn accept(&mut self, listener: Listener) -> Option<TcpStream> {
        let listening = self.socket_mut(listener);
        let error = match listening.socket.accept() {
            Ok((socket, _)) => return Some(socket),
            Err(error) => error,
        };
        match error.kind() {
            io::ErrorKind::Interrupted => {}
            io::ErrorKind::WouldBlock => listening.is_pending = false,
            // No socket is free, or the client has aborted the connection.
            _ => {
                listening.is_pending = false;
                self.accept_failed = true;
            }
        }
        None
    }

    /// Marks both listeners as pending if accepting has failed.
    pub(super) fn retry_accepting(&mut self) {
        if std::mem::take(&mut self.accept_failed) {
            self.front.is_pending = true;
            self.peers.is_pending = true;
        }
    }
}
