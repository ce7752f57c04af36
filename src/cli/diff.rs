//! `mulberrynotch diff`: says what publishing a register over another one does.

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

/// Flows sampled for each address.
const SAMPLES: u32 = 10_000;
/// First address of the sampled callers; the sample is the same on every run.
const SAMPLE_SEED: u32 = 0x0a00_0001;

/// Arguments of `diff`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Register in effect.
    old: PathBuf,
    /// Register to publish.
    new: PathBuf,
}

/// Prints the effect of publishing; exit status 2 when balancers would refuse it.
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

/// Why balancers would not take `new` over `old`.
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

/// The effect of publishing `new` over `old`, one line per change.
pub fn describe(old: &model::Register, new: &model::Register) -> String {
    if old == new {
        return format!("revision {}: no change\n", old.revision);
    }
    let mut out = format!("revision {} -> {}\n", old.revision, new.revision);
    zones(&mut out, old, new);
    services(&mut out, old, new);
    targets(&mut out, old, new);
    addresses(&mut out, old, new);
    if old.rules != new.rules {
        out.push_str("rules: changed\n");
    }
    placement(&mut out, old, new);
    out
}

/// Reports each key that is only in `old`, only in `new`, or differs.
fn compare<K: Ord, V: PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut report: impl FnMut(&K, Option<&V>, Option<&V>),
) {
    for (key, value) in old {
        let next = new.get(key);
        if next != Some(value) {
            report(key, Some(value), next);
        }
    }
    for (key, value) in new.iter().filter(|(key, _)| !old.contains_key(key)) {
        report(key, None, Some(value));
    }
}

fn zones(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| -> BTreeMap<_, _> {
        let zones = register.zones.iter();
        zones.map(|it| (it.name.clone(), it.clone())).collect()
    };
    compare(&index(old), &index(new), |name, was, is| {
        let change = match (was, is) {
            (Some(was), Some(is)) if !was.out && is.out => {
                "goes out of service: flows there are abandoned"
            }
            (Some(was), Some(is)) if was.out && !is.out => "returns to service",
            (Some(_), Some(_)) => "changes its region",
            (None, _) => "joins",
            (_, None) => "is removed",
        };
        // Writing to a string does not fail.
        let _ = writeln!(out, "zone {name}: {change}");
    });
}

fn services(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| -> BTreeMap<_, _> {
        let services = register.services.iter();
        services
            .map(|it| {
                let bare = model::Service {
                    addresses: Vec::new(),
                    targets: Vec::new(),
                    ..it.clone()
                };
                (it.name.clone(), bare)
            })
            .collect()
    };
    compare(&index(old), &index(new), |name, was, is| {
        let change = match (was, is) {
            (None, _) => "joins",
            (_, None) => "is removed: its flows end and its requests are refused",
            _ => "changes its class, header or times",
        };
        let _ = writeln!(out, "service {name}: {change}");
    });
}

fn targets(out: &mut String, old: &model::Register, new: &model::Register) {
    let index = |register: &model::Register| {
        let mut targets = BTreeMap::new();
        for service in &register.services {
            for target in &service.targets {
                targets.insert((service.name.clone(), target.name.clone()), target.clone());
            }
        }
        targets
    };
    compare(&index(old), &index(new), |(service, name), was, is| {
        let change = match (was, is) {
            (None, _) => "joins: takes no flow that is already placed",
            (_, None) => "is removed: its flows end",
            (Some(was), Some(is)) => altered(was, is),
        };
        let _ = writeln!(out, "target {service}/{name}: {change}");
    });
}

fn altered(was: &model::Target, is: &model::Target) -> &'static str {
    let addresses = |target: &model::Target| (target.udp, target.tcp, target.http, target.load);
    if !was.leaving && is.leaving {
        "leaves: keeps its flows and gets no new work"
    } else if was.leaving && !is.leaving {
        "no longer leaves"
    } else if was.zone != is.zone {
        "moves to another zone"
    } else if addresses(was) != addresses(is) {
        "changes its addresses"
    } else {
        "changes its limits"
    }
}

fn addresses(out: &mut String, old: &model::Register, new: &model::Register) {
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
    compare(&index(old), &index(new), |address, was, is| {
        let _ = match (was, is) {
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

fn placement(out: &mut String, old: &model::Register, new: &model::Register) {
    let (was, is) = (
        snapshot::view(old.clone(), &[]),
        snapshot::view(new.clone(), &[]),
    );
    for service in &new.services {
        for address in &service.addresses {
            let http = address.protocol == model::Protocol::Http;
            let known = was.service_at(address.address) == is.service_at(address.address);
            if http || !known || was.candidates(service.id()).is_empty() {
                continue;
            }
            let moved = moved(&was, &is, service, address.address);
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

/// Number of sampled callers whose first target differs.
fn moved(was: &view::View, is: &view::View, service: &model::Service, address: SocketAddr) -> u32 {
    let differs = |sample: u32| {
        let ip = Ipv4Addr::from(SAMPLE_SEED.wrapping_add(sample));
        let port = u16::try_from(1_024 + sample % 60_000).unwrap_or(u16::MAX);
        let key = snapshot::flow_key(service.id(), SocketAddr::from((ip, port)), address);
        first(was, service, key) != first(is, service, key)
    };
    (0..SAMPLES).map(|sample| u32::from(differs(sample))).sum()
}

/// The target that a new flow starts on: the first of its chain that is not leaving.
fn first(
    view: &view::View,
    service: &model::Service,
    key: u64,
) -> Option<mulberrynotch_register::id::Target> {
    preference::targets(view, service.id(), key)
        .into_iter()
        .find(|target| view.target(*target).is_some_and(|it| !it.leaving))
}
