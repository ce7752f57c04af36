//! Tests of the datagrams between balancers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        RwLock, //
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use mulberrynotch_net::peer;
use mulberrynotch_policy::{
    budget,
    view, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::{
    control,
    data,
    envelope,
    frame, //
};
use tokio::net::UdpSocket;

const BYTES_PER_SECOND: u32 = 2_000;
const SEED: u64 = 12;
const WAIT: Duration = Duration::from_secs(10);

fn keyring(byte: u8) -> envelope::Keyring {
    let key = [byte; 32];
    envelope::Keyring::new(vec![envelope::Secret { id: 1, key }])
}

fn confirm(nonce: u64) -> frame::Frame {
    let have = control::Version::default();
    frame::Frame::Control(control::Message::Confirm { nonce, have })
}

fn header() -> data::Header {
    data::Header {
        revision: 1,
        service: id::Service(1),
        target: id::Target(2),
        choice: data::Choice::Rank(0),
        hops_left: 4,
        caller: ([127, 0, 0, 1], 7_000).into(),
        address: ([127, 0, 0, 2], 53).into(),
    }
}

/// Binds a peer on a free port whose view contains a second balancer, `other`, at `address`.
fn bind(address: SocketAddr, now: &Arc<AtomicU64>) -> peer::Peer {
    let member = |name: &str, peer| control::Member {
        name: Arc::from(name),
        zone: Arc::from("a"),
        peer,
        incarnation: 1,
        state: control::State::Alive,
    };
    let local = ([127, 0, 0, 1], 0).into();
    let me = member("me", local);
    let register = Arc::new(model::Register::empty());
    let view = view::View::new(&me, register, vec![member("other", address)], true);
    let now = now.clone();
    peer::Peer::bind(
        local,
        me.name.clone(),
        keyring(1),
        Arc::new(RwLock::new(Arc::new(view))),
        Arc::new(move || Duration::from_millis(now.load(Ordering::Relaxed))),
        BYTES_PER_SECOND,
    )
    .unwrap()
}

/// Guards against accepting a frame in which any byte was changed.
#[test]
fn a_changed_frame_is_refused() {
    fn property(nonce: u64, index: usize, mask: u8) -> bool {
        let content = postcard::to_stdvec(&confirm(nonce)).unwrap();
        let mut sealed = keyring(1).seal("other", &content);
        assert!(peer::open(&keyring(1), &sealed).is_some());
        let index = index % sealed.len();
        sealed[index] ^= mask.max(1);
        peer::open(&keyring(1), &sealed).is_none()
    }
    check(property as fn(u64, usize, u8) -> bool);
}

/// Guards against a panic on arbitrary content, including that of a member with another version.
#[test]
fn arbitrary_content_does_not_panic() {
    fn property(content: Vec<u8>) -> bool {
        let sealed = keyring(1).seal("other", &content);
        // A random frame may decode, but must not cause a panic.
        let _ = peer::open(&keyring(1), &sealed);
        peer::open(&keyring(1), &content).is_none()
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Guards against accepting a datagram sealed with another key, a datagram of the process itself
/// that was reflected to it, or a control frame with trailing bytes.
#[tokio::test]
async fn forged_and_reflected_datagrams_are_refused() {
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peer = bind(other.local_addr().unwrap(), &Arc::default());
    let to = peer.local_address().unwrap();
    let content = postcard::to_stdvec(&confirm(1)).unwrap();
    let mut buffer = vec![0; peer::MAX_DATAGRAM_BYTES];
    for refused in [
        keyring(2).seal("other", &content),
        keyring(1).seal("me", &content),
        keyring(1).seal("other", &[&content[..], &[0]].concat()),
        vec![1, 2, 3],
    ] {
        other.send_to(&refused, to).await.unwrap();
        let received = tokio::time::timeout(WAIT, peer.receive(&mut buffer)).await;
        assert_eq!(received.unwrap().unwrap(), None);
    }
    other
        .send_to(&keyring(1).seal("other", &content), to)
        .await
        .unwrap();
    let received = tokio::time::timeout(WAIT, peer.receive(&mut buffer)).await;
    let (_, received) = received.unwrap().unwrap().unwrap();
    assert_eq!((received.from, received.frame), ("other", confirm(1)));
    assert_eq!(peer.counters.refused.load(Ordering::Relaxed), 4);
    assert_eq!(peer.counters.control_received.load(Ordering::Relaxed), 1);
}

/// Guards against control traffic above the budget, and against datagrams of callers that wait for
/// the budget.
#[tokio::test]
async fn control_waits_for_the_budget_and_data_does_not() {
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let now = Arc::new(AtomicU64::new(0));
    let peer = Arc::new(bind(other.local_addr().unwrap(), &now));
    for nonce in 0..1_000 {
        peer.send_control_to("other", budget::Priority::Configuration, &confirm(nonce));
    }
    let pump = tokio::spawn({
        let peer = peer.clone();
        async move { peer.send_queued().await }
    });
    let sent = |peer: &peer::Peer| peer.counters.control_sent_bytes.load(Ordering::Relaxed);
    let burst = u64::from(2 * BYTES_PER_SECOND);
    wait_until(|| sent(&peer) > burst - 100).await;
    // The clock does not advance, so polling the queue must not send more.
    peer.send_data("other", header(), b"payload");
    let (mut buffer, mut data) = (vec![0; peer::MAX_DATAGRAM_BYTES], false);
    while !data {
        let received = tokio::time::timeout(WAIT, other.recv_from(&mut buffer)).await;
        let (length, _) = received.unwrap().unwrap();
        let opened = peer::open(&keyring(1), &buffer[..length]).unwrap();
        data = opened.payload == b"payload";
    }
    assert!(sent(&peer) <= burst);
    now.store(1_000, Ordering::Relaxed);
    let second = burst + u64::from(BYTES_PER_SECOND);
    wait_until(|| sent(&peer) > second - 100).await;
    assert!(sent(&peer) <= second);
    assert!(peer.waiting() > 0);
    pump.abort();
}

/// Guards against dropping the first datagram of a new socket, which tokio still reports as not
/// writable.
#[tokio::test]
async fn the_first_datagram_of_a_socket_is_sent() {
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peer = bind(other.local_addr().unwrap(), &Arc::default());
    peer.send_data("other", header(), b"payload");
    assert_eq!(peer.counters.send_failed.load(Ordering::Relaxed), 0);
    assert_eq!(peer.counters.data_sent.load(Ordering::Relaxed), 1);
}

/// Waits for a condition, up to [`WAIT`].
async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT, wait).await.unwrap();
}

/// Checks a property on inputs generated from a fixed seed.
fn check(property: impl quickcheck::Testable) {
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, SEED))
        .tests(1_000)
        .quickcheck(property);
}
