//! Property tests of PROXY protocol headers.

use std::net::SocketAddr;

use mulberrynotch_net::proxy;
use tokio::io::AsyncReadExt;

const SEED: u64 = 11;

const PREFIX: &[u8] = b"\r\n\r\n\0\r\nQUIT\n";

/// Guards against a panic or a payload offset beyond the datagram on arbitrary input.
#[test]
fn arbitrary_bytes_are_refused_or_stay_in_bounds() {
    fn property(bytes: Vec<u8>, prefixed: bool) -> bool {
        let mut datagram = if prefixed {
            PREFIX.to_vec()
        } else {
            Vec::new()
        };
        datagram.extend(bytes);
        proxy::parse(&datagram, proxy::Transport::Datagram)
            .map_or(true, |parsed| parsed.length <= datagram.len())
    }
    check(property as fn(Vec<u8>, bool) -> bool);
}

/// Guards against a panic on a corrupted or truncated header.
#[test]
fn damaged_headers_do_not_panic() {
    fn property(index: usize, mask: u8, length: usize) -> bool {
        let (caller, address) = (address(1, 7_000), address(2, 53));
        let mut header = proxy::header(proxy::Transport::Datagram, caller, address);
        let index = index % header.len();
        header[index] ^= mask;
        header.truncate(length % (header.len() + 1));
        proxy::parse(&header, proxy::Transport::Datagram)
            .map_or(true, |parsed| parsed.length <= header.len())
    }
    check(property as fn(usize, u8, usize) -> bool);
}

/// Guards against a header that decodes to other addresses than were encoded, including addresses
/// of different families.
#[test]
fn headers_round_trip() {
    fn property(caller: SocketAddr, address: SocketAddr, payload: Vec<u8>) -> bool {
        // Headers contain neither IPv6 flow labels nor scope ids.
        let caller = SocketAddr::new(caller.ip().to_canonical(), caller.port());
        let address = SocketAddr::new(address.ip().to_canonical(), address.port());
        let mut datagram = proxy::header(proxy::Transport::Datagram, caller, address);
        datagram.extend(&payload);
        let parsed = proxy::parse(&datagram, proxy::Transport::Datagram).unwrap();
        (parsed.caller, parsed.address) == (caller, address) && datagram[parsed.length..] == payload
    }
    check(property as fn(SocketAddr, SocketAddr, Vec<u8>) -> bool);
}

/// Guards against accepting the header of a stream for a datagram.
#[test]
fn a_header_for_another_transport_is_refused() {
    let header = proxy::header(proxy::Transport::Stream, address(1, 7_000), address(2, 53));
    assert!(proxy::parse(&header, proxy::Transport::Stream).is_ok());
    assert!(proxy::parse(&header, proxy::Transport::Datagram).is_err());
}

/// Guards against payload bytes that are consumed together with the header.
#[tokio::test]
async fn reading_a_header_leaves_the_payload_unread() {
    let mut bytes = proxy::header(proxy::Transport::Stream, address(1, 7_000), address(2, 53));
    bytes.extend(b"first bytes");
    let mut stream = &bytes[..];
    let parsed = proxy::read(&mut stream).await.unwrap();
    assert_eq!(parsed.caller, address(1, 7_000));
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    assert_eq!(rest, b"first bytes");
}

fn address(host: u8, port: u16) -> SocketAddr {
    ([127, 0, 0, host], port).into()
}

/// Checks a property on inputs generated from a fixed seed.
fn check(property: impl quickcheck::Testable) {
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(1_000)
        .quickcheck(property);
}
