//! JSON dump and metrics of the process.

use std::time::Duration;

use mulberrynotch_steer::{
    catalog,
    cookie,
    machine,
    record, //
};
use serde_json::json;

use super::Node;
use crate::core::millis;

impl Node {
    pub(super) fn dump(&self) -> serde_json::Value {
        let now = self.now();
        let machine = self.lock();
        let catalog = machine.catalog();
        let targets: Vec<_> = catalog
            .targets()
            .map(|target| {
                json!({
                    "id": format!("{:x}", target.id.0),
                    "cookie": cookie::of(target.id.0),
                    "service": target.entry.service,
                    "zone": target.entry.zone,
                    "address": target.entry.address,
                    "state": format!("{:?}", target.state(now)),
                    "revision": target.write.to_string(),
                    "verdict": format!("{:?}", machine.evidence().verdict(target.id)),
                    "silent_ms": millis(machine.evidence().silence(now, target.id)),
                    "load": machine.load().recent_requests(now, target.id),
                    "latency_ms": latency_ms(&machine, target.id),
                })
            })
            .collect();
        json!({
            "name": self.settings.name,
            "zone": self.settings.zone,
            "ready": machine.is_ready(),
            "register": {
                "as_of": catalog.as_of().to_string(),
                "unconfirmed": catalog.unconfirmed().count(),
                "age_ms": machine.age(now).map(millis),
                "version": catalog.configuration().version,
                "routes": catalog.configuration().routes.len(),
                "zones_out": zones_out(catalog),
            },
            "paths": paths(&machine, now),
            "targets": targets,
            "members": machine.fleet().live_anywhere(now).collect::<Vec<_>>(),
            "flows_seen": machine.flows(),
        })
    }

    /// Copies the counters of the state machine into the metrics.
    pub(super) fn publish_counters(&self) {
        let now = self.now();
        let machine = self.lock();
        let counters = machine.counters();
        let counts = [
            ("mulberrynotch_opening_packets_total", counters.opened),
            ("mulberrynotch_refused_flows_total", counters.refused),
            ("mulberrynotch_withheld_flows_total", counters.withheld),
            ("mulberrynotch_held_packets_total", counters.held),
            ("mulberrynotch_carried_packets_total", counters.carried),
            ("mulberrynotch_reset_flows_total", counters.reset),
            ("mulberrynotch_unknown_cookies_total", counters.unknown),
            ("mulberrynotch_malformed_packets_total", counters.malformed),
        ];
        for (name, count) in counts {
            metrics::counter!(name).absolute(count);
        }
        let ready = f64::from(u8::from(machine.is_ready()));
        metrics::gauge!("mulberrynotch_in_rotation").set(ready);
        let cut = u32::try_from(machine.paths().cut_zones().count()).unwrap_or(u32::MAX);
        metrics::gauge!("mulberrynotch_cut_zones").set(f64::from(cut));
        let catalog = machine.catalog();
        let era = u32::try_from(catalog.as_of().era).unwrap_or(u32::MAX);
        metrics::gauge!("mulberrynotch_store_era").set(f64::from(era));
        let unconfirmed = u32::try_from(catalog.unconfirmed().count()).unwrap_or(u32::MAX);
        metrics::gauge!("mulberrynotch_unconfirmed_records").set(f64::from(unconfirmed));
        let age = machine.age(now).unwrap_or(now);
        metrics::gauge!("mulberrynotch_register_age_seconds").set(age.as_secs_f64());
        let live = u32::try_from(machine.fleet().live_anywhere(now).count()).unwrap_or(u32::MAX);
        metrics::gauge!("mulberrynotch_live_members").set(f64::from(live));
    }
}

/// Returns the state of the paths to other zones with the evidence behind it.
pub(super) fn paths(machine: &machine::Machine, now: Duration) -> Vec<serde_json::Value> {
    let statuses = machine.paths().statuses(now).into_iter();
    let statuses = statuses.map(|status| {
        json!({
            "zone": status.zone,
            "state": format!("{:?}", status.state),
            "alone": status.local,
            "proven_ms": status.proven.map(millis),
            "cut_ms": status.cut.map(millis),
            "failed_targets": status.failed_targets,
            "questions": status.pings,
        })
    });
    statuses.collect()
}

fn zones_out(catalog: &catalog::Catalog) -> Vec<std::sync::Arc<str>> {
    let zones = catalog.targets().map(|target| target.entry.zone.clone());
    let mut zones_out: Vec<_> = zones.filter(|zone| catalog.is_zone_out(zone)).collect();
    zones_out.sort_unstable();
    zones_out.dedup();
    zones_out
}

/// Returns the mean time from a request to the start of its answer, in milliseconds.
pub(super) fn latency_ms(machine: &machine::Machine, target: record::Id) -> f64 {
    machine.load().latency_s(target) * 1e3
}
