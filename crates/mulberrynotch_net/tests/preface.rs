//! Tests of the prefaces of peer connections.

use std::sync::Arc;

use mulberrynotch_net::preface;
use mulberrynotch_wire::{
    envelope,
    stream::Preface, //
};
use tokio::io::AsyncWriteExt;

fn keyring(key: u8) -> envelope::Keyring {
    envelope::Keyring::new([envelope::Secret {
        id: 1,
        key: [key; 32],
    }])
}

fn requests() -> Preface {
    Preface::Requests {
        sender: Arc::from("a"),
    }
}

/// Guards against a request for member entries that does not fit into a preface in a large fleet.
#[test]
fn request_for_members_of_a_large_fleet_fits() {
    let sender = mulberrynotch_wire::control::Member {
        name: "a-long-name-of-a-virtual-machine".into(),
        zone: "a-long-name-of-a-zone".into(),
        peer: "[2001:db8::1]:7000".parse().unwrap(),
        incarnation: u64::MAX,
        state: mulberrynotch_wire::control::State::Alive,
    };
    let held = vec![[255; 4]; 960];
    let members = Preface::Members { sender, held };
    assert!(preface::frame(&keyring(1), "a-long-name-of-a-virtual-machine", &members).is_ok());
}

/// Guards against a preface reader that consumes bytes after the preface.
#[tokio::test]
async fn preface_is_read_back() {
    let (mut near, mut far) = tokio::io::duplex(1_024);
    preface::write(&mut near, &keyring(1), "a", &requests())
        .await
        .unwrap();
    near.write_all(b"rest").await.unwrap();
    let (sender, read) = preface::read(&mut far, &keyring(1)).await.unwrap();
    assert_eq!((&*sender, read), ("a", requests()));
    let mut rest = [0; 4];
    tokio::io::AsyncReadExt::read_exact(&mut far, &mut rest)
        .await
        .unwrap();
    assert_eq!(&rest, b"rest");
}

/// Guards against accepting a preface from a sender without the shared secret.
#[tokio::test]
async fn forged_preface_is_refused() {
    let (mut near, mut far) = tokio::io::duplex(1_024);
    preface::write(&mut near, &keyring(2), "a", &requests())
        .await
        .unwrap();
    let error = preface::read(&mut far, &keyring(1)).await.unwrap_err();
    assert!(matches!(
        error,
        preface::Error::Envelope(envelope::Error::TagMismatch)
    ));
}

/// Guards against a length prefix that makes the reader allocate too much memory.
#[tokio::test]
async fn long_preface_is_refused() {
    let (mut near, mut far) = tokio::io::duplex(1_024);
    near.write_all(&u16::MAX.to_be_bytes()).await.unwrap();
    let error = preface::read(&mut far, &keyring(1)).await.unwrap_err();
    assert!(matches!(error, preface::Error::TooLong(65_535)));
}
