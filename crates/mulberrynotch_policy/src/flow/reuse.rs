//! Quarantine of target addresses that move from one service to another.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use mulberrynotch_register::{
    id,
    model, //
};

/// Time for which an address is not used after it left a service. Every process has the new
/// register within 4 s, and then sends no more packets of the previous service.
pub(super) const QUARANTINE_PERIOD: Duration = Duration::from_secs(5);

/// Addresses that left a service, with that service and the time until which a process with an
/// older register may send its packets there.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine(HashMap<SocketAddr, Vec<(id::Service, Duration)>>);

impl Quarantine {
    /// Adds the addresses that services of `old` no longer have in `new`.
    pub(super) fn update(&mut self, now: Duration, old: &model::Register, new: &model::Register) {
        let kept: HashSet<(SocketAddr, id::Service)> = uses(new).collect();
        for (address, service) in uses(old).filter(|pair| !kept.contains(pair)) {
            let previous = self.0.entry(address).or_default();
            previous.push((service, now + QUARANTINE_PERIOD));
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.0.retain(|_, previous| {
            previous.retain(|(_, until)| now < *until);
            !previous.is_empty()
        });
    }

    /// Returns true while packets of another service may still arrive at an address of the target.
    pub(super) fn holds(
        &self,
        now: Duration,
        service: id::Service,
        target: &model::Target,
    ) -> bool {
        let is_held = |address| {
            let previous = self.0.get(&address).map_or(&[][..], Vec::as_slice);
            previous
                .iter()
                .any(|(previous, until)| now < *until && *previous != service)
        };
        !self.0.is_empty() && addresses(target).any(is_held)
    }
}

fn uses(register: &model::Register) -> impl Iterator<Item = (SocketAddr, id::Service)> + '_ {
    register.services.iter().flat_map(|service| {
        let id = service.id();
        let targets = service.targets.iter();
        targets.flat_map(move |target| addresses(target).map(move |address| (address, id)))
    })
}

fn addresses(target: &model::Target) -> impl Iterator<Item = SocketAddr> {
    [target.udp, target.tcp].into_iter().flatten()
}
