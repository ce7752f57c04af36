//! Snapshot of the register in effect, the live members and the assignment derived from them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::control;

use crate::{
    ownership,
    rendezvous, //
};

/// An immutable snapshot of the state that a process routes by.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of this process.
    pub me: Arc<str>,
    /// Availability zone of this process.
    pub zone: Arc<str>,
    /// Register in effect.
    pub register: Arc<model::Register>,
    /// Live members including this process, sorted by name. Suspects count as live. Leaving members
    /// are included: they still forward, but are assigned no targets.
    pub members: Vec<control::Member>,
    /// False after a pause of the process, until a peer or the platform confirms the revision.
    pub confirmed: bool,
    /// True when `confirmed`, or when 500 ms have passed since the pause without a confirmation:
    /// the process then accepts new work for the targets of its own zone again.
    pub own_zone_ready: bool,
    /// Zones other than the own one without confirmed contact.
    pub unreachable_zones: Vec<Arc<str>>,
    /// Zones without live members for which the platform's list of VMs shows no balancer either.
    pub vacant_zones: Vec<Arc<str>>,
    /// Owners and backups of all targets.
    pub assignment: ownership::Assignment,
    services: HashMap<id::Service, Service>,
    targets: HashMap<id::Target, Target>,
    addresses: HashMap<SocketAddr, (id::Service, model::Protocol)>,
    member_indices: HashMap<Arc<str>, usize>,
}

/// Index entry of a service, with the data that is needed for each packet.
#[derive(Clone, Debug)]
pub struct Service {
    /// Position of the service in the register.
    pub index: usize,
    /// Targets in zones that are in service, with the seeds of their rendezvous weights.
    pub candidates: Vec<(id::Target, u64)>,
}

/// Index entry of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Position of the service in the register.
    pub service_index: usize,
    /// Position of the target in the service.
    pub index: usize,
    /// True if the zone of the target is out of service.
    pub out: bool,
}

impl View {
    /// Builds the snapshot of the process `me` from a register and the live members.
    pub fn new(
        me: &control::Member,
        register: Arc<model::Register>,
        mut members: Vec<control::Member>,
        confirmed: bool,
    ) -> Self {
        if !members.iter().any(|member| member.name == me.name) {
            members.push(me.clone());
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let assignment = ownership::Assignment::new(&register, &members);
        let mut view = Self {
            me: me.name.clone(),
            zone: me.zone.clone(),
            confirmed,
            own_zone_ready: confirmed,
            unreachable_zones: Vec::new(),
            vacant_zones: Vec::new(),
            assignment,
            services: HashMap::new(),
            targets: HashMap::new(),
            addresses: HashMap::new(),
            member_indices: members
                .iter()
                .enumerate()
                .map(|(index, member)| (member.name.clone(), index))
                .collect(),
            members,
            register: register.clone(),
        };
        for (index, service) in register.services.iter().enumerate() {
            view.index_service(index, service);
        }
        view
    }

    /// Returns true if new work for targets of `zone` may be accepted.
    pub fn accepts_new_work(&self, zone: &str) -> bool {
        if zone == &*self.zone {
            return self.own_zone_ready;
        }
        self.confirmed
            && !self
                .unreachable_zones
                .iter()
                .any(|unreachable| &**unreachable == zone)
    }

    /// Returns the service and protocol of an address that callers use.
    pub fn service_at(&self, address: SocketAddr) -> Option<(id::Service, model::Protocol)> {
        self.addresses.get(&address).copied()
    }

    /// Returns the register entry of a service.
    pub fn service(&self, service: id::Service) -> Option<&model::Service> {
        let entry = self.services.get(&service)?;
        self.register.services.get(entry.index)
    }

    /// Returns the targets of a service in zones that are in service, with the seeds of their
    /// rendezvous weights.
    pub fn candidates(&self, service: id::Service) -> &[(id::Target, u64)] {
        self.services
            .get(&service)
            .map_or(&[], |entry| entry.candidates.as_slice())
    }

    /// Returns the index entry of a target.
    pub fn locate(&self, target: id::Target) -> Option<&Target> {
        self.targets.get(&target)
    }

    /// Returns the register entry of a target.
    pub fn target(&self, target: id::Target) -> Option<&model::Target> {
        let entry = self.targets.get(&target)?;
        self.register
            .services
            .get(entry.service_index)?
            .targets
            .get(entry.index)
    }

    /// Returns a live member by its name.
    pub fn member(&self, name: &str) -> Option<&control::Member> {
        self.member_indices
            .get(name)
            .map(|&index| &self.members[index])
    }

    /// Returns true if this process owns `target`.
    pub fn owns(&self, target: id::Target) -> bool {
        self.assignment
            .owner(target)
            .is_some_and(|owner| *owner == self.me)
    }

    fn index_service(&mut self, index: usize, service: &model::Service) {
        let service_id = service.id();
        let mut candidates = Vec::with_capacity(service.targets.len());
        for (position, target) in service.targets.iter().enumerate() {
            let target_id = target.id(service_id);
            let out = is_zone_out(&self.register, &target.zone);
            if !out {
                candidates.push((target_id, rendezvous::weight(service_id.0, target_id.0)));
            }
            let entry = Target {
                service: service_id,
                service_index: index,
                index: position,
                out,
            };
            self.targets.insert(target_id, entry);
        }
        for address in &service.addresses {
            self.addresses
                .insert(address.address, (service_id, address.protocol));
        }
        self.services
            .insert(service_id, Service { index, candidates });
    }
}

/// Returns true if `zone` is out of service or not in the register.
pub fn is_zone_out(register: &model::Register, zone: &str) -> bool {
    register
        .zones
        .iter()
        .find(|candidate| &*candidate.name == zone)
        .is_none_or(|zone| zone.out)
}
