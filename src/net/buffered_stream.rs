//! A TCP stream with its buffers of received bytes that are not parsed yet, and of bytes that are
//! not sent yet.

use std::io::{self, Read, Write};

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use super::connection::ConnectionId;

/// Result of writing the pending output.
pub(super) enum WriteProgress {
    /// All output has been sent.
    Complete,
    /// The connection is not established yet.
    Connecting,
    /// The socket's send buffer is full.
    Blocked,
    /// The connection is broken.
    Broken,
}

/// A non-blocking stream with its buffers.
pub(super) struct BufferedStream {
    socket: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that have been sent.
    sent_bytes: usize,
    /// The connection is known to be established.
    is_established: bool,
    /// The socket is registered for writability events.
    watches_writable: bool,
    /// The peer has closed its sending direction.
    is_read_closed: bool,
}

impl BufferedStream {
    /// An accepted connection, registered as readable.
    pub(super) fn accepted(socket: TcpStream) -> BufferedStream {
        BufferedStream {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            sent_bytes: 0,
            is_established: true,
            watches_writable: false,
            is_read_closed: false,
        }
    }

    /// A connection that is being opened to send `output`, registered as readable and writable.
    pub(super) fn connecting(socket: TcpStream, output: Vec<u8>) -> BufferedStream {
        BufferedStream {
            output,
            is_established: false,
            watches_writable: true,
            ..BufferedStream::accepted(socket)
        }
    }

    pub(super) fn is_established(&self) -> bool {
        self.is_established
    }

    pub(super) fn is_read_closed(&self) -> bool {
        self.is_read_closed
    }

    pub(super) fn input(&self) -> &[u8] {
        &self.input
    }

    /// The received bytes; the caller removes those that it has parsed.
    pub(super) fn input_mut(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    pub(super) fn push_output(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Replaces the output; sending starts at its first byte.
    pub(super) fn set_output(&mut self, output: Vec<u8>) {
        self.output = output;
        self.sent_bytes = 0;
    }

    /// Reads until the socket is empty or the input exceeds `input_max` bytes, which is more than
    /// any valid message has. `buffer` is scratch space. Returns the number of bytes read.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub(super) fn read_available(
        &mut self,
        buffer: &mut [u8],
        input_max: usize,
    ) -> io::Result<usize> {
        let mut total = 0;
        while self.input.len() <= input_max {
            match self.socket.read(buffer) {
                Ok(0) => {
                    self.is_read_closed = true;
                    break;
                }
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    total += count;
                    if count < buffer.len() {
                        // A short read means that the socket is empty. The poll is
                        // edge-triggered and reports bytes that arrive later.
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(total)
    }

    /// Writes the pending output as far as the socket accepts it.
    pub(super) fn write_pending(&mut self) -> WriteProgress {
        while self.sent_bytes < self.output.len() {
            match self.socket.write(&self.output[self.sent_bytes..]) {
                Ok(0) => return WriteProgress::Broken,
                Ok(count) => {
                    self.is_established = true;
                    self.sent_bytes += count;
                }
                // The first write tells whether the connection is established.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => {
                    return WriteProgress::Connecting;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return WriteProgress::Blocked;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return WriteProgress::Broken,
            }
        }
        self.output.clear();
        self.sent_bytes = 0;
        WriteProgress::Complete
    }

    /// Registers the socket for writability events.
    ///
    /// # Errors
    ///
    /// If the poll refuses the registration.
    pub(super) fn watch_writable(
        &mut self,
        id: ConnectionId,
        registry: &Registry,
    ) -> io::Result<()> {
        if self.watches_writable {
            return Ok(());
        }
        self.watches_writable = true;
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.reregister(&mut self.socket, Token(id), interest)
    }

    /// Removes the registration for writability events.
    ///
    /// # Errors
    ///
    /// If the poll refuses the registration.
    pub(super) fn unwatch_writable(
        &mut self,
        id: ConnectionId,
        registry: &Registry,
    ) -> io::Result<()> {
        if !self.watches_writable {
            return Ok(());
        }
        self.watches_writable = false;
        registry.reregister(&mut self.socket, Token(id), Interest::READABLE)
    }
}
