//! Random changes, returns of the store from copies, restarts and refusals, checked against what was
//! acknowledged.

mod fixture;

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use fixture::{
    address,
    configuration,
    entry,
    fleet::Fleet,
    ms,
    removal,
    route, //
};
use mulberrynotch_policy::rendezvous;
use mulberrynotch_steer::{
    machine,
    record, //
};

const SEEDS: std::ops::Range<u64> = 0..100;

const BALANCERS: u8 = 5;

const STEP_MS: u64 = 100;

/// Time in which a configuration or a drain is in force.
const CHANGE_BOUND: Duration = Duration::from_millis(3_000);

/// Time after which a target that ended while the store was not stable is no longer used: the doubt
/// of 6 s, and the wait of a watch before the read that ends it.
const DOUBT_BOUND: Duration = Duration::from_millis(9_000);

/// Time for which targets stay in use whose entries disappear together.
const LAPSE_BOUND: Duration = Duration::from_millis(2_300);

/// Time in which a zone is out of service.
const ZONE_BOUND: Duration = Duration::from_millis(5_000);

/// Time after the return of the store, and after the start of a balancer, in which no bound holds.
const STABILITY: Duration = Duration::from_millis(4_000);

/// Time after which every doubt is over.
const SETTLED_MS: u64 = 72_000;

/// Longest time until a writer has written again what the store lost, in milliseconds.
const REWRITE_MS: u64 = 1_200;

/// Longest time until the entry of a dead target expires in the returned store, in milliseconds.
const EXPIRY_MS: u64 = 3_600;

/// A record as its writer left it.
#[derive(Clone)]
struct Truth {
    record: record::Record,
    since: Duration,
    /// True for a target that ended without draining.
    crashed: bool,
}

struct World {
    fleet: Fleet,
    random: u64,
    truth: BTreeMap<record::Key, Truth>,
    /// Records as they were at the time of the copy.
    copied_at: Option<Duration>,
    rewrites: Vec<(Duration, record::Key)>,
    restores: Vec<Duration>,
    started_at: BTreeMap<SocketAddrV4, Duration>,
    versions: BTreeMap<SocketAddrV4, u64>,
    /// Targets that a balancer gives no new flows any more.
    closed: BTreeMap<(SocketAddrV4, u64), ()>,
    version: u64,
    next_target: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::new(BALANCERS);
        fleet.run(3_000);
        let now = fleet.now;
        let known = fleet.records.clone().into_iter().map(|record| {
            let truth = Truth {
                record: record.clone(),
                since: now,
                crashed: false,
            };
            (record.key, truth)
        });
        Self {
            truth: known.collect(),
            started_at: fleet.machines.keys().map(|it| (*it, now)).collect(),
            fleet,
            random: rendezvous::weight(seed, 77),
            copied_at: None,
            rewrites: Vec::new(),
            restores: Vec::new(),
            versions: BTreeMap::new(),
            closed: BTreeMap::new(),
            version: 1,
            next_target: 10,
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random = rendezvous::weight(self.random, 1);
        self.random % limit
    }

    fn write(&mut self, record: record::Record) {
        let mut truth = Truth {
            record: record.clone(),
            since: self.fleet.now,
            crashed: false,
        };
        if record.body.is_none()
            && let Some(known) = self.truth.get(&record.key)
            && let Some(record::Body::Target(entry)) = &known.record.body
        {
            truth.crashed = !entry.draining;
            truth.since = if entry.draining {
                known.since
            } else {
                truth.since
            };
        }
        self.truth.insert(record.key.clone(), truth);
        self.fleet.write(record);
    }

    /// Returns the identifiers of the present targets.
    fn targets(&self, draining: bool) -> Vec<u64> {
        let matching = self.truth.values().filter_map(|it| match &it.record.body {
            Some(record::Body::Target(target)) if target.draining == draining => {
                Some(&it.record.key)
            }
            _ => None,
        });
        let ids = matching.filter_map(|key| match key {
            record::Key::Target(id) => Some(id.0),
            _ => None,
        });
        ids.collect()
    }

    fn pick(&mut self, ids: &[u64]) -> Option<u64> {
        let count = u64::try_from(ids.len()).unwrap();
        (count > 0).then(|| ids[usize::try_from(self.below(count)).unwrap()])
    }

    fn entry_of(&self, id: u64) -> record::Target {
        match &self.truth[&record::Key::Target(record::Id(id))].record.body {
            Some(record::Body::Target(entry)) => entry.clone(),
            _ => panic!("target {id} is not present"),
        }
    }

    fn change(&mut self) {
        match self.below(20) {
            0..=2 => {
                self.version += 1;
                let port = 1_000 + u16::try_from(self.version).unwrap();
                let routes = [route(), address(201, port)];
                self.write(configuration(self.version, 0, &routes));
            }
            3..=6 => {
                let id = self.next_target;
                self.next_target += 1;
                let entry = record::Target {
                    // Every fourth target takes an address that another one had.
                    address: address(u8::try_from(100 + id / 4 * 4 % 100).unwrap(), 8_000),
                    started_ms: id,
                    ..entry("a")
                };
                // Its former holder is gone for good.
                for other in [self.targets(false), self.targets(true)].concat() {
                    if self.entry_of(other).address == entry.address {
                        self.write(removal(record::Key::Target(record::Id(other)), 0));
                    }
                }
                self.write(fixture::target(id, 0, entry));
            }
            7..=9 => {
                let ids = self.targets(false);
                if let Some(id) = self.pick(&ids).filter(|_| ids.len() > 1) {
                    let entry = record::Target {
                        draining: true,
                        ..self.entry_of(id)
                    };
                    self.write(fixture::target(id, 0, entry));
                }
            }
            10 => {
                let ids = self.targets(true);
                if let Some(id) = self.pick(&ids) {
                    self.write(removal(record::Key::Target(record::Id(id)), 0));
                }
            }
            11 => {
                let ids = self.targets(false);
                if let Some(id) = self.pick(&ids).filter(|_| ids.len() > 1) {
                    self.write(removal(record::Key::Target(record::Id(id)), 0));
                }
            }
            12 | 13 => {
                let key = record::Key::ZoneOut(Arc::from("b"));
                let is_out = self
                    .truth
                    .get(&key)
                    .is_some_and(|it| it.record.body.is_some());
                self.write(match is_out {
                    true => removal(key, 0),
                    false => fixture::zone_out("b", 0),
                });
            }
            14 => {
                let last = u8::try_from(1 + self.below(BALANCERS.into())).unwrap();
                let balancer = fixture::member(last, "a").address;
                self.fleet.restart(last);
                self.started_at.insert(balancer, self.fleet.now);
                self.versions.remove(&balancer);
                self.closed.retain(|(it, _), ()| *it != balancer);
            }
            15 => {
                let refused = (1..=BALANCERS).filter(|_| self.below(3) == 0);
                let refused: Vec<_> = refused.map(|it| address(it, 7_000)).collect();
                self.fleet.refused = match refused.len() < usize::from(BALANCERS) {
                    true => refused,
                    false => Vec::new(),
                };
            }
            16 | 17 if self.copied_at.is_some() => self.restore(),
            _ => {
                self.fleet.copy();
                self.copied_at = Some(self.fleet.now);
            }
        }
    }

    /// Returns the store from its copy; the writers write again what differs from it.
    fn restore(&mut self) {
        self.copied_at = None;
        self.fleet.restore();
        self.restores.push(self.fleet.now);
        let stored: BTreeMap<_, _> = self
            .fleet
            .records
            .iter()
            .map(|it| (it.key.clone(), it.body.clone()))
            .collect();
        let differs =
            |key: &record::Key, it: &Truth| stored.get(key).cloned().flatten() != it.record.body;
        let lost = self.truth.iter().filter(|(key, it)| differs(key, it));
        let lost: Vec<_> = lost
            .map(|(key, it)| (key.clone(), it.record.clone()))
            .collect();
        self.rewrites.clear();
        for (key, record) in lost {
            let is_expiry = record.body.is_none() && matches!(key, record::Key::Target(_));
            let limit = if is_expiry { EXPIRY_MS } else { REWRITE_MS };
            let at = self.fleet.now + ms(self.below(limit));
            self.rewrites.push((at, key));
        }
    }

    fn step(&mut self) {
        self.fleet.run(STEP_MS);
        let now = self.fleet.now;
        for (_, key) in self
            .rewrites
            .extract_if(.., |(at, _)| now >= *at)
            .collect::<Vec<_>>()
        {
            self.fleet.write(self.truth[&key].record.clone());
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let now = self.fleet.now;
        for (balancer, machine) in &self.fleet.machines {
            let catalog = machine.catalog();
            let version = catalog.configuration().version;
            let before = self.versions.insert(*balancer, version);
            if before.is_some_and(|before| version < before) {
                return Err(format!("{balancer} went back to version {version}"));
            }
            for target in catalog.targets() {
                let closed = (*balancer, target.id.0);
                if target.entry.draining {
                    self.closed.insert(closed, ());
                } else if target.removed_at.is_none() && self.closed.contains_key(&closed) {
                    return Err(format!("{balancer} opened target {} again", target.id.0));
                }
            }
            let is_calm = now >= self.started_at[balancer] + STABILITY
                && self.restores.iter().all(|at| now >= *at + STABILITY);
            if is_calm {
                check_bounds(now, &self.restores, &self.truth, machine)
                    .map_err(|error| format!("{balancer}: {error}"))?;
            }
        }
        Ok(())
    }

    fn check_end(&self) -> Result<(), String> {
        for (balancer, machine) in &self.fleet.machines {
            let catalog = machine.catalog();
            let used = catalog
                .targets()
                .filter(|it| catalog.is_running(self.fleet.now, it));
            let mut used: Vec<_> = used.map(|it| it.id.0).collect();
            let mut expected = [self.targets(false), self.targets(true)].concat();
            used.sort_unstable();
            expected.sort_unstable();
            if used != expected {
                return Err(format!("{balancer} uses {used:?}, not {expected:?}"));
            }
            let out = self.truth.get(&record::Key::ZoneOut(Arc::from("b")));
            let is_out = out.is_some_and(|it| it.record.body.is_some());
            if catalog.is_zone_out("b") != is_out {
                return Err(format!("{balancer}: zone out is not {is_out}"));
            }
            if catalog.unconfirmed().count() > 0 {
                return Err(format!("{balancer} is in doubt for good"));
            }
        }
        Ok(())
    }
}

/// Returns the time from which a target gets no new flows. The end of a target that did not drain
/// cannot be told from an entry that the store has lost, or that lapsed with others.
fn closing_bound(since: Duration, crashed: bool, restores: &[Duration]) -> Duration {
    if !crashed {
        return since + CHANGE_BOUND;
    }
    let later = restores.iter().filter(|at| **at + STABILITY >= since);
    match later.max() {
        Some(at) => since.max(*at) + DOUBT_BOUND + LAPSE_BOUND,
        None => since + CHANGE_BOUND + LAPSE_BOUND,
    }
}

/// Checks that what was acknowledged some time ago is in force.
fn check_bounds(
    now: Duration,
    restores: &[Duration],
    truth: &BTreeMap<record::Key, Truth>,
    machine: &machine::Machine,
) -> Result<(), String> {
    let catalog = machine.catalog();
    for (key, truth) in truth {
        let Truth {
            record,
            since,
            crashed,
        } = truth;
        match (key, &record.body) {
            (record::Key::Configuration, Some(record::Body::Configuration(expected))) => {
                let version = catalog.configuration().version;
                if now >= *since + CHANGE_BOUND && version < expected.version {
                    return Err(format!("version {version}, not {}", expected.version));
                }
            }
            (record::Key::ZoneOut(zone), Some(_))
                if now >= *since + ZONE_BOUND && !catalog.is_zone_out(zone) =>
            {
                return Err(format!("zone {zone} is in service"));
            }
            (record::Key::Target(id), body) => {
                let is_open = match body {
                    Some(record::Body::Target(entry)) => !entry.draining,
                    _ => false,
                };
                let target = catalog.target(*id);
                let is_used = target.is_some_and(|it| catalog.exclusion(now, it).is_none());
                let closed_by = closing_bound(*since, *crashed, restores);
                if now >= closed_by && !is_open && is_used {
                    return Err(format!("target {} is used", id.0));
                }
                if now >= *since + CHANGE_BOUND && is_open && target.is_none() {
                    return Err(format!("target {} is not known", id.0));
                }
            }
            _ => {}
        }
    }
    Ok(())
}

fn play(seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    for step in 0..150 {
        if world.below(3) == 0 {
            world.change();
        }
        world.step();
        world
            .check()
            .map_err(|error| format!("seed {seed}, step {step}: {error}"))?;
    }
    world.fleet.refused.clear();
    world.fleet.run(4_000);
    world.step();
    world.fleet.run(SETTLED_MS);
    world
        .check()
        .and_then(|()| world.check_end())
        .map_err(|error| format!("seed {seed}, at the end: {error}"))
}

/// Guards against a balancer that goes back, keeps what is gone, drops what lives or misses a change,
/// under any order of changes, returns of the store from a copy, restarts and refusals.
#[test]
fn what_was_acknowledged_stays_in_force_through_returns_of_the_store() {
    let failures: Vec<_> = SEEDS.filter_map(|seed| play(seed).err()).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
