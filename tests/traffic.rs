//! End-to-end tests of flows and requests through real processes.

mod support;

use std::io;

use mulberrynotch_standin::caller::requests::Workers;
use support::{
    Fixture,
    assert_no_interrupted_request,
    service_of, //
};

/// Guards against a flow whose datagrams reach two targets because they arrive at different
/// balancers, and against datagrams of one service that reach a target of another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sprayed_datagrams_of_a_flow_reach_one_target() -> io::Result<()> {
    const FLOWS: usize = 30;
    let fixture = Fixture::start(101, &["orders", "gallery"], 1, 2).await?;
    let flows = [
        ("orders", fixture.open_udp_flows(0, FLOWS).await?),
        ("gallery", fixture.open_udp_flows(1, FLOWS).await?),
    ];
    for (service, flows) in &flows {
        fixture.wait_for_echoes(|| flows.report(), 1_500).await;
        let report = flows.report();
        assert_eq!(report.breaks, []);
        let own = |instance: &String| service_of(instance) == *service;
        assert!(report.instances.values().all(own), "{report:?}");
        let counts = fixture.counts(service).await?;
        let seen: u64 = counts.iter().map(|(_, it)| it.udp_flows).sum();
        assert_eq!(seen, 30, "{counts:?}");
    }
    for name in fixture.balancer_names() {
        let dump = fixture.site.dump(&name).await?;
        assert!(dump["peer"]["data_sent"].as_u64() > Some(0), "{dump}");
        assert_eq!(dump["flow"]["status"]["drops"]["wrong_service"], 0);
    }
    Ok(())
}

/// Guards against a TCP flow that does not reach a target of its service, or reaches two.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tcp_flows_work_end_to_end() -> io::Result<()> {
    const FLOWS: usize = 20;
    let fixture = Fixture::start(102, &["orders", "gallery"], 1, 1).await?;
    let flows = [
        ("orders", fixture.open_tcp_flows(0, FLOWS).await),
        ("gallery", fixture.open_tcp_flows(1, FLOWS).await),
    ];
    for (service, flows) in &flows {
        fixture.wait_for_echoes(|| flows.report(), 400).await;
        let report = flows.report();
        assert_eq!(report.breaks, []);
        let own = |instance: &String| service_of(instance) == *service;
        assert!(report.instances.values().all(own), "{report:?}");
        let counts = fixture.counts(service).await?;
        let open: u64 = counts.iter().map(|(_, it)| it.tcp_open).sum();
        assert_eq!(open, 20, "{counts:?}");
    }
    Ok(())
}

/// Guards against requests of either version of HTTP that get no answer or the answer to another
/// request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_work_over_both_versions_of_http() -> io::Result<()> {
    let fixture = Fixture::start(103, &["orders", "gallery"], 1, 1).await?;
    let mut groups = Vec::new();
    for (service, name) in [(0, "orders"), (1, "gallery")] {
        for http2 in [false, true] {
            let mut config = fixture.idempotent_requests(service, &format!("{name}-{http2}"));
            config.http2 = http2;
            groups.push(Workers::start(&config, 1));
        }
    }
    for workers in &groups {
        fixture.wait_for_answers(workers, 60).await;
        assert_no_interrupted_request(&workers.report());
    }
    Ok(())
}
