//! Vacant zones: zones whose balancers no longer exist, according to the platform's list of VMs.
//!
//! A zone without live members may only be partitioned from this process and go on serving. Only
//! the platform's list shows that its balancers no longer exist.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_wire::control::Member;

use super::Machine;

/// Minimum time between the two reads that have to show a zone without balancers, because the list
/// lags.
const MIN_READ_GAP: Duration = Duration::from_secs(5);

/// Jitter of an extra read for each live member, so that all processes together make at most 40
/// extra calls per second. After the loss of a zone, most of the fleet may own targets of it.
const JITTER_PER_MEMBER: Duration = Duration::from_millis(25);

/// Maximum number of extra reads while the list still shows a zone that has lost its last member,
/// and the maximum factor of their interval, which doubles with each. The regular reads go on.
const MAX_EXTRA_READS: u32 = 6;
const MAX_INTERVAL_FACTOR: u32 = 8;

/// State of the zones without live members.
#[derive(Debug, Default)]
pub(super) struct Vacancy {
    zones: BTreeMap<Arc<str>, Absence>,
    /// Start of the read of the list that is in progress.
    read_started_at: Option<Duration>,
    next_extra_read: Option<Duration>,
}

/// Zone without live members.
#[derive(Debug)]
struct Absence {
    /// Time at which the zone lost its last live member.
    absent_since: Duration,
    /// Start of the first read that showed no balancer of the zone.
    unlisted_at: Option<Duration>,
    vacant: bool,
    /// This process owns targets of the zone.
    owns_targets: bool,
    extra_reads: u32,
}

impl Absence {
    /// Returns the factor of the interval until the next extra read, or `None` when none is needed.
    fn interval_factor(&self) -> Option<u32> {
        if !self.owns_targets || self.vacant {
            return None;
        }
        if self.unlisted_at.is_some() {
            return Some(1);
        }
        let factor = 1 << self.extra_reads.min(MAX_EXTRA_READS);
        (self.extra_reads < MAX_EXTRA_READS).then(|| MAX_INTERVAL_FACTOR.min(factor))
    }
}

impl Vacancy {
    /// Returns the vacant zones, sorted by name.
    pub(super) fn zones(&self) -> Vec<Arc<str>> {
        let vacant = self.zones.iter().filter(|(_, absence)| absence.vacant);
        vacant.map(|(name, _)| name.clone()).collect()
    }

    /// Records the start of a read of the list.
    pub(super) fn read_started(&mut self, now: Duration) {
        self.read_started_at = Some(now);
    }

    /// Returns true while a read is in progress that was started less than `limit` ago.
    pub(super) fn read_pending(&self, now: Duration, limit: Duration) -> bool {
        self.read_started_at.is_some_and(|at| now < at + limit)
    }

    /// Records the failure of a read.
    pub(super) fn read_failed(&mut self) {
        self.read_started_at = None;
    }
}

impl Machine {
    /// Updates which zones of the register have no live member.
    pub(super) fn update_absences(&mut self, now: Duration) {
        let (table, zones) = (&self.table, &self.configuration.register.zones);
        let live: Vec<&str> = table.live().map(|member| &*member.zone).collect();
        let absent = |name: &str| !live.contains(&name);
        let vacancy = &mut self.calls.vacancy;
        vacancy
            .zones
            .retain(|name, _| absent(name) && zones.iter().any(|zone| zone.name == *name));
        for zone in zones.iter().filter(|zone| absent(&zone.name)) {
            let absence = Absence {
                absent_since: now,
                unlisted_at: None,
                vacant: false,
                owns_targets: false,
                extra_reads: 0,
            };
            vacancy.zones.entry(zone.name.clone()).or_insert(absence);
        }
    }

    /// Updates the vacant zones from a list that the platform returned.
    pub(super) fn apply_vm_list(&mut self, listed: &[Member]) {
        let vacancy = &mut self.calls.vacancy;
        let is_live_member =
            |member: &Member| self.table.live().any(|live| live.name == member.name);
        // A list without any live member is incorrect, not merely outdated.
        let Some(read_started_at) = vacancy
            .read_started_at
            .take()
            .filter(|_| listed.iter().any(is_live_member))
        else {
            return;
        };
        for (name, absence) in &mut vacancy.zones {
            let was_vacant = absence.vacant;
            if listed.iter().any(|member| member.zone == *name) {
                absence.unlisted_at = None;
                absence.vacant = false;
            } else if read_started_at > absence.absent_since {
                if absence.unlisted_at.is_none() {
                    vacancy.next_extra_read = None;
                }
                let first = *absence.unlisted_at.get_or_insert(read_started_at);
                absence.vacant |= read_started_at >= first + MIN_READ_GAP;
            }
            self.flags_stale |= was_vacant != absence.vacant;
        }
    }

    /// Records for which zones without live members this process owns targets.
    pub(super) fn update_owned_targets(&mut self) {
        let view = &self.view;
        for (name, absence) in &mut self.calls.vacancy.zones {
            absence.owns_targets = view.assignment.iter().any(|(id, _)| {
                view.owns(id) && view.target(id).is_some_and(|target| target.zone == *name)
            });
        }
    }

    /// Returns true when an extra read of the list is due for a zone whose targets this process
    /// owns.
    pub(super) fn vacancy_read_due(&mut self, now: Duration) -> bool {
        let zones = &mut self.calls.vacancy.zones;
        let factors = zones.values().filter_map(Absence::interval_factor);
        let Some(factor) = factors.min() else {
            self.calls.vacancy.next_extra_read = None;
            return false;
        };
        let Some(at) = self.calls.vacancy.next_extra_read else {
            let members = u32::try_from(self.view.members.len()).unwrap_or(u32::MAX);
            let jitter = self.jitter(JITTER_PER_MEMBER * members);
            self.calls.vacancy.next_extra_read = Some(now + (MIN_READ_GAP + jitter) * factor);
            return false;
        };
        if now < at {
            return false;
        }
        self.calls.vacancy.next_extra_read = None;
        for absence in zones.values_mut() {
            absence.extra_reads += u32::from(absence.interval_factor().is_some());
        }
        true
    }
}
