//! State of the process for operators.

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
                    "revision": target.revision,
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
                "as_of": catalog.as_of(),
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

    /// Copies the machine's counts into the metrics.
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
        let age = machine.age(now).unwrap_or(now);
        metrics::gauge!("mulberrynotch_register_age_seconds").set(age.as_secs_f64());
        let live = u32::try_from(machine.fleet().live_anywhere(now).count()).unwrap_or(u32::MAX);
        metrics::gauge!("mulberrynotch_live_members").set(f64::from(live));
    }
}

/// Beliefs on the paths to other zones, with what they rest on.
pub(super) fn paths(machine: &machine::Machine, now: Duration) -> Vec<serde_json::Value> {
    let beliefs = machine.paths().statuses(now).into_iter();
    let beliefs = beliefs.map(|it| {
        json!({
            "zone": it.zone,
            "state": format!("{:?}", it.state),
            "alone": it.local,
            "proven_ms": it.proven.map(millis),
            "cut_ms": it.cut.map(millis),
            "failed_targets": it.failed_targets,
            "questions": it.pings,
        })
    });
    beliefs.collect()
}

fn zones_out(catalog: &catalog::Catalog) -> Vec<std::sync::Arc<str>> {
    let zones = catalog.targets().map(|it| it.entry.zone.clone());
    let mut out: Vec<_> = zones.filter(|it| catalog.is_zone_out(it)).collect();
    out.sort_unstable();
    out.dedup();
    out
}

/// Mean time from a request to the beginning of its answer.
pub(super) fn latency_ms(machine: &machine::Machine, target: record::Id) -> f64 {
    machine.load().latency_s(target) * 1e3
}
