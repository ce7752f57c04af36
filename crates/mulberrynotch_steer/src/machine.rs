//! State machine of a balancer: forwards packets and decides on messages, probes and calls to the
//! store.

mod data;
mod event;
mod explain;
mod failure;
mod fetch;
mod heartbeat;
mod open;
mod partition;
mod push;
mod readiness;
mod store;
mod time;

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    net::SocketAddrV4,
    time::Duration, //
};

pub use event::{
    Event,
    Reason, //
};
pub use explain::{
    Explanation,
    Outcome, //
};
use mulberrynotch_policy::rendezvous;

use crate::{
    catalog,
    choice,
    evidence,
    fleet,
    flow,
    message,
    packet,
    path,
    ramp,
    reader,
    record,
    rotation, //
};

/// Age of the register up to which it is current enough to refuse flows for unknown routes.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(3_200);

/// Longest wait for a confirmation of the register after a pause of the VM.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(2_000);

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

/// Interval between heartbeats while the process knows no live member.
const JOINING_HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);

/// Time for a pushed change to arrive before it is fetched from a peer.
const PUSH_GRACE: Duration = Duration::from_millis(150);

const MIN_PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of peers that receive a failure report.
const MAX_REPORT_RECIPIENTS: usize = 32;

/// Interval at which expired state is dropped.
const CLEAN_UP_PERIOD: Duration = Duration::from_secs(1);

mulberrynotch_macros::data! {
    /// What the driver does with a packet.
    #[derive(Copy)]
    pub enum Verdict {
        /// Sends it to a target.
        Forward {
            /// Address of the target.
            to: SocketAddrV4,
            /// Target at that address.
            target: record::Id,
            /// Cookie to write into the packet; `None` if the packet carries it already.
            cookie: Option<u32>,
        },
        /// Answers with a reset.
        Reset,
        /// Keeps the packet until [`Machine::is_holding`] is false and submits it again; the
        /// register is about to become known or confirmed.
        Hold,
        /// Drops the packet.
        Drop,
    }

    /// Action for the driver.
    pub enum Action {
        /// Sends a message to peers.
        Send {
            /// Peer addresses.
            to: Vec<SocketAddrV4>,
            /// The message.
            message: message::Message,
        },
        /// Calls the store.
        Call(reader::Call),
        /// Fetches records from a peer over a stream.
        Pull {
            /// Peer address.
            from: SocketAddrV4,
            /// The request.
            pull: message::Pull,
        },
        /// Probes a target with a connection attempt.
        Probe {
            /// The target.
            target: record::Id,
            /// Its address.
            address: SocketAddrV4,
        },
        /// Sends a reset to the client of an open flow.
        Reset {
            /// The flow.
            flow: packet::Flow,
            /// Position up to which the client has received the target's stream.
            acknowledged: u32,
        },
        /// Records the time from an opening packet to the next packet of its flow.
        Latency(Duration),
        /// Logs a decision or a change of state.
        Log(Event),
    }

    /// Counters for metrics.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Opening packets forwarded, retransmissions included.
        pub opened: u64,
        /// Opening packets refused with a reset.
        pub refused: u64,
        /// Opening packets dropped without an answer, because another balancer may know the route
        /// or serve the flow.
        pub withheld: u64,
        /// Packets that waited for the register.
        pub held: u64,
        /// Forwarded packets of open flows.
        pub carried: u64,
        /// Open flows reset because their target has ended.
        pub reset: u64,
        /// Packets whose cookie belongs to no known target.
        pub unknown: u64,
        /// Packets with contradictory flags.
        pub malformed: u64,
    }
}

/// State machine of one balancer.
#[derive(Debug)]
pub struct Machine {
    fleet: fleet::Fleet,
    catalog: catalog::Catalog,
    evidence: evidence::Table,
    paths: path::Table,
    rotation: rotation::Rotation,
    flows: flow::Table,
    load: choice::Load,
    ramp: ramp::Ramp,
    reader: reader::Reader,
    actions: Vec<Action>,
    counters: Counters,
    random_seed: u64,
    /// Time at which the register was last confirmed as current.
    confirmed_at: Option<Duration>,
    /// End of a pause after which the register has not been confirmed.
    resumed_at: Option<Duration>,
    /// Time at which the store last answered another reader in this zone.
    reader_at: Option<Duration>,
    /// True while this process answers for its zone.
    is_reader: bool,
    /// Peer that has changes or removed targets which this process lacks.
    pull_source: Option<fetch::PullSource>,
    /// Peer of another zone that has changes which no peer of this zone has shown yet.
    remote_source: Option<fetch::PullSource>,
    pulled_at: Option<Duration>,
    /// Changes to relay to peers once this process has caught up with them.
    pending_relays: VecDeque<message::Push>,
    /// Time since which removed targets are known; may precede the start of the process if a peer
    /// supplied them.
    removals_known_since: Option<Duration>,
    leaving: bool,
    heartbeat_at: Duration,
    cleaned_at: Duration,
    /// Live members of this zone at the last clean-up.
    live_peers: BTreeSet<SocketAddrV4>,
    rotation_checked_at: Duration,
    /// Time of the last probe sent because this process is isolated.
    isolation_probed_at: Duration,
}

impl Machine {
    /// Creates a machine with an empty register; `random_seed` drives all random decisions.
    pub fn new(me: message::Member, seeds: Vec<SocketAddrV4>, random_seed: u64) -> Self {
        Self {
            fleet: fleet::Fleet::new(me, seeds, rendezvous::weight(random_seed, 1)),
            catalog: catalog::Catalog::default(),
            evidence: evidence::Table::default(),
            paths: path::Table::default(),
            rotation: rotation::Rotation::default(),
            flows: flow::Table::default(),
            load: choice::Load::default(),
            ramp: ramp::Ramp::default(),
            reader: reader::Reader::default(),
            actions: Vec::new(),
            counters: Counters::default(),
            random_seed,
            confirmed_at: None,
            resumed_at: None,
            reader_at: None,
            is_reader: false,
            pull_source: None,
            remote_source: None,
            pulled_at: None,
            pending_relays: VecDeque::new(),
            removals_known_since: None,
            leaving: false,
            heartbeat_at: Duration::ZERO,
            cleaned_at: Duration::ZERO,
            live_peers: BTreeSet::new(),
            rotation_checked_at: Duration::ZERO,
            isolation_probed_at: Duration::ZERO,
        }
    }

    /// Returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the process is in rotation: the register is usable, and the process is neither
    /// withdrawn nor shutting down.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_usable() && !self.rotation.is_withdrawn() && !self.leaving
    }

    /// Returns whether packets wait for the register: all packets at the start, and opening packets
    /// after a pause of the VM.
    pub fn is_holding(&self) -> bool {
        !self.catalog.is_usable() || self.resumed_at.is_some()
    }

    /// Allows the process to withdraw from the rotation while it can serve no new flow, or keeps it
    /// in rotation.
    pub fn set_withdrawal_allowed(&mut self, allowed: bool) {
        self.rotation.set_withdrawal_allowed(allowed);
    }

    /// Replaces the peers that are contacted first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.fleet.set_seeds(seeds);
    }

    /// Returns this balancer's copy of the register.
    pub fn catalog(&self) -> &catalog::Catalog {
        &self.catalog
    }

    /// Returns the evidence on the targets' health.
    pub fn evidence(&self) -> &evidence::Table {
        &self.evidence
    }

    /// Returns the state of the paths to other zones.
    pub fn paths(&self) -> &path::Table {
        &self.paths
    }

    /// Returns the known balancers.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of tracked flows.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the recent requests to the targets and their latencies.
    pub fn load(&self) -> &choice::Load {
        &self.load
    }

    /// Returns the time since the register was last confirmed as current; `None` before the first
    /// answer.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    fn is_current(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age < MAX_CURRENT_AGE)
    }

    fn send(&mut self, to: Vec<SocketAddrV4>, message: message::Message) {
        self.actions.push(Action::Send { to, message });
    }

    fn log(&mut self, event: Event) {
        self.actions.push(Action::Log(event));
    }

    fn next_random(&mut self) -> u64 {
        self.random_seed = self.peek_random();
        self.random_seed
    }

    /// Decides what to do with a packet from a client.
    pub fn packet(&mut self, now: Duration, packet: &packet::Packet) -> Verdict {
        if packet.is_malformed() {
            self.counters.malformed += 1;
            return Verdict::Drop;
        }
        if packet.opens() {
            self.open(now, packet)
        } else {
            self.carry(now, packet)
        }
    }
}

/// Converts an age to milliseconds; `u32::MAX` for an unknown one.
fn millis(age: Option<Duration>) -> u32 {
    age.map_or(u32::MAX, |age| {
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    })
}
