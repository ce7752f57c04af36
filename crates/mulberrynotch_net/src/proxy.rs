//! PROXY protocol version 2 headers.

use std::net::SocketAddr;

use ppp::v2;
use quick_error::quick_error;
use tokio::io::{
    AsyncRead,
    AsyncReadExt, //
};

/// Length of the fixed part of a header, which contains the length of the rest.
const FIXED_BYTES: usize = 16;

/// Largest header accepted from a stream.
const MAX_BYTES: usize = 1_024;

quick_error! {
    /// Reasons for refusing a header.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes are not a PROXY version 2 header.
        Malformed {
            display("no PROXY protocol version 2 header; check that only the fabric sends to the ingress address")
        }
        /// The header contains no caller address or is for another transport.
        Unsupported {
            display("PROXY header names no caller of this transport; configure the fabric to send IPv4 or IPv6 addresses")
        }
        /// Reading the stream failed.
        Io(error: std::io::Error) {
            from()
            source(error)
            display("reading the PROXY header failed: {}", error)
        }
    }
}

/// Transport protocol of a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// TCP.
    Stream,
    /// UDP.
    Datagram,
}

/// A parsed header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parsed {
    /// Source address of the header.
    pub caller: SocketAddr,
    /// Destination address of the header.
    pub address: SocketAddr,
    /// Length of the header in bytes; the payload follows.
    pub length: usize,
}

/// Encodes a header from `caller` to `address`.
///
/// If the address families differ, both addresses are encoded as IPv6.
pub fn header(transport: Transport, caller: SocketAddr, address: SocketAddr) -> Vec<u8> {
    let protocol = match transport {
        Transport::Stream => v2::Protocol::Stream,
        Transport::Datagram => v2::Protocol::Datagram,
    };
    let addresses: v2::Addresses = match (caller, address) {
        (SocketAddr::V4(caller), SocketAddr::V4(address)) => {
            v2::IPv4::new(*caller.ip(), *address.ip(), caller.port(), address.port()).into()
        }
        _ => v2::IPv6::new(
            to_ipv6(caller),
            to_ipv6(address),
            caller.port(),
            address.port(), //
        )
        .into(),
    };
    v2::Builder::with_addresses(v2::Version::Two | v2::Command::Proxy, protocol, addresses)
        .build()
        .expect("two addresses fit into a header")
}

/// Parses the header at the start of `bytes`.
///
/// # Errors
///
/// Fails when the header is incomplete or contains no caller address of this transport.
pub fn parse(bytes: &[u8], transport: Transport) -> Result<Parsed, Error> {
    let header = v2::Header::try_from(bytes).map_err(|_| Error::Malformed)?;
    let protocol = match transport {
        Transport::Stream => v2::Protocol::Stream,
        Transport::Datagram => v2::Protocol::Datagram,
    };
    if header.command != v2::Command::Proxy || header.protocol != protocol {
        return Err(Error::Unsupported);
    }
    let (caller, address): (SocketAddr, SocketAddr) = match header.addresses {
        v2::Addresses::IPv4(pair) => (
            (pair.source_address, pair.source_port).into(),
            (pair.destination_address, pair.destination_port).into(),
        ),
        v2::Addresses::IPv6(pair) => (
            (pair.source_address, pair.source_port).into(),
            (pair.destination_address, pair.destination_port).into(),
        ),
        v2::Addresses::Unspecified | v2::Addresses::Unix(_) => return Err(Error::Unsupported),
    };
    Ok(Parsed {
        caller: canonical(caller),
        address: canonical(address),
        length: header.len(),
    })
}

/// Reads the header at the start of a stream and leaves the payload unread.
///
/// # Errors
///
/// Fails like [`parse`], and when the stream fails or ends.
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Parsed, Error> {
    let mut bytes = vec![0; FIXED_BYTES];
    stream.read_exact(&mut bytes).await?;
    if !bytes.starts_with(v2::PROTOCOL_PREFIX) {
        return Err(Error::Malformed);
    }
    let rest_length = usize::from(u16::from_be_bytes([bytes[14], bytes[15]]));
    if FIXED_BYTES + rest_length > MAX_BYTES {
        return Err(Error::Malformed);
    }
    bytes.resize(FIXED_BYTES + rest_length, 0);
    stream.read_exact(&mut bytes[FIXED_BYTES..]).await?;
    parse(&bytes, Transport::Stream)
}

/// Converts an IPv4-mapped IPv6 address back to IPv4.
fn canonical(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

fn to_ipv6(address: SocketAddr) -> std::net::Ipv6Addr {
    match address {
        SocketAddr::V4(address) => address.ip().to_ipv6_mapped(),
        SocketAddr::V6(address) => *address.ip(),
    }
}
