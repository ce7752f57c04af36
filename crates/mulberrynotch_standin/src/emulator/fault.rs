//! Faults of a plan, and how they end.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_steer::record;

use super::{
    plan::Fault,
    world::World, //
};

/// Silence after which the store drops the entry of a target.
const LAPSE: Duration = Duration::from_millis(3_600);

/// Time that a draining target goes on serving.
const DRAIN: Duration = Duration::from_millis(4_000);

/// How long a new target is cold.
const COLD: Duration = Duration::from_secs(2);

/// Time that a balancer takes to stop as planned.
const STOP: Duration = Duration::from_millis(1_700);

/// Time until a balancer that stopped is back.
const RESTART: Duration = Duration::from_millis(400);

/// Time after the end of a cut in which resets are excused.
const EXCUSED: Duration = Duration::from_secs(4);

/// What ends or follows a fault.
#[derive(Clone, Debug)]
pub(super) enum End {
    Lapse(u64),
    Leave(u64),
    Hasten(u64),
    Drain(usize),
    Stop(usize),
    Start(usize),
    HealCut(usize),
    ReturnZone(usize),
    StoreBack(bool),
    Republish(Vec<u64>),
    ClientsBack(Vec<usize>),
    Calm,
}

impl World {
    pub(super) fn begin_fault(&mut self, index: usize) {
        let seconds = Duration::from_secs_f64;
        match self.plan.faults[index].clone() {
            Fault::TargetsDark { count, .. } => {
                for id in self.living(count) {
                    if let Some(target) = self.targets.get_mut(&id) {
                        target.dark = true;
                    }
                    self.at(LAPSE, super::world::Event::End(End::Lapse(id)));
                }
            }
            Fault::TargetsSlow {
                count,
                factor,
                lasts,
                ..
            } => {
                for id in self.living(count) {
                    if let Some(target) = self.targets.get_mut(&id) {
                        target.factor = u32::try_from(factor).unwrap_or(1);
                    }
                    self.end_after(seconds(lasts), End::Hasten(id));
                }
            }
            Fault::TargetsReplaced { count, .. } => self.replace(count),
            Fault::BalancersKilled { count, lasts, .. } => {
                for index in 0..count.min(self.balancers.len()) {
                    self.end_balancer(index);
                    self.end_after(seconds(lasts), End::Start(index));
                }
            }
            Fault::BalancersRolled { count, gap, .. } => {
                for index in 0..count.min(self.balancers.len()) {
                    let place = u32::try_from(index).unwrap_or(0);
                    self.end_after(seconds(gap) * place, End::Drain(index));
                }
            }
            Fault::BalancersPaused { count, lasts, .. } => {
                self.excuse(seconds(lasts));
                for index in 0..count.min(self.balancers.len()) {
                    self.balancers[index].paused_until = self.now + seconds(lasts);
                }
            }
            Fault::ZoneCut { zone, lasts, .. } => {
                self.links.cut[zone] = true;
                self.excuse(seconds(lasts));
                self.end_after(seconds(lasts), End::HealCut(zone));
            }
            Fault::ZoneOut { zone, lasts, .. } => {
                let key = record::Key::ZoneOut(Arc::from(format!("zone-{zone}")));
                self.store.put(key, Some(record::Body::ZoneOut));
                self.end_after(seconds(lasts), End::ReturnZone(zone));
            }
            Fault::StoreDown { lasts, lapse, .. } => {
                self.store.down = true;
                self.end_after(seconds(lasts), End::StoreBack(lapse));
            }
            Fault::ClientsMoved {
                zone,
                percent,
                lasts,
                ..
            } => {
                let homes: Vec<_> = self.users.iter().map(|it| it.zone).collect();
                for index in 0..homes.len() {
                    if self.random.below(100) < percent {
                        self.users[index].zone = zone;
                    }
                }
                self.end_after(seconds(lasts), End::ClientsBack(homes));
            }
            Fault::Burst { factor, lasts, .. } => {
                self.pause_factor = factor;
                self.end_after(seconds(lasts), End::Calm);
            }
        }
    }

    pub(super) fn end_fault(&mut self, end: End) {
        match end {
            End::Lapse(id) | End::Leave(id) => {
                self.store.put(record::Key::Target(record::Id(id)), None);
                if let Some(target) = self.targets.get_mut(&id) {
                    target.dark = true;
                }
            }
            End::Hasten(id) => {
                if let Some(target) = self.targets.get_mut(&id) {
                    target.factor = 1;
                }
            }
            End::Drain(index) => {
                self.balancers[index].leaving = true;
                self.drive(index, mulberrynotch_steer::machine::Machine::leave);
                self.end_after(STOP, End::Stop(index));
            }
            End::Stop(index) => {
                self.end_balancer(index);
                self.end_after(RESTART, End::Start(index));
            }
            End::Start(index) => self.start_balancer(index),
            End::HealCut(zone) => self.links.cut[zone] = false,
            End::ReturnZone(zone) => {
                let key = record::Key::ZoneOut(Arc::from(format!("zone-{zone}")));
                self.store.put(key, None);
            }
            End::StoreBack(lapse) => self.store_back(lapse),
            End::Republish(ids) => {
                for id in ids {
                    self.publish_target(id, Duration::ZERO);
                }
            }
            End::ClientsBack(homes) => {
                for (user, home) in self.users.iter_mut().zip(homes) {
                    user.zone = home;
                }
            }
            End::Calm => self.pause_factor = 1,
        }
    }

    fn end_after(&mut self, wait: Duration, end: End) {
        self.at(wait, super::world::Event::End(end));
    }

    fn excuse(&mut self, lasts: Duration) {
        self.excused_until = self.excused_until.max(self.now + lasts + EXCUSED);
    }

    fn end_balancer(&mut self, index: usize) {
        let balancer = &mut self.balancers[index];
        balancer.machine = None;
        balancer.held.clear();
        balancer.start += 1;
        let start = balancer.start;
        self.store
            .waiting
            .retain(|it| it.balancer != index || it.start == start);
    }

    /// Targets that serve, in the order of their identifiers, from different zones in turn.
    fn living(&self, count: usize) -> Vec<u64> {
        let serves = |it: &&super::target::Target| !it.dark && it.draining_since.is_none();
        let mut ids: Vec<_> = self
            .targets
            .values()
            .filter(serves)
            .map(|it| it.id)
            .collect();
        ids.sort_unstable_by_key(|id| (id % 3, *id));
        ids.truncate(count);
        ids
    }

    fn replace(&mut self, count: usize) {
        for id in self.living(count) {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.draining_since = Some(self.now);
            let zone = target.zone;
            self.publish_target(id, Duration::ZERO);
            self.add_target(zone, COLD);
            self.end_after(DRAIN, End::Leave(id));
        }
    }

    /// The store answers again; entries that lapsed come back a second later.
    fn store_back(&mut self, lapse: bool) {
        self.store.down = false;
        if !lapse {
            return;
        }
        let living = self.living(usize::MAX);
        for id in &living {
            self.store.put(record::Key::Target(record::Id(*id)), None);
        }
        self.end_after(Duration::from_millis(900), End::Republish(living));
    }
}
