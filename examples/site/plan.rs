//! What happens to the site.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    io,
    time::{
        Duration,
        Instant, //
    },
};

use mulberrynotch_register::model::{
    Protocol,
    Register,
    Rule,
    Zone, //
};
use mulberrynotch_standin::{
    site,
    target, //
};
use tokio::time;

use crate::{
    load::Load,
    table::{
        Findings,
        conclude, //
    },
};

/// Targets of the two services.
const TARGETS: [(&str, u8); 2] = [("orders", 14), ("gallery", 4)];
/// Balancers at the start.
const BALANCERS: u8 = 6;
/// Time within which a publication is in effect everywhere.
const EFFECT: Duration = Duration::from_secs(4);
/// Time of undisturbed load between two events.
const CALM: Duration = Duration::from_secs(4);
/// Longest graceful shutdown: the drain time of the settings and some slack.
const DRAIN: Duration = Duration::from_secs(13);

const ALL: [Protocol; 3] = [Protocol::Udp, Protocol::Tcp, Protocol::Http];

/// Runs the whole plan; false when a guarantee failed.
pub(crate) async fn run(config: site::Config) -> io::Result<bool> {
    let start = Instant::now();
    let step = |text: &str| println!("{:5.1} s  {text}", start.elapsed().as_secs_f64());
    step("starting platform, fabric, 18 targets and 6 balancers");
    let mut site = build(config).await?;
    step("starting flows and requests");
    let load = Load::start(site.layout()).await?;
    time::sleep(CALM).await;
    let mut findings = Findings {
        started: Some(start),
        placement: load.udp.report().instances,
        ..Findings::default()
    };

    step("replacing a balancer");
    replace(&mut site, &mut findings).await?;
    time::sleep(CALM / 2).await;

    step("rolling a target");
    roll(&mut site, &mut findings).await?;

    step("taking zone-c out of service");
    zone_out(&mut site, &mut findings).await?;
    step("returning zone-c to service");
    set_zone(&mut site, false).await?;
    time::sleep(EFFECT + CALM).await;

    step("stopping the load");
    let result = conclude(&site, &load, &findings).await?;
    drop(load);
    drop(site);
    step("done");
    Ok(result)
}

fn register(layout: site::Layout) -> Register {
    let zone = |name: &str| Zone {
        name: name.into(),
        region: "".into(),
        out: false,
    };
    Register {
        zones: site::ZONES.into_iter().map(zone).collect(),
        services: vec![
            site::service(layout, 0, TARGETS[0].0, &ALL),
            site::service(layout, 1, TARGETS[1].0, &[Protocol::Http]),
        ],
        rules: vec![Rule {
            service: "orders".into(),
            method: Some("POST".into()),
            path_prefix: Some("/orders".into()),
            non_idempotent: Some(true),
            class: None,
        }],
        ..Register::empty()
    }
}

async fn build(config: site::Config) -> io::Result<site::Site> {
    let layout = config.layout;
    let mut site = site::Site::start(config, register(layout)).await?;
    let mut host = 0;
    for (service, (name, count)) in TARGETS.into_iter().enumerate() {
        let protocols = if service == 0 { &ALL[..] } else { &ALL[2..] };
        for number in 0..count {
            let name = format!("{name}-{number}");
            let zone = site::ZONES[usize::from(number) % site::ZONES.len()];
            let target = layout.target(host, &name, protocols);
            site.add_target(service, target, zone).await?;
            host += 1;
        }
    }
    site.publish().await?;
    for number in 0..BALANCERS {
        let zone = site::ZONES[usize::from(number) % site::ZONES.len()];
        site.add_balancer(number, &format!("balancer-{number}"), zone)
            .await?;
    }
    for number in 0..BALANCERS {
        site.await_ready(&format!("balancer-{number}")).await?;
    }
    Ok(site)
}

async fn replace(site: &mut site::Site, findings: &mut Findings) -> io::Result<()> {
    let (old, new) = ("balancer-1", "balancer-6");
    site.add_balancer(BALANCERS, new, "zone-b").await?;
    site.await_ready(new).await?;
    let lag = Duration::from_millis(300);
    match site.stop_balancer(old, lag, DRAIN).await {
        Ok(status) => findings.graceful = status.success(),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            site.kill_balancer(old)?;
            site.remove_balancer(old).await?;
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn roll(site: &mut site::Site, findings: &mut Findings) -> io::Result<()> {
    let old = "orders-3";
    let new = site.layout().target(40, "orders-14", &ALL);
    site.add_target(0, new, "zone-a").await?;
    for target in &mut site.register.services[0].targets {
        target.leaving |= &*target.name == old;
    }
    site.publish().await?;
    time::sleep(EFFECT).await;
    let before = site.counts(old).await?;
    time::sleep(CALM / 2).await;
    let after = site.counts(old).await?;
    findings.new_work_of_leaving = work(&after) - work(&before);
    Ok(())
}

/// Flows and requests that a target took on.
fn work(counts: &target::Counts) -> u64 {
    counts.udp_flows + counts.tcp_flows + counts.completed + counts.cancelled
}

async fn set_zone(site: &mut site::Site, out: bool) -> io::Result<()> {
    for zone in &mut site.register.zones {
        if &*zone.name == "zone-c" {
            zone.out = out;
        }
    }
    site.publish().await
}

async fn zone_out(site: &mut site::Site, findings: &mut Findings) -> io::Result<()> {
    findings.out_targets = members(site, "zone-c");
    findings.out_from = Some(Instant::now());
    set_zone(site, true).await?;
    time::sleep(EFFECT).await;
    let before = packets(site, &findings.out_targets).await?;
    time::sleep(CALM).await;
    let after = packets(site, &findings.out_targets).await?;
    findings.packets_after_out = after.values().sum::<u64>() - before.values().sum::<u64>();
    Ok(())
}

fn members(site: &site::Site, zone: &str) -> BTreeSet<String> {
    let targets = site
        .targets
        .iter()
        .filter(|(_, target)| target.zone == zone);
    targets.map(|(name, _)| name.clone()).collect()
}

/// Traffic that each target has received.
async fn packets(site: &site::Site, names: &BTreeSet<String>) -> io::Result<BTreeMap<String, u64>> {
    let mut packets = BTreeMap::new();
    for name in names {
        let counts = site.counts(name).await?;
        let received = counts.datagrams + counts.tcp_bytes + work(&counts) + counts.shed;
        packets.insert(name.clone(), received);
    }
    Ok(packets)
}
