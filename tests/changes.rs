//! Tests of balancers that are killed, added, replaced and stopped under load.

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
    Fixture,
    assert_no_interrupted_request,
    balancer, //
};

/// UDP flows of a test.
const FLOWS: usize = 60;

/// Number of answers that shows that all flows continue: 25 for each.
const ANSWERS: u64 = 1_500;

/// Asserts that no flow broke and that each is still on the instance that it had before.
async fn assert_flows_continue(
    fixture: &Fixture,
    flows: &udp::Flows,
    before: &Report,
    phase: &str,
) {
    let instances = &before.instances;
    fixture.wait_for_echoes(|| flows.report(), ANSWERS).await;
    let report = flows.report();
    let broken: BTreeSet<usize> = report.breaks.iter().map(|it| it.flow).collect();
    assert!(broken.is_empty(), "broken flows {phase}: {broken:?}");
    assert_eq!(report.instances, *instances);
    assert_eq!(report.established, FLOWS);
}

/// Starts workers that send idempotent requests and orders without a key over both versions of HTTP.
fn start_load(fixture: &Fixture) -> Vec<Workers> {
    let mut groups = Vec::new();
    for http2 in [false, true] {
        let mut reads = fixture.idempotent_requests(0, &format!("orders-read-{http2}"));
        reads.http2 = http2;
        let mut orders = fixture.orders(0, &format!("orders-order-{http2}"));
        (orders.http2, orders.key, orders.resends) = (http2, false, 0);
        groups.push(Workers::start(&reads, 1));
        groups.push(Workers::start(&orders, 1));
    }
    groups
}

/// Asserts that all workers get answers and no request was interrupted.
async fn assert_requests_continue(fixture: &Fixture, load: &[Workers]) {
    for workers in load {
        fixture.wait_for_answers(workers, 20).await;
        assert_no_interrupted_request(&workers.report());
    }
}

/// Guards against flows that move to another target when a balancer dies or joins.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flows_keep_their_target_over_a_kill_and_a_join() -> io::Result<()> {
    let mut fixture = Fixture::start(201, &["orders"], 2, 2).await?;
    let flows = fixture.open_udp_flows(0, FLOWS).await?;
    let before = flows.report();
    assert_flows_continue(&fixture, &flows, &before, "at first").await;
    fixture.wait_for_redirects().await;
    fixture.kill(0).await?;
    assert_flows_continue(&fixture, &flows, &before, "after the kill").await;
    fixture.wait_for_redirects().await;
    fixture.join(6).await?;
    fixture.wait_until_converged().await;
    assert_flows_continue(&fixture, &flows, &before, "after the join").await;
    Ok(())
}

/// Guards against a planned replacement that moves a flow, interrupts a request or does not exit
/// cleanly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_replacement_interrupts_no_flow_and_no_request() -> io::Result<()> {
    let mut fixture = Fixture::start(202, &["orders"], 2, 1).await?;
    let flows = fixture.open_udp_flows(0, FLOWS).await?;
    let before = flows.report();
    let load = start_load(&fixture);
    for number in 0..3 {
        fixture.join(number + 3).await?;
        assert_flows_continue(&fixture, &flows, &before, "after a join").await;
        fixture.begin_stop(number).await?;
        fixture.finish_stop(number).await?;
        assert_flows_continue(&fixture, &flows, &before, "after a stop").await;
    }
    fixture.wait_until_converged().await;
    assert_flows_continue(&fixture, &flows, &before, "at the end").await;
    assert_requests_continue(&fixture, &load).await;
    Ok(())
}

/// Guards against two balancers that hand over to each other while both stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_concurrent_stops_interrupt_no_flow_and_no_request() -> io::Result<()> {
    // Balancers of different zones, then all balancers of one zone.
    for (seed, pair) in [(203, [0, 1]), (204, [0, 3])] {
        let mut fixture = Fixture::start(seed, &["orders"], 2, 2).await?;
        let flows = fixture.open_udp_flows(0, FLOWS).await?;
        let before = flows.report();
        let load = start_load(&fixture);
        for number in pair {
            fixture.begin_stop(number).await?;
        }
        for number in pair {
            fixture.finish_stop(number).await?;
        }
        fixture.wait_until_converged().await;
        assert_flows_continue(&fixture, &flows, &before, "at the end").await;
        assert_requests_continue(&fixture, &load).await;
    }
    Ok(())
}

/// Guards against a handover that conflicts with targets that join and leave at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_during_a_register_change_breaks_no_flow() -> io::Result<()> {
    let mut fixture = Fixture::start(205, &["orders"], 2, 2).await?;
    let flows = fixture.open_udp_flows(0, FLOWS).await?;
    let before = flows.report();
    let load = start_load(&fixture);
    let layout = fixture.site.layout();
    for (number, zone) in [(0, "zone-a"), (1, "zone-b")] {
        fixture.begin_stop(number).await?;
        let target = layout.target(
            40 + number,
            &format!("orders-new{number}"),
            &support::ALL_PROTOCOLS,
        );
        fixture.site.add_target(0, target, zone).await?;
        fixture.site.publish().await?;
        fixture.finish_stop(number).await?;
    }
    fixture.wait_until_converged().await;
    assert_flows_continue(&fixture, &flows, &before, "at the end").await;
    assert_requests_continue(&fixture, &load).await;
    Ok(())
}

/// Guards against a shutdown that does not wait for requests in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_long_requests() -> io::Result<()> {
    let mut fixture = Fixture::start(206, &["orders"], 1, 1).await?;
    for name in fixture.site.targets.keys() {
        let behaviour = target::Behaviour {
            work_ms: 3_000,
            ..target::Behaviour::default()
        };
        fixture.site.set_target_behaviour(name, &behaviour).await?;
    }
    let mut config = fixture.orders(0, "orders-long");
    (config.key, config.resends) = (false, 0);
    config.deadline = Duration::from_secs(10);
    let workers = Workers::start(&config, 6);
    let name = balancer(0);
    fixture
        .wait_for("requests in progress", async || {
            let dump = fixture.site.dump(&name).await.ok()?;
            (dump["requests"]["in_progress"].as_u64()? > 0).then_some(())
        })
        .await;
    fixture.begin_stop(0).await?;
    fixture.finish_stop(0).await?;
    fixture.wait_for_answers(&workers, 3).await;
    assert_no_interrupted_request(&workers.report());
    Ok(())
}

/// Guards against a shutdown that closes TCP flows that callers still use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_tcp_flows() -> io::Result<()> {
    let mut fixture = Fixture::start(207, &["orders"], 1, 1).await?;
    let flows = fixture.open_tcp_flows(0, 20).await;
    fixture.begin_stop(0).await?;
    fixture.wait_for_echoes(|| flows.report(), 200).await;
    assert_eq!(flows.report().breaks, []);
    drop(flows);
    fixture.finish_stop(0).await
}
