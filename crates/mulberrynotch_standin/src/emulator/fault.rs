//! Injection of the faults of a plan, and the steps that follow or end them.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_steer::record;

use super::{
    plan::Fault,
    world::World, //
};

/// Time until the store drops the entry of an unresponsive target.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_600);

/// Interval between the heartbeats of a target, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Time until an operator has written again what the store lost.
const OPERATOR_DELAY: Duration = Duration::from_millis(30);

/// Time that a draining target keeps serving before it stops.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);

/// Time that a replacement target is cold.
const COLD_TIME: Duration = Duration::from_secs(2);

/// Time that a balancer drains before a planned stop.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(1_700);

/// Time until a balancer starts again after a planned stop.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Time after the end of a partition or pause in which resets of open flows are allowed.
const RESET_GRACE: Duration = Duration::from_secs(4);

/// Scheduled step that follows or ends a fault.
#[derive(Clone, Debug)]
pub(super) enum Followup {
    ExpireEntry(u64),
    RemoveTarget(u64),
    RestoreSpeed(u64),
    DrainBalancer(usize),
    StopBalancer(usize),
    StartBalancer(usize),
    HealCut(usize),
    RestoreZone(usize),
    RestoreStore(bool),
    CopyStore,
    ReturnStore,
    Write(record::Record),
    PublishTargets(Vec<u64>),
    RestoreClients(Vec<usize>),
    EndBurst,
}

impl World {
    pub(super) fn inject_fault(&mut self, index: usize) {
        let seconds = Duration::from_secs_f64;
        match self.plan.faults[index].clone() {
            Fault::TargetsDark { count, .. } => {
                for id in self.serving_targets(count) {
                    if let Some(target) = self.targets.get_mut(&id) {
                        target.unresponsive = true;
                    }
                    self.schedule(
                        ENTRY_TIMEOUT,
                        super::world::Event::Followup(Followup::ExpireEntry(id)),
                    );
                }
            }
            Fault::TargetsSlow {
                count,
                factor,
                lasts,
                ..
            } => {
                for id in self.serving_targets(count) {
                    if let Some(target) = self.targets.get_mut(&id) {
                        target.slowdown = u32::try_from(factor).unwrap_or(1);
                    }
                    self.schedule_followup(seconds(lasts), Followup::RestoreSpeed(id));
                }
            }
            Fault::TargetsReplaced { count, .. } => self.replace_targets(count),
            Fault::BalancersKilled { count, lasts, .. } => {
                for index in 0..count.min(self.balancers.len()) {
                    self.stop_balancer(index);
                    self.schedule_followup(seconds(lasts), Followup::StartBalancer(index));
                }
            }
            Fault::BalancersRolled { count, gap, .. } => {
                for index in 0..count.min(self.balancers.len()) {
                    let position = u32::try_from(index).unwrap_or(0);
                    self.schedule_followup(seconds(gap) * position, Followup::DrainBalancer(index));
                }
            }
            Fault::BalancersPaused { count, lasts, .. } => {
                self.allow_resets(seconds(lasts));
                for index in 0..count.min(self.balancers.len()) {
                    self.balancers[index].paused_until = self.now + seconds(lasts);
                }
            }
            Fault::ZoneCut { zone, lasts, .. } => {
                self.links.cut[zone] = true;
                self.allow_resets(seconds(lasts));
                self.schedule_followup(seconds(lasts), Followup::HealCut(zone));
            }
            Fault::ZoneOut { zone, lasts, .. } => {
                let key = record::Key::ZoneOut(Arc::from(format!("zone-{zone}")));
                self.store.put(key, Some(record::Body::ZoneOut));
                self.schedule_followup(seconds(lasts), Followup::RestoreZone(zone));
            }
            Fault::StoreDown { lasts, lapse, .. } => {
                self.store.down = true;
                self.schedule_followup(seconds(lasts), Followup::RestoreStore(lapse));
            }
            Fault::StoreRestored { lasts, .. } => {
                self.store.down = true;
                self.schedule_followup(seconds(lasts), Followup::ReturnStore);
            }
            Fault::ConfigurationPublished { .. } => self.publish_configuration(),
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
                self.schedule_followup(seconds(lasts), Followup::RestoreClients(homes));
            }
            Fault::Burst { factor, lasts, .. } => {
                self.pause_factor = factor;
                self.schedule_followup(seconds(lasts), Followup::EndBurst);
            }
        }
    }

    pub(super) fn apply_followup(&mut self, followup: Followup) {
        match followup {
            Followup::ExpireEntry(id) | Followup::RemoveTarget(id) => {
                self.store.put(record::Key::Target(record::Id(id)), None);
                if let Some(target) = self.targets.get_mut(&id) {
                    target.unresponsive = true;
                }
            }
            Followup::RestoreSpeed(id) => {
                if let Some(target) = self.targets.get_mut(&id) {
                    target.slowdown = 1;
                }
            }
            Followup::DrainBalancer(index) => {
                self.balancers[index].leaving = true;
                self.drive(index, mulberrynotch_steer::machine::Machine::leave);
                self.schedule_followup(BALANCER_DRAIN_TIME, Followup::StopBalancer(index));
            }
            Followup::StopBalancer(index) => {
                self.stop_balancer(index);
                self.schedule_followup(RESTART_DELAY, Followup::StartBalancer(index));
            }
            Followup::StartBalancer(index) => self.start_balancer(index),
            Followup::HealCut(zone) => self.links.cut[zone] = false,
            Followup::RestoreZone(zone) => {
                let key = record::Key::ZoneOut(Arc::from(format!("zone-{zone}")));
                self.store.put(key, None);
            }
            Followup::RestoreStore(lapse) => self.restore_store(lapse),
            Followup::CopyStore => self.store.copy(),
            Followup::ReturnStore => self.return_store(),
            Followup::Write(record) => self.store.put(record.key, record.body),
            Followup::PublishTargets(ids) => {
                for id in ids {
                    self.publish_target(id, Duration::ZERO);
                }
            }
            Followup::RestoreClients(homes) => {
                for (user, home) in self.users.iter_mut().zip(homes) {
                    user.zone = home;
                }
            }
            Followup::EndBurst => self.pause_factor = 1,
        }
    }

    fn schedule_followup(&mut self, wait: Duration, followup: Followup) {
        self.schedule(wait, super::world::Event::Followup(followup));
    }

    fn allow_resets(&mut self, lasts: Duration) {
        self.resets_allowed_until = self
            .resets_allowed_until
            .max(self.now + lasts + RESET_GRACE);
    }

    fn stop_balancer(&mut self, index: usize) {
        let balancer = &mut self.balancers[index];
        balancer.machine = None;
        balancer.held_packets.clear();
        balancer.incarnation += 1;
        let incarnation = balancer.incarnation;
        self.store
            .watches
            .retain(|it| it.balancer != index || it.incarnation == incarnation);
    }

    /// Returns up to `count` targets that serve and do not drain, spread over the zones.
    fn serving_targets(&self, count: usize) -> Vec<u64> {
        let is_serving =
            |it: &&super::target::Target| !it.unresponsive && it.draining_since.is_none();
        let mut ids: Vec<_> = self
            .targets
            .values()
            .filter(is_serving)
            .map(|it| it.id)
            .collect();
        ids.sort_unstable_by_key(|id| (id % 3, *id));
        ids.truncate(count);
        ids
    }

    fn replace_targets(&mut self, count: usize) {
        for id in self.serving_targets(count) {
            let Some(target) = self.targets.get_mut(&id) else {
                continue;
            };
            target.draining_since = Some(self.now);
            let zone = target.zone;
            self.publish_target(id, Duration::ZERO);
            self.add_target(zone, COLD_TIME);
            self.schedule_followup(DRAIN_TIME, Followup::RemoveTarget(id));
        }
    }

    /// Ends an outage of the store, which returns from its copy. Targets write their entries again
    /// with their next heartbeats, and operators at once.
    fn return_store(&mut self) {
        self.store.down = false;
        for record in self.store.restore() {
            let wait = match record.key {
                record::Key::Target(_) => Duration::from_millis(self.random.below(HEARTBEAT_MS)),
                _ => OPERATOR_DELAY,
            };
            self.schedule_followup(wait, Followup::Write(record));
        }
    }

    /// Ends an outage of the store. With `lapse`, the entries of all targets that serve are removed
    /// and written again 900 ms later.
    fn restore_store(&mut self, lapse: bool) {
        self.store.down = false;
        if !lapse {
            return;
        }
        let serving = self.serving_targets(usize::MAX);
        for id in &serving {
            self.store.put(record::Key::Target(record::Id(*id)), None);
        }
        self.schedule_followup(
            Duration::from_millis(900),
            Followup::PublishTargets(serving),
        );
    }
}
