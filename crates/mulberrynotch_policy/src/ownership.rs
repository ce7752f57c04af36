//! Assignment of an owner and a backup balancer to each target.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    sync::Arc, //
};

use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::control;

use crate::rendezvous;

/// Maximum number of a zone's targets that one balancer owns, in percent of the mean.
const MAX_SHARE_PERCENT: usize = 125;

/// Owners and backups of all targets.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    pairs: HashMap<id::Target, Pair>,
}

/// Owner and backup of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// Balancer that forwards all packets and requests to the target.
    pub owner: Arc<str>,
    /// Balancer that takes over when the owner dies or leaves; `None` if the owner is the only
    /// candidate.
    pub backup: Option<Arc<str>>,
}

impl Assignment {
    /// Assigns the targets of each zone to its members by bounded-load rendezvous hashing, and the
    /// targets of a zone without members to the members of all zones. Leaving members get none.
    pub fn new(register: &model::Register, members: &[control::Member]) -> Self {
        let all_members = candidates(members.iter());
        let mut zones: BTreeMap<&str, Vec<id::Target>> = BTreeMap::new();
        for service in &register.services {
            let service_id = service.id();
            for target in &service.targets {
                let targets = zones.entry(&target.zone).or_default();
                targets.push(target.id(service_id));
            }
        }
        let mut pairs = HashMap::new();
        for (zone, targets) in zones {
            let zone_members = candidates(members.iter().filter(|member| &*member.zone == zone));
            let candidates = if zone_members.is_empty() {
                &all_members
            } else {
                &zone_members
            };
            assign(targets, candidates, &mut pairs);
        }
        Self { pairs }
    }

    /// Returns the owner of `target`.
    pub fn owner(&self, target: id::Target) -> Option<&Arc<str>> {
        self.pairs.get(&target).map(|pair| &pair.owner)
    }

    /// Returns the backup of `target`.
    pub fn backup(&self, target: id::Target) -> Option<&Arc<str>> {
        self.pairs.get(&target)?.backup.as_ref()
    }

    /// Iterates over all targets with their owners and backups.
    pub fn iter(&self) -> impl Iterator<Item = (id::Target, &Pair)> {
        self.pairs.iter().map(|(target, pair)| (*target, pair))
    }
}

fn candidates<'a>(members: impl Iterator<Item = &'a control::Member>) -> Vec<(Arc<str>, u64)> {
    members
        .filter(|member| member.state < control::State::Leaving)
        .map(|member| (member.name.clone(), rendezvous::hash_name(&member.name)))
        .collect()
}

fn assign(
    mut targets: Vec<id::Target>,
    candidates: &[(Arc<str>, u64)],
    pairs: &mut HashMap<id::Target, Pair>,
) {
    if candidates.is_empty() {
        return;
    }
    targets.sort_unstable();
    let max_owned = (targets.len() * MAX_SHARE_PERCENT).div_ceil(candidates.len() * 100);
    let mut owned = vec![0; candidates.len()];
    for target in targets {
        let mut ranked: Vec<usize> = (0..candidates.len()).collect();
        ranked.sort_unstable_by_key(|&index| {
            std::cmp::Reverse(rendezvous::weight(target.0, candidates[index].1))
        });
        let position = ranked
            .iter()
            .position(|&index| owned[index] < max_owned)
            .unwrap_or(0);
        let owner = ranked.remove(position);
        owned[owner] += 1;
        let pair = Pair {
            owner: candidates[owner].0.clone(),
            backup: ranked.first().map(|&index| candidates[index].0.clone()),
        };
        pairs.insert(target, pair);
    }
}
