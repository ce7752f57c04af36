//! Tests of targets that shed load, become cold, leave and die.

mod support;

use std::io;

use mulberrynotch_standin::{
    caller::{
        requests::Workers,
        stream,
        udp, //
    },
    target, //
};
use serde_json::Value;
use support::{
    Fixture,
    assert_no_interrupted_request, //
};

/// Limit on the requests that a target may fail after it becomes cold without notice: those that it
/// ran or was sent before the first failure was observed, and the two that make up a burst.
const MAX_COLLAPSED: u64 = 4;

async fn counts(fixture: &Fixture, name: &str) -> io::Result<target::Counts> {
    fixture.site.counts(name).await
}

/// Guards against more than one concurrent request at targets that have just started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_that_just_started_are_not_overloaded() -> io::Result<()> {
    let mut fixture = Fixture::start(401, &["orders"], 1, 2).await?;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 12);
    fixture.wait_for_answers(&workers, 50).await;
    let layout = fixture.site.layout();
    for number in 0..2 {
        let mut target = layout.target(
            40 + number,
            &format!("orders-new{number}"),
            &support::ALL_PROTOCOLS,
        );
        target.cold_requests = 20;
        fixture.site.add_target(0, target, "zone-b").await?;
    }
    fixture.site.publish().await?;
    for name in ["orders-new0", "orders-new1"] {
        let warm = async || (counts(&fixture, name).await.ok()?.completed > 100).then_some(());
        fixture.wait_for("requests at the new target", warm).await;
    }
    for (name, counts) in fixture.counts("orders").await? {
        assert_eq!(counts.collapsed, 0, "{name}");
    }
    assert_no_interrupted_request(&workers.report());
    Ok(())
}

/// Guards against a concurrency limit that stays above the capacity of a target, and against shed
/// requests that fail for the caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_sheds_load_gets_fewer_requests() -> io::Result<()> {
    let mut fixture = Fixture::prepare(402, &["orders"], 1).await?;
    // The register states two slots, but the target has one.
    let mut shedding = fixture
        .site
        .layout()
        .target(40, "orders-shedding", &support::ALL_PROTOCOLS);
    (shedding.slots, shedding.cold_requests) = (1, 0);
    fixture.site.add_target(0, shedding, "zone-a").await?;
    let entry = fixture.site.register.services[0].targets.last_mut();
    entry.expect("added").slots = 2;
    fixture.start_balancers(1).await?;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 12);
    let shed = async || (counts(&fixture, "orders-shedding").await.ok()?.shed > 0).then_some(());
    fixture.wait_for("load that is shed", shed).await;
    fixture.wait_for_answers(&workers, 1_000).await;
    let counts = counts(&fixture, "orders-shedding").await?;
    // Each increase of the limit costs one shed request and takes at least eight answers.
    assert!(counts.shed * 8 <= counts.completed + 8, "{counts:?}");
    assert_no_interrupted_request(&workers.report());
    Ok(())
}

/// Guards against unchanged load on a target that becomes cold while its report shows a low load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_becomes_cold_without_notice_gets_less_load() -> io::Result<()> {
    let fixture = Fixture::start(403, &["orders"], 1, 1).await?;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 12);
    let warm = async || {
        let dumps = fixture.dumps().await?;
        let is_warm = |it: &Value| it["limit"]["phase"] == "warm";
        let all = dumps.iter().all(|dump| {
            let owned = dump["requests"]["status"]["owned"].as_array();
            owned.into_iter().flatten().all(is_warm)
        });
        all.then_some(())
    };
    fixture.wait_for("warm targets", warm).await;
    let before = counts(&fixture, "orders-0").await?;
    let cold = target::Behaviour {
        cold: true,
        reported_load: Some(10),
        ..target::Behaviour::default()
    };
    fixture.site.set_target_behaviour("orders-0", &cold).await?;
    let completed = async || {
        let after = counts(&fixture, "orders-0").await.ok()?;
        (after.completed > before.completed + 60).then_some(())
    };
    fixture
        .wait_for("requests at the cold target", completed)
        .await;
    let after = counts(&fixture, "orders-0").await?;
    let collapsed = after.collapsed - before.collapsed;
    assert!(collapsed <= MAX_COLLAPSED, "{collapsed} overloads");
    assert_no_interrupted_request(&workers.report());
    Ok(())
}

/// Guards against new work for a target that is marked as leaving, and against the loss of its flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_keeps_its_flows_and_gets_no_new_work() -> io::Result<()> {
    let mut fixture = Fixture::start(404, &["orders"], 2, 1).await?;
    let udp = fixture.open_udp_flows(0, 30).await?;
    let tcp = fixture.open_tcp_flows(0, 30).await;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 6);
    fixture.wait_for_answers(&workers, 50).await;
    fixture.site.register.services[0].targets[0].leaving = true;
    fixture.site.publish().await?;
    fixture.wait_for_register().await;
    // Requests in flight have ended after this many answers.
    fixture.wait_for_answers(&workers, 50).await;
    let before = counts(&fixture, "orders-0").await?;
    let (more_udp, more_tcp) = (
        fixture.open_udp_flows(0, 30).await?,
        fixture.open_tcp_flows(0, 30).await,
    );
    fixture.wait_for_answers(&workers, 100).await;
    let after = counts(&fixture, "orders-0").await?;
    assert_eq!(after.udp_flows, before.udp_flows);
    assert_eq!(after.tcp_flows, before.tcp_flows);
    assert_eq!(after.orders, before.orders);
    assert!(after.datagrams > before.datagrams, "no flow continues");
    fixture.wait_for_echoes(|| udp.report(), 300).await;
    fixture.wait_for_echoes(|| tcp.report(), 300).await;
    for report in [
        udp.report(),
        tcp.report(),
        more_udp.report(),
        more_tcp.report(),
    ] {
        assert_eq!(report.breaks, []);
    }
    assert_no_interrupted_request(&workers.report());
    Ok(())
}

/// Guards against failed requests after the death of a target, and against broken flows on other
/// targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_target_breaks_only_its_own_flows() -> io::Result<()> {
    let mut fixture = Fixture::start(405, &["orders"], 2, 1).await?;
    let udp: udp::Flows = fixture.open_udp_flows(0, 30).await?;
    let tcp: stream::Flows = fixture.open_tcp_flows(0, 30).await;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 6);
    fixture.wait_for_answers(&workers, 50).await;
    drop(fixture.site.targets.remove("orders-0"));
    fixture.wait_for_answers(&workers, 200).await;
    assert_no_interrupted_request(&workers.report());
    fixture.wait_for_echoes(|| udp.report(), 600).await;
    fixture.wait_for_echoes(|| tcp.report(), 600).await;
    for report in [udp.report(), tcp.report()] {
        let own = report.breaks.iter().all(|it| it.instance == "orders-0#1");
        assert!(own, "{:?}", report.breaks);
    }
    Ok(())
}
