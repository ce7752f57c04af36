//! A balancer: where each packet goes, what is believed, and what to ask and tell others.

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

/// Age of the register up to which it is current enough to refuse a flow on its word.
const MAX_CURRENT_AGE: Duration = Duration::from_millis(3_200);

/// Longest wait for a confirmation after a pause of the VM.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Period of the heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

/// Period of the heartbeats while the process knows no other one.
const JOINING_HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);

/// Time that a change may take to arrive by itself before it is fetched from a peer.
const PUSH_GRACE: Duration = Duration::from_millis(150);

/// Pause between two fetches from peers.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(250);

/// Peers that one doubt about a target is told to at most.
const MAX_REPORT_RECIPIENTS: usize = 32;

/// Period in which what is no longer needed is forgotten.
const CLEAN_UP_PERIOD: Duration = Duration::from_secs(1);

mulberrynotch_macros::data! {
    /// What the driver does with a packet.
    #[derive(Copy)]
    pub enum Verdict {
        /// Send it to a target.
        Forward {
            /// Address of the target.
            to: SocketAddrV4,
            /// The target that is meant.
            target: record::Id,
            /// Cookie to write into the packet, unless it carries one.
            cookie: Option<u32>,
        },
        /// Answer with a reset.
        Reset,
        /// Ask again once [`Machine::is_holding`] is false: the register is about to be known.
        Hold,
        /// Nothing.
        Drop,
    }

    /// What the driver has to do.
    pub enum Action {
        /// Send a message to peers.
        Send {
            /// Peer addresses.
            to: Vec<SocketAddrV4>,
            /// The message.
            message: message::Message,
        },
        /// Call the store.
        Call(reader::Call),
        /// Fetch records from a peer over a stream.
        Pull {
            /// Peer address.
            from: SocketAddrV4,
            /// What is asked for.
            pull: message::Pull,
        },
        /// Connect to a target to see whether it lives.
        Probe {
            /// The target.
            target: record::Id,
            /// Its address.
            address: SocketAddrV4,
        },
        /// Send a reset to the client of an open flow.
        Reset {
            /// The flow.
            flow: packet::Flow,
            /// Position up to which the client holds the target's stream.
            acknowledged: u32,
        },
        /// Record the time from an opening packet to the next packet of its flow.
        Latency(Duration),
        /// Log a decision or a changed belief.
        Log(Event),
    }

    /// Counts for metrics.
    #[derive(Copy, Default)]
    pub struct Counters {
        /// Flows opened, copies of opening packets included.
        pub opened: u64,
        /// Opening packets refused with a reset.
        pub refused: u64,
        /// Opening packets that were not answered, because a route may be missing here only.
        pub withheld: u64,
        /// Packets that waited for the register.
        pub held: u64,
        /// Packets of open flows that were forwarded.
        pub carried: u64,
        /// Open flows reset because their target has ended.
        pub reset: u64,
        /// Packets with a cookie that no known target has.
        pub unknown: u64,
        /// Packets with flags that no client sends.
        pub malformed: u64,
    }
}

/// A balancer.
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
    random: u64,
    /// When the register was last known to be current.
    confirmed_at: Option<Duration>,
    /// When a pause ended after which the register has not been confirmed.
    resumed_at: Option<Duration>,
    /// When a reader of the own zone other than this process was last known to reach the store.
    reader_at: Option<Duration>,
    /// What a peer has and this process lacks.
    pull_source: Option<fetch::PullSource>,
    pulled_at: Option<Duration>,
    /// Changes to pass on to peers, which wait until this process has caught up.
    pending_relays: VecDeque<message::Push>,
    /// Since when removed targets are known; a peer may tell of those before the start.
    removals_known_since: Option<Duration>,
    leaving: bool,
    heartbeat_at: Duration,
    cleaned_at: Duration,
    /// Members of the own zone that were live at the last clean-up.
    live_peers: BTreeSet<SocketAddrV4>,
    rotation_checked_at: Duration,
    /// When a target was last probed because this process reaches none.
    isolation_probed_at: Duration,
}

impl Machine {
    /// Starts with an empty register; `random` seeds all draws.
    pub fn new(me: message::Member, seeds: Vec<SocketAddrV4>, random: u64) -> Self {
        Self {
            fleet: fleet::Fleet::new(me, seeds, rendezvous::weight(random, 1)),
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
            random,
            confirmed_at: None,
            resumed_at: None,
            reader_at: None,
            pull_source: None,
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

    /// Takes the actions that came up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// True while the process can serve new flows and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_usable() && !self.rotation.is_withdrawn() && !self.leaving
    }

    /// True while packets wait for the register: after the start, and after a pause of the VM.
    pub fn is_holding(&self) -> bool {
        !self.catalog.is_usable() || self.resumed_at.is_some()
    }

    /// Lets the process step aside while it can serve no new flow, or keeps it in rotation.
    pub fn set_withdrawal_allowed(&mut self, allowed: bool) {
        self.rotation.set_withdrawal_allowed(allowed);
    }

    /// Replaces the peers that are contacted first.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.fleet.set_seeds(seeds);
    }

    /// What is known of the register.
    pub fn catalog(&self) -> &catalog::Catalog {
        &self.catalog
    }

    /// What is known of the targets' health.
    pub fn evidence(&self) -> &evidence::Table {
        &self.evidence
    }

    /// What is believed of the paths to other zones.
    pub fn paths(&self) -> &path::Table {
        &self.paths
    }

    /// The known balancers.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Number of flows of which something is remembered.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Requests to the targets lately, and their latencies.
    pub fn load(&self) -> &choice::Load {
        &self.load
    }

    /// Time since the register was known to be current; `None` before the first answer.
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

    fn draw(&mut self) -> u64 {
        self.random = self.next_draw();
        self.random
    }

    /// Decides where a packet of a client goes.
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

/// An age in milliseconds; the largest number for one that is not known.
fn millis(age: Option<Duration>) -> u32 {
    age.map_or(u32::MAX, |age| {
        u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
    })
}
