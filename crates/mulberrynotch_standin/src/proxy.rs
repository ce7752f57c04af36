//! PROXY protocol version 2 headers.

use std::{
    io,
    net::SocketAddr, //
};

use ppp::v2;
use tokio::{
    io::AsyncReadExt,
    net::TcpStream, //
};

/// Length of the fixed part of a header, in bytes; it ends with the length of the rest.
const FIXED_BYTES: usize = 16;

/// Addresses and length of a parsed header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Source address.
    pub source: SocketAddr,
    /// Destination address.
    pub destination: SocketAddr,
    /// Length of the header in bytes; the payload follows it.
    pub length: usize,
}

/// Encodes a header for a UDP datagram.
///
/// # Panics
///
/// Panics when the addresses are of different families, which this crate does not use.
pub fn udp_header(source: SocketAddr, destination: SocketAddr) -> Vec<u8> {
    build(v2::Protocol::Datagram, source, destination)
}

/// Encodes a header for a TCP stream.
///
/// # Panics
///
/// As [`udp_header`].
pub fn tcp_header(source: SocketAddr, destination: SocketAddr) -> Vec<u8> {
    build(v2::Protocol::Stream, source, destination)
}

fn build(protocol: v2::Protocol, source: SocketAddr, destination: SocketAddr) -> Vec<u8> {
    let command = v2::Version::Two | v2::Command::Proxy;
    v2::Builder::with_addresses(command, protocol, (source, destination))
        .build()
        .expect("two addresses of one family fit into a header")
}

/// Parses the header at the start of `bytes`; returns `None` when there is no valid one.
pub fn parse(bytes: &[u8]) -> Option<Header> {
    let header = v2::Header::try_from(bytes).ok()?;
    let (source, destination) = match header.addresses {
        v2::Addresses::IPv4(pair) => (
            SocketAddr::from((pair.source_address, pair.source_port)),
            SocketAddr::from((pair.destination_address, pair.destination_port)),
        ),
        v2::Addresses::IPv6(pair) => (
            SocketAddr::from((pair.source_address, pair.source_port)),
            SocketAddr::from((pair.destination_address, pair.destination_port)),
        ),
        v2::Addresses::Unspecified | v2::Addresses::Unix(_) => return None,
    };
    Some(Header {
        source,
        destination,
        length: header.len(),
    })
}

/// Reads the header at the start of a stream, without consuming the data after it.
///
/// # Errors
///
/// Fails when the stream ends or does not start with a header.
pub async fn read_header(stream: &mut TcpStream) -> io::Result<Header> {
    let mut bytes = vec![0; FIXED_BYTES];
    stream.read_exact(&mut bytes).await?;
    if !bytes.starts_with(v2::PROTOCOL_PREFIX) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let rest = usize::from(u16::from_be_bytes([bytes[14], bytes[15]]));
    bytes.resize(FIXED_BYTES + rest, 0);
    stream.read_exact(&mut bytes[FIXED_BYTES..]).await?;
    parse(&bytes).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Returns true when the next bytes of a stream are the start of a header.
///
/// # Errors
///
/// Fails when the stream fails.
pub async fn starts_with_header(stream: &TcpStream) -> io::Result<bool> {
    // No request starts with this byte, so comparing one byte is sufficient.
    let mut first = [0];
    let length = stream.peek(&mut first).await?;
    Ok(length == 1 && first[0] == v2::PROTOCOL_PREFIX[0])
}
