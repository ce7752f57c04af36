//! Tests of the platform stand-in, and of target stand-ins that serve requests.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request, //
};
use mulberrynotch_standin::{
    http as web,
    platform,
    target, //
};
use tokio::{
    net::TcpStream,
    time, //
};

/// Time limit for an expected condition; reached only when a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("in time");
}

fn address(host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 91, 0, host), port).into()
}

/// Guards against a watch that misses a publication, and against a platform that ignores the
/// configured staleness or outage.
#[tokio::test]
async fn platform_serves_watches_stale_content_and_outages() -> io::Result<()> {
    let platform = platform::Platform::start(address(1, 0)).await?;
    let service = platform.address();
    let get = |path: &'static str| web::call(service, Method::GET, path, "");
    platform.publish(r#"{"revision":1}"#);
    assert_eq!(get("/v1/register").await?, r#"{"revision":1}"#);
    let unchanged = get("/v1/register?above=1&wait_ms=10").await;
    assert!(
        unchanged
            .expect_err("no change")
            .to_string()
            .contains("304")
    );
    let watch = tokio::spawn(get("/v1/register?above=1&wait_ms=4000"));
    wait_until(|| platform.counts().watches == 2).await;
    platform.publish(r#"{"revision":2}"#);
    assert_eq!(watch.await??, r#"{"revision":2}"#);
    platform.set_behaviour(platform::Behaviour {
        behind: 1,
        ..platform::Behaviour::default()
    });
    assert_eq!(get("/v1/register").await?, r#"{"revision":1}"#);
    platform.set_behaviour(platform::Behaviour {
        down: true,
        ..platform::Behaviour::default()
    });
    assert!(get("/v1/vms").await.is_err());
    let expected = platform::Counts {
        reads: 2,
        watches: 2,
        lists: 1,
    };
    assert_eq!(platform.counts(), expected);
    Ok(())
}

/// Sends an order and returns its status, or the reason of its reset.
async fn send_order(
    sender: h2::client::SendRequest<Bytes>,
    id: &str,
) -> Result<http::StatusCode, h2::Reason> {
    let request = Request::post("http://orders/orders").header("order-id", id);
    let request = request.body(()).expect("valid");
    let reason = |error: h2::Error| error.reason().unwrap_or(h2::Reason::NO_ERROR);
    let mut sender = sender.ready().await.map_err(reason)?;
    let (response, _) = sender.send_request(request, true).map_err(reason)?;
    response
        .await
        .map(|response| response.status())
        .map_err(reason)
}

/// Guards against a target that accepts full load while cold, runs requests that it refused, or
/// miscounts runs.
#[tokio::test]
async fn target_starts_cold_sheds_load_and_counts_runs() -> io::Result<()> {
    let config = target::Config {
        name: "orders-1".into(),
        boot: 1,
        udp: None,
        tcp: None,
        http: Some(address(2, 6_002)),
        load: address(2, 6_003),
        slots: 1,
        cold_requests: 1,
    };
    let target = target::Target::start(config).await?;
    target.set_behaviour(target::Behaviour {
        work_ms: 200,
        ..target::Behaviour::default()
    });
    let stream = TcpStream::connect(address(2, 6_002)).await?;
    let (sender, connection) = h2::client::handshake(stream)
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    let (completed, failed) = tokio::join!(
        send_order(sender.clone(), "a"),
        send_order(sender.clone(), "b")
    );
    assert_eq!(
        (completed, failed),
        (Ok(http::StatusCode::OK), Err(h2::Reason::INTERNAL_ERROR))
    );
    let (completed, shed) = tokio::join!(
        send_order(sender.clone(), "a"),
        send_order(sender.clone(), "c")
    );
    assert_eq!(
        (completed, shed),
        (Ok(http::StatusCode::OK), Err(h2::Reason::REFUSED_STREAM))
    );
    let cancelled = time::timeout(Duration::from_millis(50), send_order(sender, "d")).await;
    assert!(cancelled.is_err(), "a request takes 200 ms");
    wait_until(|| target.counts().cancelled == 1).await;
    let counts = target.counts();
    let runs: Vec<(&str, u32)> = counts
        .orders
        .iter()
        .map(|(id, runs)| (&**id, *runs))
        .collect();
    assert_eq!(runs, [("a", 2), ("d", 1)]);
    assert_eq!((counts.collapsed, counts.shed, counts.peak), (1, 1, 1));
    Ok(())
}

/// Guards against a control interface that cannot override the load report.
#[tokio::test]
async fn control_interface_overrides_the_load_report() -> io::Result<()> {
    let config = target::Config {
        name: "orders-1".into(),
        boot: 3,
        udp: None,
        tcp: None,
        http: None,
        load: address(3, 6_003),
        slots: 2,
        cold_requests: 0,
    };
    let _target = target::Target::start(config).await?;
    let report = || web::get::<serde_json::Value>(address(3, 6_003), "/");
    assert_eq!(
        report().await?,
        serde_json::json!({"load_percent": 0, "boot": 3, "leaving": false})
    );
    let behaviour = target::Behaviour {
        reported_load: Some(99),
        ..target::Behaviour::default()
    };
    web::put(address(3, 6_003), "/control/behaviour", &behaviour).await?;
    let mut reported = serde_json::Value::Null;
    for _ in 0..500 {
        reported = report().await?["load_percent"].take();
        if reported == 99 {
            break;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(reported, 99);
    Ok(())
}
