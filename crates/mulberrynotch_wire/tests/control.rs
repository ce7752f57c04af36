//! Tests the encoding and authentication of frames between balancers.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use mulberrynotch_wire::{
    control,
    envelope,
    frame,
    stream, //
};
use quickcheck::quickcheck;

fn member(name: &str, ip: IpAddr, port: u16, incarnation: u64, state: u8) -> control::Member {
    use control::State::{Alive, Dead, Leaving, Suspect};
    control::Member {
        name: name.into(),
        zone: "zone-a".into(),
        peer: SocketAddr::new(ip, port),
        incarnation,
        state: [Alive, Suspect, Leaving, Dead][usize::from(state % 4)],
    }
}

quickcheck! {
    /// Guards against a hand-written visitor that reads fields in another order or type than the
    /// serializer writes them.
    fn ping_round_trips(
        name: String,
        ip: IpAddr,
        port: u16,
        incarnation: u64,
        state: u8,
        digests: (u64, u64, u64),
        age: u8
    ) -> bool {
        let member = member(&name, ip, port, incarnation, state);
        let version = control::Version { revision: digests.0, digest: digests.1 };
        let summary =
            control::Summary { version, members_digest: digests.2, platform_age_seconds: age };
        let updates = vec![member.clone(); usize::from(state % 3)];
        let ping = control::Message::Ping { sequence: 7, sender: member, summary, updates };
        let ping = frame::Frame::Control(ping);
        let encoded = postcard::to_stdvec(&ping).unwrap();
        postcard::from_bytes::<frame::Frame>(&encoded).unwrap() == ping
    }

    /// Guards against a decoder that panics or allocates memory for a length prefix larger than a
    /// datagram.
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>, tag: u8) -> bool {
        for variant in [tag % 4, 0] {
            let mut bytes = bytes.clone();
            bytes.insert(0, variant);
            let _ = postcard::from_bytes::<frame::Frame>(&bytes);
            let _ = postcard::from_bytes::<control::Message>(&bytes);
            let _ = postcard::from_bytes::<control::Member>(&bytes);
            let _ = postcard::from_bytes::<control::Summary>(&bytes);
            let _ = postcard::from_bytes::<stream::Preface>(&bytes);
            let _ = postcard::from_bytes::<stream::Answer>(&bytes);
        }
        true
    }

    /// Guards against an envelope that is accepted after a change of one byte, and against a panic on
    /// arbitrary bytes, which any host can send to the peer address.
    fn envelope_opens_only_unchanged(content: Vec<u8>, position: usize, bytes: Vec<u8>) -> bool {
        let keyring = envelope::Keyring::new([envelope::Secret { id: 1, key: [7; 32] }]);
        let sealed = keyring.seal("vm-1", &content);
        let mut changed = sealed.clone();
        changed[position % sealed.len()] ^= 1;
        keyring.open(&sealed) == Ok(("vm-1", &content[..]))
            && keyring.open(&changed).is_err()
            && keyring.open(&bytes).is_err()
    }

    /// Guards against a truncated member that decodes without an error.
    fn truncated_member_is_refused(ip: IpAddr, port: u16, incarnation: u64) -> bool {
        let member = member("vm-1", ip, port, incarnation, 0);
        let encoded = postcard::to_stdvec(&member).unwrap();
        (0..encoded.len())
            .all(|end| postcard::from_bytes::<control::Member>(&encoded[..end]).is_err())
    }
}

/// Guards against an unknown state that decodes as a known one.
#[test]
fn unknown_state_is_refused() {
    let member = member("vm-1", "127.0.0.1".parse().unwrap(), 1, 1, 0);
    let mut encoded = postcard::to_stdvec(&member).unwrap();
    encoded[0] = 4;
    assert!(postcard::from_bytes::<control::Member>(&encoded).is_err());
}

/// Guards against growth of the encoded parts of a heartbeat.
#[test]
fn heartbeat_parts_stay_compact() {
    let member = member("vm-1", "127.0.0.1".parse().unwrap(), 65_535, 1, 0);
    let names_bytes = 1 + member.name.len() + 1 + member.zone.len();
    assert_eq!(postcard::to_stdvec(&member).unwrap().len(), names_bytes + 8);
    let version = control::Version {
        revision: 1,
        digest: u64::MAX,
    };
    let summary = control::Summary {
        version,
        members_digest: u64::MAX,
        platform_age_seconds: 0,
    };
    assert_eq!(postcard::to_stdvec(&summary).unwrap().len(), 18);
}
