//! Balancers that are killed, added, replaced and stopped under load.

mod support;

use std::{
    collections::BTreeSet,
    io,
    time::Duration, //
};

use mulberrynotch_standin::{
    caller::{
        Report,
        requests::Workers,
        udp, //
    },
    target, //
};
use support::{
    World,
    assert_no_cut,
    balancer, //
};

/// UDP flows of a test.
const FLOWS: usize = 60;

/// Answers on these flows that show that all of them go on: 25 for each.
const ANSWERS: u64 = 1_500;

/// Asserts that no flow broke and that each has the instance that it had before.
async fn assert_flows_go_on(world: &World, flows: &udp::Flows, before: &Report, when: &str) {
    let instances = &before.instances;
    world.echoed(|| flows.report(), ANSWERS).await;
    let report = flows.report();
    let broken: BTreeSet<usize> = report.breaks.iter().map(|it| it.flow).collect();
    assert!(broken.is_empty(), "broken flows {when}: {broken:?}");
    assert_eq!(report.instances, *instances);
    assert_eq!(report.established, FLOWS);
}

/// Workers that send idempotent requests and orders without a key over both versions of HTTP.
fn load(world: &World) -> Vec<Workers> {
    let mut groups = Vec::new();
    for http2 in [false, true] {
        let mut reads = world.requests(0, &format!("orders-read-{http2}"));
        reads.http2 = http2;
        let mut orders = world.orders(0, &format!("orders-order-{http2}"));
        (orders.http2, orders.key, orders.resends) = (http2, false, 0);
        groups.push(Workers::start(&reads, 1));
        groups.push(Workers::start(&orders, 1));
    }
    groups
}

/// Asserts that all workers get answers and no request was cut.
async fn assert_requests_go_on(world: &World, load: &[Workers]) {
    for workers in load {
        world.answered(workers, 20).await;
        assert_no_cut(&workers.report());
    }
}

/// Guards against flows that move to another target when a balancer dies or joins.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flows_keep_their_target_over_a_kill_and_a_join() -> io::Result<()> {
    let mut world = World::start(201, &["orders"], 2, 2).await?;
    let flows = world.udp(0, FLOWS).await?;
    let before = flows.report();
    assert_flows_go_on(&world, &flows, &before, "at first").await;
    world.quiet().await;
    world.kill(0).await?;
    assert_flows_go_on(&world, &flows, &before, "after the kill").await;
    world.quiet().await;
    world.join(6).await?;
    world.steady().await;
    assert_flows_go_on(&world, &flows, &before, "after the join").await;
    Ok(())
}

/// Guards against a planned replacement that moves a flow, cuts a request or does not end cleanly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_replacement_breaks_no_flow_and_cuts_no_request() -> io::Result<()> {
    let mut world = World::start(202, &["orders"], 2, 1).await?;
    let flows = world.udp(0, FLOWS).await?;
    let before = flows.report();
    let load = load(&world);
    for number in 0..3 {
        world.join(number + 3).await?;
        assert_flows_go_on(&world, &flows, &before, "after a join").await;
        world.begin_stop(number).await?;
        world.finish_stop(number).await?;
        assert_flows_go_on(&world, &flows, &before, "after a stop").await;
    }
    world.steady().await;
    assert_flows_go_on(&world, &flows, &before, "at the end").await;
    assert_requests_go_on(&world, &load).await;
    Ok(())
}

/// Guards against two balancers that hand over to each other while both stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_stops_at_once_break_no_flow_and_cut_no_request() -> io::Result<()> {
    // Balancers of different zones, then all balancers of one zone.
    for (seed, pair) in [(203, [0, 1]), (204, [0, 3])] {
        let mut world = World::start(seed, &["orders"], 2, 2).await?;
        let flows = world.udp(0, FLOWS).await?;
        let before = flows.report();
        let load = load(&world);
        for number in pair {
            world.begin_stop(number).await?;
        }
        for number in pair {
            world.finish_stop(number).await?;
        }
        world.steady().await;
        assert_flows_go_on(&world, &flows, &before, "at the end").await;
        assert_requests_go_on(&world, &load).await;
    }
    Ok(())
}

/// Guards against a handover that mixes up with targets that join and leave at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_during_a_register_change_breaks_no_flow() -> io::Result<()> {
    let mut world = World::start(205, &["orders"], 2, 2).await?;
    let flows = world.udp(0, FLOWS).await?;
    let before = flows.report();
    let load = load(&world);
    let layout = world.site.layout();
    for (number, zone) in [(0, "zone-a"), (1, "zone-b")] {
        world.begin_stop(number).await?;
        let target = layout.target(40 + number, &format!("orders-new{number}"), &support::ALL);
        world.site.add_target(0, target, zone).await?;
        world.site.publish().await?;
        world.finish_stop(number).await?;
    }
    world.steady().await;
    assert_flows_go_on(&world, &flows, &before, "at the end").await;
    assert_requests_go_on(&world, &load).await;
    Ok(())
}

/// Guards against a stop that does not wait for requests that are in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_long_requests() -> io::Result<()> {
    let mut world = World::start(206, &["orders"], 1, 1).await?;
    for name in world.site.targets.keys() {
        let behaviour = target::Behaviour {
            work_ms: 3_000,
            ..target::Behaviour::default()
        };
        world.site.behave(name, &behaviour).await?;
    }
    let mut config = world.orders(0, "orders-long");
    (config.key, config.resends) = (false, 0);
    config.deadline = Duration::from_secs(10);
    let workers = Workers::start(&config, 6);
    let name = balancer(0);
    world
        .until("requests in progress", async || {
            let dump = world.site.dump(&name).await.ok()?;
            (dump["requests"]["in_progress"].as_u64()? > 0).then_some(())
        })
        .await;
    world.begin_stop(0).await?;
    world.finish_stop(0).await?;
    world.answered(&workers, 3).await;
    assert_no_cut(&workers.report());
    Ok(())
}

/// Guards against a stop that closes TCP flows which callers still use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_tcp_flows() -> io::Result<()> {
    let mut world = World::start(207, &["orders"], 1, 1).await?;
    let flows = world.tcp(0, 20).await;
    world.begin_stop(0).await?;
    world.echoed(|| flows.report(), 200).await;
    assert_eq!(flows.report().breaks, []);
    drop(flows);
    world.finish_stop(0).await
}
