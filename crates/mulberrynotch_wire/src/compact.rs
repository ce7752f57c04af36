//! Compact `serde` encodings of the types that each heartbeat carries.
//!
//! Digests and ports use fixed-length bytes, because their values are uniformly distributed and
//! variable-length integers would be longer. Address family and state of a member share one byte.

use std::{
    fmt,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::Arc, //
};

use serde::{
    de,
    ser::{
        self,
        SerializeTuple, //
    }, //
};

use crate::control;

/// Number of fields of an encoded `Member`: family and state, name, zone, IP address, port, incarnation.
const MEMBER_FIELDS: usize = 6;

/// Number of fields of an encoded `Version`: revision, digest.
const VERSION_FIELDS: usize = 2;

/// Number of fields of an encoded `Summary`: version, digest of members, platform age.
const SUMMARY_FIELDS: usize = 3;

/// Bit of the first byte of a member that marks an IPv6 address.
const IPV6_FLAG: u8 = 0x80;

impl ser::Serialize for control::Member {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(MEMBER_FIELDS)?;
        let family = if self.peer.is_ipv6() { IPV6_FLAG } else { 0 };
        tuple.serialize_element(&(family | self.state as u8))?;
        tuple.serialize_element(&self.name)?;
        tuple.serialize_element(&self.zone)?;
        match self.peer.ip() {
            IpAddr::V4(ip) => tuple.serialize_element(&ip.octets())?,
            IpAddr::V6(ip) => tuple.serialize_element(&ip.octets())?,
        }
        tuple.serialize_element(&self.peer.port().to_le_bytes())?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for control::Member {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(MEMBER_FIELDS, MemberVisitor)
    }
}

struct MemberVisitor;

impl<'de> de::Visitor<'de> for MemberVisitor {
    type Value = control::Member;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a member as family and state, name, zone, IP, port, incarnation")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<control::Member, A::Error> {
        let first: u8 = next_field(&mut seq, 0)?;
        let state = match first & !IPV6_FLAG {
            0 => control::State::Alive,
            1 => control::State::Suspect,
            2 => control::State::Leaving,
            3 => control::State::Dead,
            other => {
                let unexpected = de::Unexpected::Unsigned(u64::from(other));
                return Err(de::Error::invalid_value(unexpected, &"a state from 0 to 3"));
            }
        };
        let name: Arc<str> = next_field(&mut seq, 1)?;
        let zone: Arc<str> = next_field(&mut seq, 2)?;
        let ip = if first & IPV6_FLAG == 0 {
            IpAddr::from(next_field::<[u8; 4], A>(&mut seq, 3)?)
        } else {
            IpAddr::from(next_field::<[u8; 16], A>(&mut seq, 3)?)
        };
        let port = u16::from_le_bytes(next_field(&mut seq, 4)?);
        Ok(control::Member {
            name,
            zone,
            peer: SocketAddr::new(ip, port),
            incarnation: next_field(&mut seq, 5)?,
            state,
        })
    }
}

impl ser::Serialize for control::Version {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(VERSION_FIELDS)?;
        tuple.serialize_element(&self.revision)?;
        tuple.serialize_element(&self.digest.to_le_bytes())?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for control::Version {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(VERSION_FIELDS, VersionVisitor)
    }
}

struct VersionVisitor;

impl<'de> de::Visitor<'de> for VersionVisitor {
    type Value = control::Version;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a version as revision and digest")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<control::Version, A::Error> {
        Ok(control::Version {
            revision: next_field(&mut seq, 0)?,
            digest: u64::from_le_bytes(next_field(&mut seq, 1)?),
        })
    }
}

impl ser::Serialize for control::Summary {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(SUMMARY_FIELDS)?;
        tuple.serialize_element(&self.version)?;
        tuple.serialize_element(&self.members_digest.to_le_bytes())?;
        tuple.serialize_element(&self.platform_age_seconds)?;
        tuple.end()
    }
}

impl<'de> de::Deserialize<'de> for control::Summary {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(SUMMARY_FIELDS, SummaryVisitor)
    }
}

struct SummaryVisitor;

impl<'de> de::Visitor<'de> for SummaryVisitor {
    type Value = control::Summary;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a summary as version, digest of members and age")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<control::Summary, A::Error> {
        Ok(control::Summary {
            version: next_field(&mut seq, 0)?,
            members_digest: u64::from_le_bytes(next_field(&mut seq, 1)?),
            platform_age_seconds: next_field(&mut seq, 2)?,
        })
    }
}

fn next_field<'de, T, A>(seq: &mut A, index: usize) -> Result<T, A::Error>
where
    T: de::Deserialize<'de>,
    A: de::SeqAccess<'de>,
{
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(index, &"all fields"))
}
