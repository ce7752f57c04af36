//! `mulberrynotch diff`: describes the effect of publishing a register that replaces another one.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::ExitCode, //
};

use mulberrynotch_policy::{
    preference,
    view, //
};
use mulberrynotch_register::model;

use super::{
    document,
    snapshot, //
};

/// Number of sampled flows per address.
const SAMPLES: u32 = 10_000;
/// IPv4 address of the first sampled caller; fixed, so that the sample is the same on each run.
const FIRST_SAMPLE_IP: u32 = 0x0a00_0001;

/// Arguments of `diff`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Register that is in effect.
    old: PathBuf,
    /// Register to publish.
    new: PathBuf,
}

/// Prints the effect of publishing; returns exit status 2 if balancers would reject the register.
pub fn execute(args: &Args) -> ExitCode {
    let (old, new) = (document::register(&args.old), document::register(&args.new));
    let (old, new) = match (old, new) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    if let Some(refusal) = refusal(&old, &new) {
        return document::refuse(&args.new, &refusal);
    }
    print!("{}", describe(&old, &new));
    ExitCode::SUCCESS
}

/// Returns the reason for which balancers would reject `new` after `old`, if any.
pub fn refusal(old: &model::Register, new: &model::Register) -> Option<String> {
    (new.revision <= old.revision && new != old).then(|| {
        format!(
            "revision {} is not above {}; set \"revision\" to {} or more",
            new.revision,
            old.revision,
            old.revision.saturating_add(1)
        )
    })
}

/// Describes the effect of publishing `new` after `old`, one line per change.
pub fn describe(old: &model::Register, new: &model::Register) -> String {
    if old == new {
        return format!("revision {}: no change\n", old.revision);
    }
    let mut out = format!("revision {} -> {}\n", old.revision, new.revision);
    describe_zones(&mut out, old, new);
    describe_services(&mut out, old, new);
    describe_targets(&mut out, old, new);
    describe_addresses(&mut out, old, new);
    if old.rules != new.rules {
        out.push_str("rules: changed\n");
    }
    describe_placement(&mut out, old, new);
    out
}

/// Reports each key that is only in `old`, only in `new`, or differs.
fn compare<K: Ord, V: PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut report: impl FnMut(&K, Option<&V>, Option<&V>),
) {
    for (key, value) in old {
        let new_value = new.get(key);
        if new_value != Some(value) {
            report(key, Some(value), new_value);
        }
    }
    for (key, value) in new.iter().filter(|(key, _)| !old.contains_key(key)) {
        report(key, None, Some(value));
    }
}

fn describe_zones(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| -> BTreeMap<_, _> {
        let zones = register.zones.iter();
        zones.map(|it| (it.name.clone(), it.clone())).collect()
    };
    compare(&index(old), &index(new), |name, before, after| {
        let change = match (before, after) {
            (Some(before), Some(after)) if !before.out && after.out => {
                "goes out of service: flows there are abandoned"
            }
            (Some(before), Some(after)) if before.out && !after.out => "returns to service",
            (Some(_), Some(_)) => "changes its region",
            (None, _) => "joins",
            (_, None) => "is removed",
        };
        // Writing to a string does not fail.
        let _ = writeln!(out, "zone {name}: {change}");
    });
}

fn describe_services(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| -> BTreeMap<_, _> {
        let services = register.services.iter();
        services
            .map(|it| {
                let own_settings = model::Service {
                    addresses: Vec::new(),
                    targets: Vec::new(),
                    ..it.clone()
                };
                (it.name.clone(), own_settings)
            })
            .collect()
    };
    compare(&index(old), &index(new), |name, before, after| {
        let change = match (before, after) {
            (None, _) => "joins",
            (_, None) => "is removed: its flows end and its requests are refused",
            _ => "changes its class, header or times",
        };
        let _ = writeln!(out, "service {name}: {change}");
    });
}

fn describe_targets(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| {
        let mut targets = BTreeMap::new();
        for service in &register.services {
            for target in &service.targets {
                targets.insert((service.name.clone(), target.name.clone()), target.clone());
            }
        }
        targets
    };
    compare(
        &index(old),
        &index(new),
        |(service, name), before, after| {
            let change = match (before, after) {
                (None, _) => "joins: takes no flow that is already placed",
                (_, None) => "is removed: its flows end",
                (Some(before), Some(after)) => describe_target_change(before, after),
            };
            let _ = writeln!(out, "target {service}/{name}: {change}");
        },
    );
}

fn describe_target_change(before: &model::Target, after: &model::Target) -> &'static str {
    let addresses = |target: &model::Target| (target.udp, target.tcp, target.http, target.load);
    if !before.leaving && after.leaving {
        "leaves: keeps its flows and gets no new work"
    } else if before.leaving && !after.leaving {
        "no longer leaves"
    } else if before.zone != after.zone {
        "moves to another zone"
    } else if addresses(before) != addresses(after) {
        "changes its addresses"
    } else {
        "changes its limits"
    }
}

fn describe_addresses(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| {
        let mut addresses = BTreeMap::new();
        for service in &register.services {
            for address in &service.addresses {
                let protocol = snapshot::protocol(address.protocol);
                addresses.insert(address.address, (service.name.clone(), protocol));
            }
        }
        addresses
    };
    compare(&index(old), &index(new), |address, before, after| {
        let _ = match (before, after) {
            (Some((from, _)), Some((to, _))) if from != to => writeln!(
                out,
                "address {address}: moves from service {from} to {to}: its flows end"
            ),
            (Some((_, from)), Some((_, to))) => {
                writeln!(out, "address {address}: changes from {from} to {to}")
            }
            (Some((name, _)), None) => {
                writeln!(out, "address {address}: is removed from service {name}")
            }
            (_, Some((name, _))) => writeln!(out, "address {address}: joins service {name}"),
            (None, None) => Ok(()),
        };
    });
}

fn describe_placement(out: &mut String, old: &model::Register, new: &model::Register) {
    let (before, after) = (
        snapshot::view(old.clone(), &[]),
        snapshot::view(new.clone(), &[]),
    );
    for service in &new.services {
        for address in &service.addresses {
            let is_http = address.protocol == model::Protocol::Http;
            let same_service =
                before.service_at(address.address) == after.service_at(address.address);
            if is_http || !same_service || before.candidates(service.id()).is_empty() {
                continue;
            }
            let moved = count_moved(&before, &after, service, address.address);
            let percent = f64::from(moved) * 100.0 / f64::from(SAMPLES);
            let _ = writeln!(
                out,
                "address {} of service {}: {percent:.1} % of new flows are placed differently \
                 ({SAMPLES} sampled callers)",
                address.address, service.name
            );
        }
    }
}

/// Returns the number of sampled callers whose flows start on different targets.
fn count_moved(
    before: &view::View,
    after: &view::View,
    service: &model::Service,
    address: SocketAddr,
) -> u32 {
    let differs = |sample: u32| {
        let ip = Ipv4Addr::from(FIRST_SAMPLE_IP.wrapping_add(sample));
        let port = u16::try_from(1_024 + sample % 60_000).unwrap_or(u16::MAX);
        let key = snapshot::flow_key(service.id(), SocketAddr::from((ip, port)), address);
        first_target(before, service, key) != first_target(after, service, key)
    };
    (0..SAMPLES).map(|sample| u32::from(differs(sample))).sum()
}

/// Returns the target on which a new flow starts: the first of its preference list that is not
/// leaving.
fn first_target(
    view: &view::View,
    service: &model::Service,
    key: u64,
) -> Option<mulberrynotch_register::id::Target> {
    preference::targets(view, service.id(), key)
        .into_iter()
        .find(|target| view.target(*target).is_some_and(|it| !it.leaving))
}
