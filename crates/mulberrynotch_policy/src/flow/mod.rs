//! Placement of flows on targets, and the flows of the targets that the process owns.

mod admission;
mod handover;
mod liveness;
mod load;
mod missed;
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
    /// Settings of the machine.
    #[derive(Copy)]
    pub struct Config {
        /// Flow records held at a time.
        pub max_flows: usize,
        /// Learnt targets held at a time.
        pub max_hints: usize,
    }

    /// What to do with a datagram, or with a TCP flow that opens.
    pub enum Decision {
        /// Send it to this target, which the process owns.
        Deliver {
            /// The target.
            target: id::Target,
        },
        /// Send it to the balancer that owns the target.
        Forward {
            /// Name of the balancer.
            to: Arc<str>,
            /// Header to put in front.
            header: data::Header,
        },
        /// Drop it.
        Drop(Reason),
    }

    /// What the driver has to do.
    pub enum Action {
        /// Send a message to a peer.
        Send {
            /// Name of the peer.
            to: Arc<str>,
            /// Priority in the control budget.
            priority: budget::Priority,
            /// The message.
            message: flow::Message,
        },
        /// Send the target an empty datagram of the flow, so that it learns the new owner.
        Repoint {
            /// The target.
            target: id::Target,
            /// The flow.
            flow: flow::Flow,
        },
        /// Close the TCP flow, if it is one, and forget its sockets.
        Close {
            /// The target.
            target: id::Target,
            /// The flow.
            flow: flow::Flow,
        },
    }
}

mulberrynotch_macros::value! {
    /// Why a datagram was dropped.
    pub enum Reason {
        /// No service has the address, or the header names another one.
        WrongService,
        /// The target is unknown or in a zone that is out of service.
        ZoneOut,
        /// No target of the service can take the flow.
        NoCapacity,
        /// Too many forwards.
        HopLimit,
        /// No live owner is known.
        NoOwner,
        /// The view is not confirmed after a pause.
        Unconfirmed,
        /// The target's address belonged to another service a moment ago.
        AddressReused,
    }
}

/// Hash of a flow that orders the chain of its service.
pub fn key(service: id::Service, flow: &flow::Flow) -> u64 {
    rendezvous::hash_address(
        flow.caller,
        rendezvous::hash_address(flow.address, service.0),
    )
}

/// Placement of flows and the flow records of owned targets.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    view: Arc<view::View>,
    table: table::Table,
    owned: BTreeMap<id::Target, owned::Owned>,
    counts: HashMap<id::Target, load::Known>,
    outbox: BTreeMap<redirect::Lane, redirect::Queue>,
    forgets: BTreeMap<(id::Target, budget::Priority), Vec<flow::Flow>>,
    walks: Vec<settle::Walk>,
    former: reuse::Former,
    returns: missed::Returns,
    lessons: u32,
    late_forgets: u32,
    next_forgets: Duration,
    part: u16,
    sequence: u32,
    sweep: u64,
    healed_at: Option<u64>,
    unconfirmed_since: Option<Duration>,
    /// True once the process was allowed to work.
    joined: bool,
    next_counts: Duration,
    last_counts: Duration,
    drops: status::Drops,
    broken_by_target: u64,
    actions: VecDeque<Action>,
}

impl Machine {
    /// Starts without flows.
    pub fn new(config: Config, view: Arc<view::View>, seed: u64) -> Self {
        let mut machine = Self {
            config,
            view: view.clone(),
            table: table::Table::new(seed),
            owned: BTreeMap::new(),
            counts: HashMap::new(),
            outbox: BTreeMap::new(),
            forgets: BTreeMap::new(),
            walks: Vec::new(),
            former: reuse::Former::default(),
            returns: missed::Returns::default(),
            lessons: 0,
            late_forgets: 0,
            next_forgets: Duration::ZERO,
            // A restarted process does not reuse the numbers of its predecessor.
            part: seed.to_le_bytes()[0].into(),
            sequence: u32::from_le_bytes(seed.to_le_bytes()[..4].try_into().unwrap_or_default()),
            sweep: 0,
            healed_at: None,
            unconfirmed_since: None,
            joined: false,
            next_counts: Duration::ZERO,
            last_counts: Duration::ZERO,
            drops: status::Drops::default(),
            broken_by_target: 0,
            actions: VecDeque::new(),
        };
        machine.assume(Duration::ZERO, None);
        machine
    }

    /// Takes over a new view.
    pub fn set_view(&mut self, now: Duration, view: Arc<view::View>) {
        let old = std::mem::replace(&mut self.view, view);
        if old.register.revision != self.view.register.revision {
            self.former.replace(now, &old.register, &self.view.register);
        }
        self.assume(now, Some(&old));
        self.note_returns(now, &old);
    }

    /// Decides on a datagram, or a TCP flow that opens, which arrived from the fabric.
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
                    older: false,
                };
                self.enter(now, &packet)
            }
        };
        self.counted(decision)
    }

    /// Decides on a datagram, or a TCP flow that opens, which the peer `from` forwarded.
    pub fn forwarded(&mut self, now: Duration, from: &str, header: &data::Header) -> Decision {
        let decision = self.decide_forwarded(now, from, header);
        self.counted(decision)
    }

    /// Notes that a target answered on a flow; keeps the flow open.
    pub fn answered(&mut self, now: Duration, target: id::Target, flow: &flow::Flow) {
        if let Some(owned) = self.owned.get_mut(&target)
            && owned.liveness.answer(now)
        {
            self.revive(now, target);
        }
        if !self.is_serving(flow, target) {
            return;
        }
        let entry = self.table.touch(flow, seconds(now));
        let is_first = entry.is_some_and(|entry| !std::mem::replace(&mut entry.answered, true));
        if is_first && let Some(owned) = self.owned.get_mut(&target) {
            owned.ramp.answer();
        }
    }

    /// Notes that a TCP flow ended.
    pub fn closed(&mut self, now: Duration, target: id::Target, flow: &flow::Flow) {
        let _ = now;
        if self.is_serving(flow, target) {
            self.end(flow, true);
        }
    }

    /// Handles a message of the peer `from`.
    pub fn receive(&mut self, now: Duration, from: &str, message: flow::Message) {
        match message {
            flow::Message::Claim { target, next_part } => {
                self.claimed(now, from, target, next_part);
            }
            flow::Message::Handover {
                target,
                part,
                last,
                load,
                flows,
                redirects,
                passed,
            } => self.take(
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
                self.part_acked(now, from, target, part);
            }
            flow::Message::Redirects {
                target,
                redirects,
                sequence,
                revision,
            } => self.redirected(now, from, target, &redirects, (sequence, revision)),
            flow::Message::RedirectsAck { sequence } => self.redirects_acked(sequence),
            flow::Message::Settle {
                joined,
                from: walked,
                revision,
            } => self.asked_to_walk(from, joined, walked, revision),
            flow::Message::Settled {
                joined,
                from: walked,
                revision,
            } => self.settled(joined, walked, revision),
            flow::Message::Learn {
                flow,
                target,
                revision,
            } => self.learn(now, from, &flow, (target, revision)),
            flow::Message::Forget { flows, .. } => self.forgotten(from, &flows),
            flow::Message::Missed { since } => self.asked_for_returns(from, since),
            flow::Message::Returned {
                since,
                revision,
                zones,
            } => self.told_of_returns(now, from, (since, revision), &zones),
            flow::Message::Counts { counts } => self.counts_received(now, &counts),
        }
    }

    /// Handles an observation of an owned target.
    pub fn observe(&mut self, now: Duration, target: id::Target, seen: health::Observation) {
        if let Some(owned) = self.owned.get_mut(&target) {
            let allowance = owned.ramp.allowance;
            owned.ramp.observe(now, seen);
            owned.liveness.observe(now, seen);
            let is_unreachable = matches!(
                seen,
                health::Observation::Unreachable | health::Observation::IcmpError
            );
            // A target that turned cold must not be filled through the grace period either.
            if owned.ramp.allowance < allowance || is_unreachable {
                owned.grace_until = Duration::ZERO;
            }
        }
    }

    /// True when nothing is left to hand over after a leave.
    pub fn drained(&self) -> bool {
        !self.owned.values().any(|owned| {
            matches!(&owned.phase, owned::Phase::HandingOver(handover) if handover.to.is_some())
        })
    }

    /// Runs what is due; called every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        self.lessons = 0;
        self.late_forgets = 0;
        self.former.expire(now);
        for owned in self.owned.values_mut() {
            owned.ramp.turn(now);
        }
        self.tick_liveness(now);
        self.tick_returns(now);
        self.tick_takeovers(now);
        self.tick_handovers(now);
        self.tick_collections(now);
        self.tick_walks(now);
        self.tick_sweep(now);
        self.tick_outbox(now);
        self.tick_counts(now);
    }

    /// Next action, if any.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Snapshot for the state dump.
    pub fn status(&self) -> status::Status {
        status::Status::new(self)
    }

    fn counted(&mut self, decision: Decision) -> Decision {
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

/// Seconds since the start, modulo 2^16.
fn seconds(now: Duration) -> u16 {
    u16::try_from(now.as_secs() % (1 << 16)).unwrap_or(0)
}
