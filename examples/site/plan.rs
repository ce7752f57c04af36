//! The sequence of events that the site goes through.

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
        print_results, //
    },
};

/// Names of the two services, with their numbers of targets.
const TARGETS: [(&str, u8); 2] = [("orders", 14), ("gallery", 4)];
/// Number of balancers at the start.
const BALANCERS: u8 = 6;
/// Time within which a publication takes effect on all balancers.
const EFFECT_TIME: Duration = Duration::from_secs(4);
/// Time of undisturbed load between two events.
const STEADY_TIME: Duration = Duration::from_secs(4);
/// Time limit of a graceful shutdown: the drain limit of the settings (10 s) with a margin.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(13);

const ALL_PROTOCOLS: [Protocol; 3] = [Protocol::Udp, Protocol::Tcp, Protocol::Http];

/// Runs all events; returns false when a guarantee was violated.
pub(crate) async fn run(config: site::Config) -> io::Result<bool> {
    let start = Instant::now();
    let log_step = |text: &str| println!("{:5.1} s  {text}", start.elapsed().as_secs_f64());
    log_step("starting platform, fabric, 18 targets and 6 balancers");
    let mut site = build(config).await?;
    log_step("starting flows and requests");
    let load = Load::start(site.layout()).await?;
    time::sleep(STEADY_TIME).await;
    let mut findings = Findings {
        started: Some(start),
        placement: load.udp.report().instances,
        ..Findings::default()
    };

    log_step("replacing a balancer");
    replace_balancer(&mut site, &mut findings).await?;
    time::sleep(STEADY_TIME / 2).await;

    log_step("rolling a target");
    roll_target(&mut site, &mut findings).await?;

    log_step("taking zone-c out of service");
    take_zone_out(&mut site, &mut findings).await?;
    log_step("returning zone-c to service");
    set_zone_out(&mut site, false).await?;
    time::sleep(EFFECT_TIME + STEADY_TIME).await;

    log_step("stopping the load");
    let result = print_results(&site, &load, &findings).await?;
    drop(load);
    drop(site);
    log_step("done");
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
            site::service(layout, 0, TARGETS[0].0, &ALL_PROTOCOLS),
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
        let protocols = if service == 0 {
            &ALL_PROTOCOLS[..]
        } else {
            &ALL_PROTOCOLS[2..]
        };
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

async fn replace_balancer(site: &mut site::Site, findings: &mut Findings) -> io::Result<()> {
    let (old, new) = ("balancer-1", "balancer-6");
    site.add_balancer(BALANCERS, new, "zone-b").await?;
    site.await_ready(new).await?;
    let lag = Duration::from_millis(300);
    match site.stop_balancer(old, lag, SHUTDOWN_TIMEOUT).await {
        Ok(status) => findings.is_graceful_stop = status.success(),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            site.kill_balancer(old)?;
            site.remove_balancer(old).await?;
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

async fn roll_target(site: &mut site::Site, findings: &mut Findings) -> io::Result<()> {
    let old = "orders-3";
    let new = site.layout().target(40, "orders-14", &ALL_PROTOCOLS);
    site.add_target(0, new, "zone-a").await?;
    for target in &mut site.register.services[0].targets {
        target.leaving |= &*target.name == old;
    }
    site.publish().await?;
    time::sleep(EFFECT_TIME).await;
    let before = site.counts(old).await?;
    time::sleep(STEADY_TIME / 2).await;
    let after = site.counts(old).await?;
    findings.work_while_leaving = accepted_work(&after) - accepted_work(&before);
    Ok(())
}

/// Returns the number of flows and requests that a target accepted.
fn accepted_work(counts: &target::Counts) -> u64 {
    counts.udp_flows + counts.tcp_flows + counts.completed + counts.cancelled
}

async fn set_zone_out(site: &mut site::Site, out: bool) -> io::Result<()> {
    for zone in &mut site.register.zones {
        if &*zone.name == "zone-c" {
            zone.out = out;
        }
    }
    site.publish().await
}

async fn take_zone_out(site: &mut site::Site, findings: &mut Findings) -> io::Result<()> {
    findings.out_targets = targets_in_zone(site, "zone-c");
    findings.out_since = Some(Instant::now());
    set_zone_out(site, true).await?;
    time::sleep(EFFECT_TIME).await;
    let before = received_traffic(site, &findings.out_targets).await?;
    time::sleep(STEADY_TIME).await;
    let after = received_traffic(site, &findings.out_targets).await?;
    findings.traffic_after_out = after.values().sum::<u64>() - before.values().sum::<u64>();
    Ok(())
}

fn targets_in_zone(site: &site::Site, zone: &str) -> BTreeSet<String> {
    let targets = site
        .targets
        .iter()
        .filter(|(_, target)| target.zone == zone);
    targets.map(|(name, _)| name.clone()).collect()
}

/// Returns the traffic that each target has received.
async fn received_traffic(
    site: &site::Site,
    names: &BTreeSet<String>,
) -> io::Result<BTreeMap<String, u64>> {
    let mut traffic = BTreeMap::new();
    for name in names {
        let counts = site.counts(name).await?;
        let received = counts.datagrams + counts.tcp_bytes + accepted_work(&counts) + counts.shed;
        traffic.insert(name.clone(), received);
    }
    Ok(traffic)
}
