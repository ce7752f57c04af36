//! Snapshot of the machine for the state dump.

use mulberrynotch_register::id;

use super::{
    Machine,
    Reason,
    owned,
    table::Kind, //
};

mulberrynotch_macros::data! {
    /// Snapshot of the machine.
    #[derive(serde::Serialize)]
    pub struct Status {
        /// Targets that the process owns, or still serves flows of.
        pub targets: Vec<Target>,
        /// Flows on targets that the process owns, or still serves flows of.
        pub flows: usize,
        /// Redirects confirmed by the owner that serves the flow.
        pub redirects: usize,
        /// Flows that a target passed on and that no redirect has confirmed yet.
        pub passed: usize,
        /// Cached targets of flows, reported by peers or kept after a handover.
        pub hints: usize,
        /// Redirects that wait to be sent or acknowledged.
        pub waiting_redirects: usize,
        /// Dropped datagrams and refused flows by reason.
        pub drops: Drops,
        /// Flows released because their target died.
        pub broken_by_target: u64,
    }

    /// State of one target.
    #[derive(serde::Serialize)]
    pub struct Target {
        /// Identity of the target.
        pub target: id::Target,
        /// Flows that the target serves through this process.
        pub flows: u32,
        /// Maximum number of flows of the target, from the register.
        pub connections: u32,
        /// New flows that the ramp admits per second.
        pub ramp: u32,
        /// Flow count from which bounded load passes new flows on to the next target.
        pub bound: u32,
        /// True from the death of the target until a trial flow or an answer proves it alive.
        pub dead: bool,
        /// Ownership state.
        pub phase: Phase,
        /// Targets whose owners have not sent all their redirects yet.
        pub waiting_owners: usize,
    }

    /// Dropped datagrams and refused flows by reason.
    #[derive(Copy, Default, serde::Serialize)]
    pub struct Drops {
        /// Drops with [`Reason::WrongService`].
        pub wrong_service: u64,
        /// Drops with [`Reason::ZoneOut`].
        pub zone_out: u64,
        /// Drops with [`Reason::NoCapacity`].
        pub no_capacity: u64,
        /// Drops with [`Reason::HopLimit`].
        pub hop_limit: u64,
        /// Drops with [`Reason::NoOwner`].
        pub no_owner: u64,
        /// Drops with [`Reason::Unconfirmed`].
        pub unconfirmed: u64,
        /// Drops with [`Reason::AddressReused`].
        pub address_reused: u64,
    }
}

mulberrynotch_macros::value! {
    /// Ownership state of a target.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// The process alone decides on flows of the target.
        Active,
        /// The target passes unknown flows on while redirects are collected.
        Settling,
        /// The previous owner has not sent all of its state yet.
        TakingOver,
        /// The next owner has not acknowledged all state yet.
        HandingOver,
        /// The next owner has acknowledged all state; only TCP flows are left here.
        HandedOver,
    }
}

impl Drops {
    pub(super) fn add(&mut self, reason: Reason) {
        let counter = match reason {
            Reason::WrongService => &mut self.wrong_service,
            Reason::ZoneOut => &mut self.zone_out,
            Reason::NoCapacity => &mut self.no_capacity,
            Reason::HopLimit => &mut self.hop_limit,
            Reason::NoOwner => &mut self.no_owner,
            Reason::Unconfirmed => &mut self.unconfirmed,
            Reason::AddressReused => &mut self.address_reused,
        };
        *counter += 1;
    }
}

impl Status {
    pub(super) fn new(machine: &Machine) -> Self {
        let targets = machine.owned.iter().map(|(target, owned)| Target {
            target: *target,
            flows: owned.flows,
            connections: machine
                .view
                .target(*target)
                .map_or(0, |entry| entry.connections),
            ramp: owned.ramp.allowance,
            bound: owned.bound,
            dead: owned.liveness.is_dead(),
            phase: phase(owned),
            waiting_owners: owned
                .collection
                .as_ref()
                .map_or(0, |collection| collection.pending.len()),
        });
        Self {
            targets: targets.collect(),
            flows: machine.table.count(Kind::Serving),
            redirects: machine.table.count(Kind::Redirect),
            passed: machine.table.count(Kind::Passed),
            hints: machine.table.count(Kind::Hint),
            waiting_redirects: machine.waiting_redirects(),
            drops: machine.drops,
            broken_by_target: machine.broken_by_target,
        }
    }
}

fn phase(owned: &owned::Owned) -> Phase {
    match owned.phase {
        owned::Phase::Active if owned.is_settling() => Phase::Settling,
        owned::Phase::Active => Phase::Active,
        owned::Phase::TakingOver(_) => Phase::TakingOver,
        owned::Phase::HandingOver(_) => Phase::HandingOver,
        owned::Phase::HandedOver { .. } => Phase::HandedOver,
    }
}
