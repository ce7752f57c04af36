//! Non-blocking sends of datagrams.
//!
//! The functions call the operating system directly. Tokio reports a new socket as not writable
//! until its task has polled it once, which would drop the first datagram of each socket.

use std::{
    io,
    net::SocketAddr, //
};

use socket2::SockRef;
use tokio::net::UdpSocket;

/// Sends a datagram on a connected socket.
///
/// # Errors
///
/// Fails when the send buffer is full, or with a pending error from an earlier datagram.
pub fn send(socket: &UdpSocket, datagram: &[u8]) -> io::Result<()> {
    SockRef::from(socket).send(datagram).map(drop)
}

/// Sends a datagram to an address.
///
/// # Errors
///
/// Fails when the send buffer is full or the address cannot be reached from the socket.
pub fn send_to(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
    SockRef::from(socket)
        .send_to(datagram, &to.into())
        .map(drop)
}
