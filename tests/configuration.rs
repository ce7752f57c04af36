//! Tests of the propagation of registers to all processes, and of platform failures.

mod support;

use std::io;

use http::Method;
use mulberrynotch_standin::{
    caller::requests::Workers,
    http as web,
    platform, //
};
use support::{
    Fixture,
    assert_no_interrupted_request,
    balancer, //
};

fn unavailable() -> platform::Behaviour {
    platform::Behaviour {
        down: true,
        ..platform::Behaviour::default()
    }
}

/// Publishes arbitrary text as the register.
async fn publish_text(fixture: &Fixture, text: String) -> io::Result<()> {
    let address = fixture.site.layout().platform();
    let published = web::call(address, Method::PUT, "/control/register", text).await;
    published.map(drop)
}

/// Waits until the dumps of all balancers contain a refusal of `revision` for a reason that contains
/// `reason`.
async fn wait_for_refusal(fixture: &Fixture, revision: u64, reason: &str) {
    fixture
        .wait_for("refusal in all dumps", async || {
            let dumps = fixture.dumps().await?;
            let all = dumps.iter().all(|dump| {
                let refused = dump["control"]["refused"].as_array();
                refused.into_iter().flatten().any(|it| {
                    let text = it["reason"].as_str().unwrap_or("");
                    it["revision"] == revision && text.contains(reason)
                })
            });
            all.then_some(())
        })
        .await;
}

/// Waits until the platform has received `more` further calls.
async fn wait_for_platform_calls(fixture: &Fixture, more: u64) -> io::Result<()> {
    let address = fixture.site.layout().platform();
    let calls = async || -> Option<u64> {
        let counts: platform::Counts = web::get(address, "/control/counts").await.ok()?;
        Some(counts.reads + counts.watches)
    };
    let goal = calls().await.ok_or(io::ErrorKind::NotConnected)? + more;
    fixture
        .wait_for("calls of the platform", async || {
            (calls().await? >= goal).then_some(())
        })
        .await;
    Ok(())
}

/// Guards against a published register that does not reach every process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_register_change_reaches_every_process() -> io::Result<()> {
    let mut fixture = Fixture::start(301, &["orders"], 1, 3).await?;
    for number in 0..3 {
        let layout = fixture.site.layout();
        let target = layout.target(
            40 + number,
            &format!("orders-new{number}"),
            &support::ALL_PROTOCOLS,
        );
        fixture.site.add_target(0, target, "zone-b").await?;
        fixture.site.publish().await?;
        fixture.wait_for_register().await;
    }
    fixture.wait_until_converged().await;
    Ok(())
}

/// Guards against an invalid register that takes effect, is refused without a reason, or blocks the
/// next valid one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_register_is_refused_with_its_reason() -> io::Result<()> {
    let mut fixture = Fixture::start(302, &["orders", "gallery"], 1, 2).await?;
    let before = fixture.site.register.clone();
    let mut invalid = before.clone();
    invalid.revision += 1;
    invalid.services[1].addresses = invalid.services[0].addresses.clone();
    publish_text(&fixture, serde_json::to_string(&invalid).expect("encodes")).await?;
    wait_for_refusal(&fixture, invalid.revision, "address").await;
    fixture.wait_for_register().await;
    publish_text(&fixture, "{ not a register".into()).await?;
    wait_for_refusal(&fixture, 0, "").await;
    fixture.wait_for_register().await;
    fixture.site.register.revision = invalid.revision;
    fixture.site.publish().await?;
    fixture.wait_for_register().await;
    Ok(())
}

/// Guards against balancers that stop retrying an unavailable platform, or that need the platform to
/// serve and to join.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unavailable_platform_delays_only_changes() -> io::Result<()> {
    let mut fixture = Fixture::prepare(303, &["orders"], 1).await?;
    fixture.site.set_platform_behaviour(&unavailable()).await?;
    fixture.site.publish().await?;
    for number in 0..3 {
        fixture.add_balancer(number).await?;
    }
    wait_for_platform_calls(&fixture, 6).await?;
    fixture
        .site
        .set_platform_behaviour(&platform::Behaviour::default())
        .await?;
    fixture.wait_for_register().await;
    for number in 0..3 {
        fixture.site.await_ready(&balancer(number)).await?;
    }
    fixture.wait_until_converged().await;
    let flows = fixture.open_udp_flows(0, 12).await?;
    let workers = Workers::start(&fixture.idempotent_requests(0, "orders-read"), 2);
    fixture.site.set_platform_behaviour(&unavailable()).await?;
    fixture.join(3).await?;
    fixture.wait_until_converged().await;
    fixture.wait_for_answers(&workers, 50).await;
    fixture.wait_for_echoes(|| flows.report(), 300).await;
    assert_no_interrupted_request(&workers.report());
    assert_eq!(flows.report().breaks, []);
    fixture
        .site
        .set_platform_behaviour(&platform::Behaviour::default())
        .await?;
    fixture.site.publish().await?;
    fixture.wait_for_register().await;
    Ok(())
}

/// Guards against processes that return to an older revision after a restart of the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_older_revision_of_the_platform_takes_no_effect() -> io::Result<()> {
    let mut fixture = Fixture::start(304, &["orders"], 1, 1).await?;
    for _ in 0..2 {
        fixture.site.publish().await?;
        fixture.wait_for_register().await;
    }
    let stale = platform::Behaviour {
        behind: 2,
        ..platform::Behaviour::default()
    };
    // Watches fail while the platform restarts, so the readers read the register again.
    fixture.site.set_platform_behaviour(&unavailable()).await?;
    wait_for_platform_calls(&fixture, 3).await?;
    fixture.site.set_platform_behaviour(&stale).await?;
    wait_for_platform_calls(&fixture, 3).await?;
    fixture.join(3).await?;
    // The joining balancer also reads the platform.
    fixture.wait_for_register().await;
    let dumps = fixture.dumps().await.ok_or(io::ErrorKind::NotConnected)?;
    for dump in dumps {
        let accepted = &dump["control"]["counters"]["accepted"];
        let expected = if dump["name"] == *balancer(3) { 1 } else { 3 };
        assert_eq!(accepted, expected, "{dump}");
    }
    fixture.wait_until_converged().await;
    Ok(())
}
