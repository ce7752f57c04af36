//! Tests of connections to targets that stop responding while new connections work.

mod support;

use std::{
    io,
    net::SocketAddr, //
};

use mulberrynotch_standin::{
    caller::requests::Workers,
    fault, //
};
use support::{
    Fixture,
    assert_no_interrupted_request, //
};

/// Port of the fault proxies at the addresses of their targets.
const PORT: u16 = 6_102;

/// Guards against a balancer that keeps sending requests on an unresponsive connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unresponsive_connection_to_a_target_is_replaced() -> io::Result<()> {
    const SEED: u64 = 701;
    let mut fixture = Fixture::prepare(SEED, &["orders"], 1).await?;
    let mut proxies = Vec::new();
    for target in &mut fixture.site.register.services[0].targets {
        let upstream = target.http.expect("takes requests");
        let address = SocketAddr::new(upstream.ip(), PORT);
        proxies.push(fault::Proxy::tcp(address, upstream, SEED).await?);
        target.http = Some(address);
    }
    fixture.start_balancers(1).await?;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 4);
    for _ in 0..2 {
        fixture.wait_for_answers(&workers, 100).await;
        for proxy in &proxies {
            proxy.set_plan(fault::Plan {
                silence: true,
                ..fault::Plan::default()
            });
        }
        fixture.wait_for_answers(&workers, 100).await;
        // The next round affects the connections that are open at that time.
        for proxy in &proxies {
            proxy.set_plan(fault::Plan::default());
        }
    }
    assert_no_interrupted_request(&workers.report());
    Ok(())
}
