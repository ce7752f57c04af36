//! State of the machine for the state dump.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::control::{
    self,
    State, //
};
use serde::Serialize;

use super::Machine;

/// Snapshot of the machine's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Revision of the register in effect.
    pub revision: u64,
    /// Digest of the register in effect.
    pub digest: u64,
    /// Highest revision seen from the platform or a peer.
    pub highest_revision: u64,
    /// Time since the register came into effect.
    pub age: Duration,
    /// Latest refused registers.
    pub refused: Vec<Refusal>,
    /// All members, tombstones included.
    pub members: Vec<Peer>,
    /// Readers of the local zone.
    pub readers: Vec<Arc<str>>,
    /// Seconds since the latest known answer of the platform to any process; 255 for none.
    pub platform_age_seconds: u8,
    /// True once a peer or the platform has confirmed the register since the start or the last
    /// pause.
    pub confirmed: bool,
    /// True when work in the local zone may proceed.
    pub own_zone_ready: bool,
    /// Zones that are lost until one of their members, or the platform for a zone without live
    /// members, confirms the register.
    pub unreachable_zones: Vec<Arc<str>>,
    /// Zones without balancers in the platform's list.
    pub vacant_zones: Vec<Arc<str>>,
    /// Counts since the start.
    pub counters: Counters,
}

/// Entry of the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// Unique name of the VM.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for peers.
    pub address: SocketAddr,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// State at that incarnation.
    pub state: State,
}

/// Refused register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Revision of the register.
    pub revision: u64,
    /// Digest of the register; 0 when it failed validation.
    pub digest: u64,
    /// Reason for the refusal and how to resolve it.
    pub reason: String,
    /// Time of the refusal since the start of the process.
    pub at: Duration,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Messages handed to the driver.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Calls to the platform; a watch counts as one.
    pub platform_calls: u64,
    /// Registers accepted.
    pub accepted: u64,
    /// Registers refused.
    pub refused: u64,
    /// Suspicions that originate from this process.
    pub suspicions: u64,
    /// Suspicions of this process that it refuted.
    pub refutations: u64,
    /// Requests to repair the member table after a digest difference.
    pub repairs: u64,
    /// Completed transfers of member entries that this process requested over TCP.
    pub transfers: u64,
    /// Bytes of member transfers, requested and answered.
    pub transfer_bytes: u64,
    /// Pauses of the process.
    pub pauses: u64,
    /// Losses of contact with a zone.
    pub zones_lost: u64,
    /// Views built.
    pub views: u64,
}

impl Machine {
    /// Returns a snapshot for the state dump.
    pub fn status(&self, now: Duration) -> Status {
        let configuration = &self.configuration;
        Status {
            revision: configuration.version.revision,
            digest: configuration.version.digest,
            highest_revision: configuration.latest.revision,
            age: now.saturating_sub(configuration.accepted_at),
            refused: configuration.refused.iter().cloned().collect(),
            members: self
                .table
                .entries()
                .map(|entry| peer(&entry.member))
                .collect(),
            readers: self.readers(&self.config.me.zone),
            platform_age_seconds: self.platform_age(now),
            confirmed: self.contact.confirmed,
            own_zone_ready: self.contact.own_zone_ready,
            unreachable_zones: self.lost_zones(),
            vacant_zones: self.calls.vacancy.zones(),
            counters: self.counters,
        }
    }
}

fn peer(member: &control::Member) -> Peer {
    Peer {
        name: member.name.clone(),
        zone: member.zone.clone(),
        address: member.peer,
        incarnation: member.incarnation,
        state: member.state,
    }
}
