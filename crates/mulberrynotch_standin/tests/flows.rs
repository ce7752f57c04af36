//! Tests of the stand-ins on the path of UDP and TCP flows, without balancers.

use std::{
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use mulberrynotch_standin::{
    caller,
    fabric,
    fault,
    proxy,
    target, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    time, //
};

/// Time limit for an expected condition; reached only when a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

fn address(host: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 90, 0, host), port).into()
}

fn target_config(host: u8, name: &str) -> target::Config {
    target::Config {
        name: name.into(),
        boot: 1,
        udp: Some(address(host, 6_000)),
        tcp: Some(address(host, 6_001)),
        http: None,
        load: address(host, 6_003),
        slots: 2,
        cold_requests: 0,
    }
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 2_048];
    let length = time::timeout(TIMEOUT, socket.recv(&mut buffer)).await;
    buffer.truncate(length.expect("in time").expect("received"));
    buffer
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("in time");
}

/// Guards against a target that counts one flow twice, answers a datagram without a payload, or
/// sends unsolicited datagrams to a previous hop.
#[tokio::test]
async fn target_keeps_one_session_per_flow() -> io::Result<()> {
    let target = target::Target::start(target_config(1, "orders-1")).await?;
    let (first, second) = (
        UdpSocket::bind(address(2, 0)).await?,
        UdpSocket::bind(address(3, 0)).await?,
    );
    let header = proxy::udp_header(address(9, 99), address(9, 53));
    let ping = [&header[..], b"ping"].concat();
    first.send_to(&ping, address(1, 6_000)).await?;
    let expected = [&header[..], b"orders-1#1 1 ping"].concat();
    assert_eq!(receive(&first).await, expected);
    second.send_to(&header, address(1, 6_000)).await?;
    second.send_to(&ping, address(1, 6_000)).await?;
    let expected = [&header[..], b"orders-1#1 2 ping"].concat();
    assert_eq!(receive(&second).await, expected);
    target.set_behaviour(target::Behaviour {
        push_ms: 1,
        ..target::Behaviour::default()
    });
    assert!(receive(&second).await.ends_with(b" push"));
    let counts = target.counts();
    assert_eq!((counts.udp_flows, counts.datagrams), (1, 2));
    Ok(())
}

/// Guards against a fabric that distributes datagrams unevenly, or returns datagrams from another
/// address than that of the service.
#[tokio::test]
async fn fabric_distributes_and_returns_datagrams() -> io::Result<()> {
    const DATAGRAMS: u32 = 400;
    const SEED: u64 = 7;
    println!("seed {SEED}");
    let balancers = [
        UdpSocket::bind(address(12, 0)).await?,
        UdpSocket::bind(address(13, 0)).await?,
    ];
    let config = fabric::Config {
        return_address: address(11, 7_000),
        udp: vec![address(10, 53)],
        tcp: Vec::new(),
        balancers: vec![balancers[0].local_addr()?, balancers[1].local_addr()?],
        seed: SEED,
    };
    let fabric = fabric::Fabric::start(config).await?;
    let caller = UdpSocket::bind(address(14, 0)).await?;
    caller.connect(address(10, 53)).await?;
    let mut received = [0; 2];
    for _ in 0..DATAGRAMS {
        caller.send(b"ping").await?;
        let mut buffers = [[0; 64]; 2];
        let [first, second] = &mut buffers;
        let (to, length) = tokio::select! {
            length = balancers[0].recv(first) => (0, length?),
            length = balancers[1].recv(second) => (1, length?),
        };
        received[to] += 1;
        let header = proxy::parse(&buffers[to][..length]).expect("header");
        assert_eq!(
            (header.source, header.destination),
            (caller.local_addr()?, address(10, 53))
        );
    }
    // The count of 400 fair draws has a standard deviation of 10; the bound is five of them.
    assert!((150..=250).contains(&received[0]), "{received:?}");
    let reply = [
        &proxy::udp_header(address(10, 53), caller.local_addr()?)[..],
        b"pong",
    ]
    .concat();
    balancers[1]
        .send_to(&reply, fabric.return_address())
        .await?;
    assert_eq!(receive(&caller).await, b"pong");
    Ok(())
}

/// Guards against a caller that does not detect that answers have stopped.
#[tokio::test]
async fn caller_detects_broken_flows() -> io::Result<()> {
    let first = target::Target::start(target_config(21, "orders-1")).await?;
    let config = caller::udp::Config {
        local: IpAddr::V4(Ipv4Addr::new(127, 90, 0, 22)),
        service: address(21, 6_000),
        interval: Duration::from_millis(10),
        silence: Duration::from_millis(200),
    };
    let flows = caller::udp::Flows::start(config, 3).await?;
    wait_until(|| flows.report().established == 3).await;
    assert_eq!(flows.report().breaks, []);
    drop(first);
    wait_until(|| flows.report().breaks.len() == 3).await;
    let report = flows.report();
    assert!(
        report
            .breaks
            .iter()
            .all(|it| it.cause == caller::Cause::Silent)
    );
    assert_eq!(report.breaks[0].instance, "orders-1#1");
    Ok(())
}

/// Guards against loss and partitions that do not take effect, or do not end.
#[tokio::test]
async fn fault_proxy_drops_datagrams_by_loss_and_partition() -> io::Result<()> {
    const SEED: u64 = 9;
    println!("seed {SEED}");
    let upstream = UdpSocket::bind(address(31, 0)).await?;
    let proxy = fault::Proxy::udp(address(32, 0), upstream.local_addr()?, SEED).await?;
    let client = UdpSocket::bind(address(33, 0)).await?;
    client.connect(proxy.address()).await?;
    for fault in [
        fault::Plan {
            loss_permille: 1_000,
            ..fault::Plan::default()
        },
        fault::Plan {
            partition: true,
            ..fault::Plan::default()
        },
    ] {
        proxy.set_plan(fault);
        client.send(b"lost").await?;
        // The proxy handles datagrams in order, so a datagram that was not lost would arrive first.
        time::sleep(Duration::from_millis(20)).await;
        proxy.set_plan(fault::Plan::default());
        client.send(b"passed").await?;
        assert_eq!(receive(&upstream).await, b"passed");
    }
    Ok(())
}

/// Guards against silence that affects new connections, and against a reset that arrives as an
/// orderly close.
#[tokio::test]
async fn fault_proxy_silences_and_resets_connections() -> io::Result<()> {
    let listener = TcpListener::bind(address(41, 0)).await?;
    let upstream = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    let proxy = fault::Proxy::tcp(address(42, 0), upstream, 1).await?;
    let mut silenced = TcpStream::connect(proxy.address()).await?;
    let mut byte = [0];
    silenced.write_all(b"a").await?;
    silenced.read_exact(&mut byte).await?;
    proxy.set_plan(fault::Plan {
        silence: true,
        ..fault::Plan::default()
    });
    silenced.write_all(b"b").await?;
    let mut unaffected = TcpStream::connect(proxy.address()).await?;
    unaffected.write_all(b"c").await?;
    time::timeout(TIMEOUT, unaffected.read_exact(&mut byte))
        .await
        .expect("in time")?;
    assert_eq!(byte, *b"c");
    assert_eq!(
        silenced.try_read(&mut byte).map_err(|error| error.kind()),
        Err(io::ErrorKind::WouldBlock)
    );
    proxy.set_plan(fault::Plan {
        reset: true,
        ..fault::Plan::default()
    });
    let error = time::timeout(TIMEOUT, unaffected.read(&mut byte))
        .await
        .expect("in time");
    assert_eq!(
        error.map_err(|error| error.kind()),
        Err(io::ErrorKind::ConnectionReset)
    );
    Ok(())
}
