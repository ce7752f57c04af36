//! Placement of flows on targets, and the records of the flows on targets that the process owns.

mod admission;
mod handover;
mod liveness;
mod load;
mod owned;
mod place;
mod ramp;
mod record;
mod redirect;
mod release;
mod reuse;
mod settle;
mod status;
mod sweep;
mod table;
mod takeover;
mod zone_returns;

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::{
    data,
    flow, //
};

use crate::{
    budget,
    health,
    rendezvous,
    view, //
};

pub use place::MAX_HOPS;
pub use ramp::{
    COLD_FLOWS,
    ROUND, //
};
pub use status::{
    Drops,
    Phase,
    Status,
    Target, //
};

mulberrynotch_macros::data! {
    /// Limits of a [`Machine`].
    #[derive(Copy)]
    pub struct Config {
        /// Maximum number of flow records, without hints.
        pub max_flows: usize,
        /// Maximum number of hints.
        pub max_hints: usize,
    }

    /// Routing decision for a datagram, or for a TCP flow that opens.
    pub enum Decision {
        /// Delivers to this target, which the process owns.
        Deliver {
            /// Target to deliver to.
            target: id::Target,
        },
        /// Forwards to the balancer that owns the target, or to its previous owner during a
        /// takeover.
        Forward {
            /// Name of the balancer.
            to: Arc<str>,
            /// Header to prepend.
            header: data::Header,
        },
        /// Drops the datagram, or refuses the flow.
        Drop(Reason),
    }

    /// Side effect that the driver of the machine carries out.
    pub enum Action {
        /// Sends a message to a peer.
        Send {
            /// Name of the peer.
            to: Arc<str>,
            /// Priority in the control budget.
            priority: budget::Priority,
            /// Message to send.
            message: flow::Message,
        },
        /// Sends the target an empty datagram of the flow, so that it receives the address of the
        /// new owner.
        Repoint {
            /// Target that serves the flow.
            target: id::Target,
            /// Flow that moved to this process.
            flow: flow::Flow,
        },
        /// Closes the connections of a TCP flow, or the sockets of a datagram flow.
        Close {
            /// Target that served the flow.
            target: id::Target,
            /// Flow that ended.
            flow: flow::Flow,
        },
    }
}

mulberrynotch_macros::value! {
    /// Reason for dropping a datagram or refusing a flow.
    pub enum Reason {
        /// No service has the address, or the header names a service that does not have it.
        WrongService,
        /// The target is unknown, or its zone is out of service.
        ZoneOut,
        /// No target of the service accepts the flow.
        NoCapacity,
        /// The packet has been forwarded too often.
        HopLimit,
        /// No live owner of the target is known.
        NoOwner,
        /// The view has not been confirmed since the process was paused.
        Unconfirmed,
        /// The target's address belonged to another service within the last 5 s.
        AddressReused,
    }
}

/// Returns the hash of a flow that orders the preference list of its service.
pub fn key(service: id::Service, flow: &flow::Flow) -> u64 {
    rendezvous::hash_address(
        flow.caller,
        rendezvous::hash_address(flow.address, service.0),
    )
}

/// State machine that places flows and keeps the flow records of owned targets.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    view: Arc<view::View>,
    table: table::Table,
    owned: BTreeMap<id::Target, owned::Owned>,
    /// Last flow count that a peer reported for each target.
    peer_counts: HashMap<id::Target, load::PeerCount>,
    /// Redirects to send, per receiver.
    outbox: BTreeMap<redirect::Destination, redirect::Queue>,
    /// Ended flows to report, per target that ranks before the one that served them.
    flow_ends: BTreeMap<(id::Target, budget::Priority), Vec<flow::Flow>>,
    scans: Vec<settle::Scan>,
    /// Addresses that recently belonged to another service.
    quarantine: reuse::Quarantine,
    zone_returns: zone_returns::Returns,
    /// Hints sent in this tick.
    hints_sent: u32,
    /// Ended flows that were reported again in this tick.
    repeated_ends: u32,
    next_flow_ends: Duration,
    /// Number of the last handover part sent.
    last_part: u16,
    /// Sequence number of the last batch of redirects sent.
    sequence: u32,
    /// Shards that the sweep has visited since the start.
    swept_shards: u64,
    /// Value of `swept_shards` when the last partition healed.
    healed_at: Option<u64>,
    unconfirmed_since: Option<Duration>,
    /// True once the process has been ready for work in its own zone.
    has_been_ready: bool,
    next_counts: Duration,
    last_counts: Duration,
    drops: status::Drops,
    broken_by_target: u64,
    actions: VecDeque<Action>,
}

impl Machine {
    /// Creates a machine without flows.
    pub fn new(config: Config, view: Arc<view::View>, seed: u64) -> Self {
        let mut machine = Self {
            config,
            view: view.clone(),
            table: table::Table::new(seed),
            owned: BTreeMap::new(),
            peer_counts: HashMap::new(),
            outbox: BTreeMap::new(),
            flow_ends: BTreeMap::new(),
            scans: Vec::new(),
            quarantine: reuse::Quarantine::default(),
            zone_returns: zone_returns::Returns::default(),
            hints_sent: 0,
            repeated_ends: 0,
            next_flow_ends: Duration::ZERO,
            // A restarted process must not reuse the numbers of its previous run.
            last_part: seed.to_le_bytes()[0].into(),
            sequence: u32::from_le_bytes(seed.to_le_bytes()[..4].try_into().unwrap_or_default()),
            swept_shards: 0,
            healed_at: None,
            unconfirmed_since: None,
            has_been_ready: false,
            next_counts: Duration::ZERO,
            last_counts: Duration::ZERO,
            drops: status::Drops::default(),
            broken_by_target: 0,
            actions: VecDeque::new(),
        };
        machine.apply_view(Duration::ZERO, None);
        machine
    }

    /// Replaces the view.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        let old = std::mem::replace(&mut self.view, view);
        if old.register.revision != self.view.register.revision {
            self.quarantine
                .update(now, &old.register, &self.view.register);
        }
        self.apply_view(now, Some(&old));
        self.update_zone_returns(now, &old);
    }

    /// Decides on a datagram, or a TCP flow that opens, from the network fabric.
    pub fn arrive(&mut self, now: Duration, caller: SocketAddr, address: SocketAddr) -> Decision {
        let decision = match self.view.service_at(address) {
            None => Decision::Drop(Reason::WrongService),
            Some((service, _)) => {
                let packet = place::Packet {
                    flow: flow::Flow { caller, address },
                    service,
                    from: None,
                    hops_left: place::MAX_HOPS,
                    rank: None,
                    has_older_register: false,
                };
                self.route_unassigned(now, &packet)
            }
        };
        self.count_drop(decision)
    }

    /// Decides on a datagram, or a TCP flow that opens, that the peer `from` forwarded.
    pub fn forwarded(&mut self, now: Duration, from: &str, header: &data::Header) -> Decision {
        let decision = self.decide_forwarded(now, from, header);
        self.count_drop(decision)
    }

    /// Records an answer of a target on a flow, which renews the idle timeout of the flow.
    pub fn answered(&mut self, now: Duration, target: id::Target, flow: &flow::Flow) {
        if let Some(owned) = self.owned.get_mut(&target)
            && owned.liveness.record_answer(now)
        {
            self.revive(now, target);
        }
        if !self.is_serving(flow, target) {
            return;
        }
        let entry = self.table.touch(flow, seconds(now));
        let is_first = entry.is_some_and(|entry| !std::mem::replace(&mut entry.answered, true));
        if is_first && let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.record_answer();
        }
    }

    /// Records the end of a TCP flow.
    pub fn closed(&mut self, now: Duration, target: id::Target, flow: &flow::Flow) {
        let _ = now;
        if self.is_serving(flow, target) {
            self.end_flow(flow, true);
        }
    }

    /// Handles a message of the peer `from`.
    pub fn receive(&mut self, now: Duration, from: &str, message: flow::Message) {
        match message {
            flow::Message::Claim { target, next_part } => {
                self.receive_claim(now, from, target, next_part);
            }
            flow::Message::Handover {
                target,
                part,
                last,
                load,
                flows,
                redirects,
                passed,
            } => self.receive_part(
                now,
                from,
                target,
                (part, last),
                load,
                &flows,
                &redirects,
                &passed,
            ),
            flow::Message::HandoverAck { target, part } => {
                self.receive_part_ack(now, from, target, part);
            }
            flow::Message::Redirects {
                target,
                redirects,
                sequence,
                revision,
            } => self.receive_redirects(now, from, target, &redirects, (sequence, revision)),
            flow::Message::RedirectsAck { sequence } => self.receive_redirects_ack(sequence),
            flow::Message::Settle {
                joined,
                from: scanned,
                revision,
            } => self.start_scan(from, joined, scanned, revision),
            flow::Message::Settled {
                joined,
                from: scanned,
                revision,
            } => self.receive_settled(joined, scanned, revision),
            flow::Message::Hint {
                flow,
                target,
                revision,
            } => self.receive_hint(now, from, &flow, (target, revision)),
            flow::Message::FlowsEnded { flows, .. } => self.receive_flow_ends(from, &flows),
            flow::Message::PullZoneReturns { since } => self.send_zone_returns(from, since),
            flow::Message::ZoneReturns {
                since,
                revision,
                zones,
            } => self.receive_zone_returns(now, from, (since, revision), &zones),
            flow::Message::Counts { counts } => self.receive_counts(now, &counts),
        }
    }

    /// Handles a health observation of an owned target.
    pub fn observe(&mut self, now: Duration, target: id::Target, observation: health::Observation) {
        if let Some(owned) = self.owned.get_mut(&target) {
            let allowance = owned.ramp.allowance;
            owned.ramp.observe(now, observation);
            owned.liveness.observe(now, observation);
            let is_unreachable = matches!(
                observation,
                health::Observation::Unreachable | health::Observation::IcmpError
            );
            // The grace period bypasses the ramp, so it must not apply to a target that turned
            // cold.
            if owned.ramp.allowance < allowance || is_unreachable {
                owned.grace_until = Duration::ZERO;
            }
        }
    }

    /// Returns true when the state of all targets that other processes now own has been handed
    /// over.
    pub fn is_drained(&self) -> bool {
        !self.owned.values().any(|owned| {
            matches!(&owned.phase, owned::Phase::HandingOver(handover) if handover.to.is_some())
        })
    }

    /// Runs due work; the driver calls it every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        self.hints_sent = 0;
        self.repeated_ends = 0;
        self.quarantine.expire(now);
        for owned in self.owned.values_mut() {
            owned.ramp.advance_round(now);
        }
        self.tick_liveness(now);
        self.tick_zone_returns(now);
        self.tick_takeovers(now);
        self.tick_handovers(now);
        self.tick_collections(now);
        self.tick_scans(now);
        self.tick_sweep(now);
        self.tick_outbox(now);
        self.tick_counts(now);
    }

    /// Removes and returns the next action.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns a snapshot for the state dump.
    pub fn status(&self) -> status::Status {
        status::Status::new(self)
    }

    fn count_drop(&mut self, decision: Decision) -> Decision {
        if let Decision::Drop(reason) = &decision {
            self.drops.add(*reason);
        }
        decision
    }

    fn send(&mut self, to: &Arc<str>, priority: budget::Priority, message: flow::Message) {
        let to = to.clone();
        self.actions.push_back(Action::Send {
            to,
            priority,
            message,
        });
    }
}

/// Returns the seconds since the start, modulo 2^16.
fn seconds(now: Duration) -> u16 {
    u16::try_from(now.as_secs() % (1 << 16)).unwrap_or(0)
}
