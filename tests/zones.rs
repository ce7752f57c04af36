//! Tests of availability zones that operators take out of service and return.

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
    Fixture,
    assert_no_interrupted_request,
    balancer, //
};

/// Index in the register of the zone that is taken out of service.
const ZONE_OUT: usize = 2;

/// Pause that a balancer is certain to detect: 1 s without a tick counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Flows and requests to all zones.
struct Load {
    udp: udp::Flows,
    tcp: stream::Flows,
    workers: Workers,
}

impl Load {
    async fn start(fixture: &Fixture) -> io::Result<Self> {
        let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 6);
        let load = Self {
            udp: fixture.open_udp_flows(0, 30).await?,
            tcp: fixture.open_tcp_flows(0, 30).await,
            workers,
        };
        fixture.wait_for_answers(&load.workers, 50).await;
        Ok(load)
    }

    /// Waits until all flows and requests get answers from the zones in service.
    async fn wait_until_answered(&self, fixture: &Fixture) {
        fixture.wait_for_echoes(|| self.udp.report(), 300).await;
        fixture.wait_for_echoes(|| self.tcp.report(), 300).await;
        fixture.wait_for_answers(&self.workers, 100).await;
    }

    /// Asserts that only flows of the zone out of service broke.
    fn assert_other_zones_unaffected(&self, fixture: &Fixture) {
        for report in [self.udp.report(), self.tcp.report()] {
            let out = broken_in_other_zones(fixture, &report);
            assert!(out.is_empty(), "{out:?}");
        }
        assert_no_interrupted_request(&self.workers.report());
    }
}

/// Returns the instances in other zones that lost flows.
fn broken_in_other_zones(fixture: &Fixture, report: &Report) -> Vec<String> {
    let is_out = |instance: &str| {
        let name = instance.split('#').next().unwrap_or("");
        fixture.site.targets[name].zone == *fixture.site.register.zones[ZONE_OUT].name
    };
    let instances = report.breaks.iter().map(|it| it.instance.clone());
    instances.filter(|it| !is_out(it)).collect()
}

async fn set_zone_out(fixture: &mut Fixture, out: bool) -> io::Result<()> {
    fixture.site.register.zones[ZONE_OUT].out = out;
    fixture.site.publish().await
}

/// Returns the counts of received traffic at the targets of the zone.
async fn zone_traffic(fixture: &Fixture) -> io::Result<Vec<target::Counts>> {
    let mut all = Vec::new();
    for (name, counts) in fixture.counts("orders").await? {
        if fixture.site.targets[&name].zone == *fixture.site.register.zones[ZONE_OUT].name {
            // The other counts also change when requests and flows end late.
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

/// Waits until the register is in effect at all balancers except `paused`.
async fn wait_for_register_except(fixture: &Fixture, paused: &str) {
    let revision = fixture.site.register.revision;
    fixture
        .wait_for("register in effect elsewhere", async || {
            for name in fixture.balancer_names().iter().filter(|it| *it != paused) {
                let dump: Value = fixture.site.dump(name).await.ok()?;
                if dump["control"]["revision"] != revision {
                    return None;
                }
            }
            Some(())
        })
        .await;
}

/// Guards against packets to a zone out of service, broken flows in other zones, and a zone that gets
/// no work after its return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_goes_out_and_returns() -> io::Result<()> {
    let mut fixture = Fixture::start(501, &["orders"], 1, 2).await?;
    let load = Load::start(&fixture).await?;
    set_zone_out(&mut fixture, true).await?;
    fixture.wait_for_register().await;
    let before = zone_traffic(&fixture).await?;
    load.wait_until_answered(&fixture).await;
    assert_eq!(zone_traffic(&fixture).await?, before);
    load.assert_other_zones_unaffected(&fixture);
    set_zone_out(&mut fixture, false).await?;
    fixture.wait_until_converged().await;
    let more = fixture.open_udp_flows(0, 60).await?;
    fixture
        .wait_for("work in the zone that returned", async || {
            let now = zone_traffic(&fixture).await.ok()?;
            let pairs = || now.iter().zip(&before);
            let flows = pairs().any(|(now, old)| now.udp_flows > old.udp_flows);
            let requests = pairs().any(|(now, old)| now.orders.len() > old.orders.len());
            (flows && requests).then_some(())
        })
        .await;
    load.wait_until_answered(&fixture).await;
    load.assert_other_zones_unaffected(&fixture);
    assert_eq!(more.report().breaks, []);
    Ok(())
}

/// Takes the zone out of service while a balancer is paused, and stops the platform right after.
async fn take_out_during_a_pause(seed: u64, number: u8) -> io::Result<()> {
    let mut fixture = Fixture::start(seed, &["orders"], 1, 2).await?;
    let load = Load::start(&fixture).await?;
    let paused = balancer(number);
    let paused_at = Instant::now();
    fixture.site.balancers[&paused].process.signal("STOP")?;
    set_zone_out(&mut fixture, true).await?;
    let reached = fixture
        .balancer_names()
        .into_iter()
        .find(|it| *it != paused);
    let reached = reached.expect("other balancers");
    fixture
        .wait_for("one balancer reached", async || {
            let dump = fixture.site.dump(&reached).await.ok()?;
            (dump["control"]["revision"] == fixture.site.register.revision).then_some(())
        })
        .await;
    let down = platform::Behaviour {
        down: true,
        ..platform::Behaviour::default()
    };
    fixture.site.set_platform_behaviour(&down).await?;
    wait_for_register_except(&fixture, &paused).await;
    let before = zone_traffic(&fixture).await?;
    fixture.wait_for_answers(&load.workers, 20).await;
    // A shorter pause cannot be distinguished from a slow process, which has 4 s to apply a change.
    tokio::time::sleep(MIN_PAUSE.saturating_sub(paused_at.elapsed())).await;
    fixture.site.balancers[&paused].process.signal("CONT")?;
    fixture.wait_for_register().await;
    load.wait_until_answered(&fixture).await;
    assert_eq!(zone_traffic(&fixture).await?, before);
    Ok(())
}

/// Guards against a balancer that resumes with a stale view and sends to the zone out of service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_balancer_of_another_zone_sends_nothing_to_a_zone_that_went_out() -> io::Result<()>
{
    take_out_during_a_pause(502, 0).await
}

/// Guards against an owner in the zone that resumes and delivers packets that were still unread.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_balancer_of_the_zone_that_went_out_delivers_nothing() -> io::Result<()> {
    take_out_during_a_pause(503, 2).await
}

/// Guards against a register that reaches only the readers when the platform fails after its
/// publication.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_goes_out_when_the_platform_fails_after_the_publication() -> io::Result<()> {
    let mut fixture = Fixture::start(504, &["orders"], 1, 3).await?;
    let load = Load::start(&fixture).await?;
    set_zone_out(&mut fixture, true).await?;
    let down = platform::Behaviour {
        down: true,
        ..platform::Behaviour::default()
    };
    fixture
        .wait_for("one balancer reached", async || {
            let dumps = fixture.dumps().await?;
            let revision = fixture.site.register.revision;
            let reached = |it: &Value| it["control"]["revision"] == revision;
            dumps.iter().any(reached).then_some(())
        })
        .await;
    fixture.site.set_platform_behaviour(&down).await?;
    fixture.wait_for_register().await;
    let before = zone_traffic(&fixture).await?;
    load.wait_until_answered(&fixture).await;
    assert_eq!(zone_traffic(&fixture).await?, before);
    load.assert_other_zones_unaffected(&fixture);
    Ok(())
}
