//! Addresses that targets of another service used shortly before.

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

/// An address that moved to another service is not used for so long. A change is in effect
/// everywhere within 4 s; after that no process sends packets of the former service.
pub(super) const QUARANTINE_PERIOD: Duration = Duration::from_secs(5);

/// Addresses that left a service, and until when a process with an older register may send
/// packets of that service there.
#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine(HashMap<SocketAddr, Vec<(id::Service, Duration)>>);

impl Quarantine {
    /// Notes what the register that replaces `old` takes from its services.
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

    /// True while packets of another service may still arrive at an address of the target.
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
