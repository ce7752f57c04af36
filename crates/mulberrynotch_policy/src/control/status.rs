//! What the machine shows in the state dump.

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
    /// Last refused registers.
    pub refused: Vec<Refusal>,
    /// All members, tombstones included.
    pub members: Vec<Peer>,
    /// Readers of the process's own zone.
    pub readers: Vec<Arc<str>>,
    /// Seconds since a reader heard from the platform; 255 for never.
    pub platform_age_seconds: u8,
    /// False until the first confirmation of a start or a pause.
    pub confirmed: bool,
    /// True when work in the own zone may go on.
    pub own_zone_ready: bool,
    /// Zones without confirmed contact.
    pub unreachable_zones: Vec<Arc<str>>,
    /// Zones that the platform's list shows without balancers.
    pub vacant_zones: Vec<Arc<str>>,
    /// Counts since the start.
    pub counters: Counters,
}

/// An entry of the member table.
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

/// A refused register.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Refusal {
    /// Its revision.
    pub revision: u64,
    /// Its digest; 0 when it did not validate.
    pub digest: u64,
    /// Why, with the remedy.
    pub reason: String,
    /// When, since the start of the process.
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
    /// Suspicions that the process found itself.
    pub suspicions: u64,
    /// Suspicions of the process that it refuted.
    pub refutations: u64,
    /// Repairs of the member table.
    pub repairs: u64,
    /// Transfers of member entries over TCP that the process asked for.
    pub transfers: u64,
    /// Bytes of transfers of member entries, asked for and answered.
    pub transfer_bytes: u64,
    /// Pauses of the process.
    pub pauses: u64,
    /// Zones that the process lost contact with.
    pub zones_lost: u64,
    /// Views that were built.
    pub views: u64,
}

impl Machine {
    /// Snapshot for the state dump.
    pub fn status(&self, now: Duration) -> Status {
        let configuration = &self.configuration;
        Status {
            revision: configuration.version.revision,
            digest: configuration.version.digest,
            highest_revision: configuration.highest_revision,
            age: now.saturating_sub(configuration.accepted_at),
            refused: configuration.refused.iter().cloned().collect(),
            members: self.table.entries().map(|e| peer(&e.member)).collect(),
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
