//! Stand-ins of the platform and of targets that take requests.

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

/// Longest wait for something that has to happen; reached only when a test fails.
const LIMIT: Duration = Duration::from_secs(10);

async fn until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(LIMIT, poll).await.expect("in time");
}

fn at(host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 91, 0, host), port).into()
}

/// Guards against a watch that misses a publication, and against stale content that is not.
#[tokio::test]
async fn platform_serves_watches_and_old_content() -> io::Result<()> {
    let platform = platform::Platform::start(at(1, 0)).await?;
    let address = platform.address();
    let get = |path: &'static str| web::call(address, Method::GET, path, "");
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
    until(|| platform.counts().watches == 2).await;
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

/// The status of an order, or the reason of its reset.
async fn order(
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

/// Guards against a target that takes any load while cold, that runs what it refuses, or that
/// counts runs wrongly.
#[tokio::test]
async fn target_starts_cold_sheds_and_counts_runs() -> io::Result<()> {
    let config = target::Config {
        name: "orders-1".into(),
        boot: 1,
        udp: None,
        tcp: None,
        http: Some(at(2, 6_002)),
        load: at(2, 6_003),
        slots: 1,
        cold_requests: 1,
    };
    let target = target::Target::start(config).await?;
    target.set_behaviour(target::Behaviour {
        work_ms: 200,
        ..target::Behaviour::default()
    });
    let stream = TcpStream::connect(at(2, 6_002)).await?;
    let (sender, connection) = h2::client::handshake(stream)
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    let (ran, failed) = tokio::join!(order(sender.clone(), "a"), order(sender.clone(), "b"));
    assert_eq!(
        (ran, failed),
        (Ok(http::StatusCode::OK), Err(h2::Reason::INTERNAL_ERROR))
    );
    let (ran, shed) = tokio::join!(order(sender.clone(), "a"), order(sender.clone(), "c"));
    assert_eq!(
        (ran, shed),
        (Ok(http::StatusCode::OK), Err(h2::Reason::REFUSED_STREAM))
    );
    let cancelled = time::timeout(Duration::from_millis(50), order(sender, "d")).await;
    assert!(cancelled.is_err(), "takes longer");
    until(|| target.counts().cancelled == 1).await;
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

/// Guards against a load report that control cannot falsify or delay.
#[tokio::test]
async fn load_report_can_mislead() -> io::Result<()> {
    let config = target::Config {
        name: "orders-1".into(),
        boot: 3,
        udp: None,
        tcp: None,
        http: None,
        load: at(3, 6_003),
        slots: 2,
        cold_requests: 0,
    };
    let _target = target::Target::start(config).await?;
    let report = || web::get::<serde_json::Value>(at(3, 6_003), "/");
    assert_eq!(
        report().await?,
        serde_json::json!({"load_percent": 0, "boot": 3, "leaving": false})
    );
    let behaviour = target::Behaviour {
        reported_load: Some(99),
        ..target::Behaviour::default()
    };
    web::put(at(3, 6_003), "/control/behaviour", &behaviour).await?;
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
