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
        /// Targets that the process serves.
        pub targets: Vec<Target>,
        /// Flows that the process serves.
        pub flows: usize,
        /// Redirects confirmed by the owner that serves the flow.
        pub redirects: usize,
        /// Flows passed on whose owner has not confirmed yet.
        pub passed: usize,
        /// Learnt targets.
        pub hints: usize,
        /// Redirects that wait for an acknowledgement.
        pub waiting_redirects: usize,
        /// Dropped datagrams and refused flows by reason.
        pub drops: Drops,
        /// Flows that were released because their target died.
        pub broken_by_target: u64,
    }

    /// One target.
    #[derive(serde::Serialize)]
    pub struct Target {
        /// The target.
        pub target: id::Target,
        /// Flows that it serves.
        pub flows: u32,
        /// Flows that it may hold.
        pub connections: u32,
        /// New flows that it may take per second.
        pub ramp: u32,
        /// Flows above which bounded load passes new ones on.
        pub bound: u32,
        /// True from its death until it has proved itself.
        pub dead: bool,
        /// How the process stands to it.
        pub phase: Phase,
        /// Owners that redirects are still expected from.
        pub waiting_owners: usize,
    }

    /// Dropped datagrams and refused flows by reason.
    #[derive(Copy, Default, serde::Serialize)]
    pub struct Drops {
        /// `Reason::WrongService`.
        pub wrong_service: u64,
        /// `Reason::ZoneOut`.
        pub zone_out: u64,
        /// `Reason::NoCapacity`.
        pub no_capacity: u64,
        /// `Reason::HopLimit`.
        pub hop_limit: u64,
        /// `Reason::NoOwner`.
        pub no_owner: u64,
        /// `Reason::Unconfirmed`.
        pub unconfirmed: u64,
        /// `Reason::AddressReused`.
        pub address_reused: u64,
    }
}

mulberrynotch_macros::value! {
    /// How a process stands to a target.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Phase {
        /// It decides alone.
        Active,
        /// It passes unknown flows on while it collects redirects.
        Settling,
        /// It waits for the state of the previous owner.
        TakingOver,
        /// The next owner has not acknowledged all state.
        HandingOver,
        /// The next owner has all state; only TCP flows are left.
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
