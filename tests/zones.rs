//! Availability zones that operators take out of service and return.

mod support;

use std::{
    io,
    time::{
        Duration,
        Instant, //
    },
};

use mulberrynotch_standin::{
    caller::{
        Report,
        requests::Workers,
        stream,
        udp, //
    },
    platform,
    target, //
};
use serde_json::Value;
use support::{
    World,
    assert_no_cut,
    balancer, //
};

/// Zone that is taken out, as position in the register.
const OUT: usize = 2;

/// Pause that a balancer notices for certain; it takes a second without a tick for one.
const LEAST_PAUSE: Duration = Duration::from_millis(1_500);

/// Load on all zones.
struct Load {
    udp: udp::Flows,
    tcp: stream::Flows,
    workers: Workers,
}

impl Load {
    async fn start(world: &World) -> io::Result<Self> {
        let workers = Workers::start(&world.requests(0, "orders-read"), 6);
        let load = Self {
            udp: world.udp(0, 30).await?,
            tcp: world.tcp(0, 30).await,
            workers,
        };
        world.answered(&load.workers, 50).await;
        Ok(load)
    }

    /// Waits until all kinds of load had answers from the zones that are in service.
    async fn goes_on(&self, world: &World) {
        world.echoed(|| self.udp.report(), 300).await;
        world.echoed(|| self.tcp.report(), 300).await;
        world.answered(&self.workers, 100).await;
    }

    /// Asserts that flows broke only where the zone went out.
    fn assert_others_stay(&self, world: &World) {
        for report in [self.udp.report(), self.tcp.report()] {
            let out = broken_outside(world, &report);
            assert!(out.is_empty(), "{out:?}");
        }
        assert_no_cut(&self.workers.report());
    }
}

/// Instances outside the zone that lost flows.
fn broken_outside(world: &World, report: &Report) -> Vec<String> {
    let is_out = |instance: &str| {
        let name = instance.split('#').next().unwrap_or("");
        world.site.targets[name].zone == *world.site.register.zones[OUT].name
    };
    let instances = report.breaks.iter().map(|it| it.instance.clone());
    instances.filter(|it| !is_out(it)).collect()
}

async fn take_out(world: &mut World, out: bool) -> io::Result<()> {
    world.site.register.zones[OUT].out = out;
    world.site.publish().await
}

/// What the targets of the zone have received.
async fn received(world: &World) -> io::Result<Vec<target::Counts>> {
    let mut all = Vec::new();
    for (name, counts) in world.counts("orders").await? {
        if world.site.targets[&name].zone == *world.site.register.zones[OUT].name {
            // Requests and flows that end late change other counts.
            all.push(target::Counts {
                udp_flows: counts.udp_flows,
                datagrams: counts.datagrams,
                tcp_flows: counts.tcp_flows,
                tcp_bytes: counts.tcp_bytes,
                orders: counts.orders,
                ..target::Counts::default()
            });
        }
    }
    Ok(all)
}

/// Waits until the register is in effect at all balancers but one.
async fn in_effect_without(world: &World, paused: &str) {
    let revision = world.site.register.revision;
    world
        .until("register in effect elsewhere", async || {
            for name in world.names().iter().filter(|it| *it != paused) {
                let dump: Value = world.site.dump(name).await.ok()?;
                if dump["control"]["revision"] != revision {
                    return None;
                }
            }
            Some(())
        })
        .await;
}

/// Guards against packets for a zone that went out, broken flows elsewhere, and a zone that gets no
/// work after its return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_goes_out_and_returns() -> io::Result<()> {
    let mut world = World::start(501, &["orders"], 1, 2).await?;
    let load = Load::start(&world).await?;
    take_out(&mut world, true).await?;
    world.in_effect().await;
    let before = received(&world).await?;
    load.goes_on(&world).await;
    assert_eq!(received(&world).await?, before);
    load.assert_others_stay(&world);
    take_out(&mut world, false).await?;
    world.steady().await;
    let more = world.udp(0, 60).await?;
    world
        .until("work in the zone that returned", async || {
            let now = received(&world).await.ok()?;
            let pairs = || now.iter().zip(&before);
            let flows = pairs().any(|(now, old)| now.udp_flows > old.udp_flows);
            let requests = pairs().any(|(now, old)| now.orders.len() > old.orders.len());
            (flows && requests).then_some(())
        })
        .await;
    load.goes_on(&world).await;
    load.assert_others_stay(&world);
    assert_eq!(more.report().breaks, []);
    Ok(())
}

/// Takes the zone out while a balancer is paused and the platform fails right after.
async fn take_out_during_a_pause(seed: u64, number: u8) -> io::Result<()> {
    let mut world = World::start(seed, &["orders"], 1, 2).await?;
    let load = Load::start(&world).await?;
    let paused = balancer(number);
    let paused_at = Instant::now();
    world.site.balancers[&paused].process.signal("STOP")?;
    take_out(&mut world, true).await?;
    let reached = world.names().into_iter().find(|it| *it != paused);
    let reached = reached.expect("other balancers");
    world
        .until("one balancer reached", async || {
            let dump = world.site.dump(&reached).await.ok()?;
            (dump["control"]["revision"] == world.site.register.revision).then_some(())
        })
        .await;
    let down = platform::Behaviour {
        down: true,
        ..platform::Behaviour::default()
    };
    world.site.platform(&down).await?;
    in_effect_without(&world, &paused).await;
    let before = received(&world).await?;
    world.answered(&load.workers, 20).await;
    // A shorter pause cannot be told from a slow process, which has 4 s for a change.
    tokio::time::sleep(LEAST_PAUSE.saturating_sub(paused_at.elapsed())).await;
    world.site.balancers[&paused].process.signal("CONT")?;
    world.in_effect().await;
    load.goes_on(&world).await;
    assert_eq!(received(&world).await?, before);
    Ok(())
}

/// Guards against a balancer that resumes with a stale view and sends to the zone that went out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_balancer_of_another_zone_sends_nothing_to_a_zone_that_went_out() -> io::Result<()>
{
    take_out_during_a_pause(502, 0).await
}

/// Guards against an owner in the zone that resumes and delivers what it had not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_balancer_of_the_zone_that_went_out_delivers_nothing() -> io::Result<()> {
    take_out_during_a_pause(503, 2).await
}

/// Guards against a publication that reaches only the readers when the platform fails after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_goes_out_although_the_platform_fails_after_the_publication() -> io::Result<()> {
    let mut world = World::start(504, &["orders"], 1, 3).await?;
    let load = Load::start(&world).await?;
    take_out(&mut world, true).await?;
    let down = platform::Behaviour {
        down: true,
        ..platform::Behaviour::default()
    };
    world
        .until("one balancer reached", async || {
            let dumps = world.dumps().await?;
            let revision = world.site.register.revision;
            let reached = |it: &Value| it["control"]["revision"] == revision;
            dumps.iter().any(reached).then_some(())
        })
        .await;
    world.site.platform(&down).await?;
    world.in_effect().await;
    let before = received(&world).await?;
    load.goes_on(&world).await;
    assert_eq!(received(&world).await?, before);
    load.assert_others_stay(&world);
    Ok(())
}
