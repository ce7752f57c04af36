//! Tests of the admin endpoint.

use std::{
    net::SocketAddr,
    sync::{
        Arc, //
        atomic::Ordering,
    },
    time::Duration, //
};

use mulberrynotch_net::admin;
use quickcheck::{
    Arbitrary,
    Gen, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

const WAIT: Duration = Duration::from_secs(10);

/// Limit of the endpoint on connections served at a time.
const MAX_CONNECTIONS: usize = 16;

const SEED: u64 = 7;

async fn start() -> (SocketAddr, Arc<admin::Connections>) {
    let content = admin::Content {
        dump: Box::new(|| serde_json::json!({ "revision": 3 })),
        metrics: Box::new(|| "up 1\n".to_owned()),
        healthy: Box::new(|| true),
        health_path: admin::HEALTH_PATH,
        route: None,
    };
    let address = ([127, 0, 0, 1], 0).into();
    let server = admin::Server::bind(address, content).await.unwrap();
    let address = server.local_address().unwrap();
    let connections = server.connections();
    tokio::spawn(server.run());
    (address, connections)
}

/// Sends bytes and returns all bytes received until the connection ends.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The endpoint may refuse and close the connection before all bytes are sent or read.
        let _ = stream.write_all(bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    };
    tokio::time::timeout(WAIT, exchange).await.unwrap()
}

/// Guards against responses to unknown paths and to methods other than GET.
#[tokio::test]
async fn only_the_three_paths_are_served() {
    let (address, _) = start().await;
    for (request, expected) in [
        ("GET /dump", "200 OK"),
        ("GET /metrics", "200 OK"),
        ("GET /healthz", "200 OK"),
        ("GET /", "404 Not Found"),
        ("GET /dump/", "404 Not Found"),
        ("POST /dump", "405 Method Not Allowed"),
    ] {
        let head = format!("{request} HTTP/1.1\r\nhost: a\r\n\r\n");
        let answer = exchange(address, head.as_bytes()).await;
        assert!(answer.contains(expected), "{request}: {answer}");
    }
}

/// Guards against malformed input that stops the endpoint or makes it reveal the state.
#[tokio::test]
async fn malformed_input_is_refused_and_the_endpoint_keeps_serving() {
    let (address, _) = start().await;
    println!("seed {SEED}");
    let mut random = Gen::from_size_and_seed(512, SEED);
    let mut inputs: Vec<Vec<u8>> = (0..64).map(|_| Vec::arbitrary(&mut random)).collect();
    inputs.push(vec![b'a'; 1 << 20]);
    inputs.push(format!("GET /dump HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10)).into_bytes());
    for input in inputs {
        let answer = exchange(address, &input).await;
        assert!(!answer.contains("revision"), "{input:?}: {answer}");
    }
    let answer = exchange(address, b"GET /dump HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(answer.contains(r#"{"revision":3}"#));
}

/// Guards against an unbounded number of connections that use up the memory of the process.
#[tokio::test]
async fn connections_beyond_the_limit_wait() {
    let (address, connections) = start().await;
    let mut idle = Vec::new();
    for _ in 0..4 * MAX_CONNECTIONS {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    let mut last = TcpStream::connect(address).await.unwrap();
    let head = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";
    last.write_all(head).await.unwrap();
    let full = async {
        while connections.open.load(Ordering::Relaxed) < MAX_CONNECTIONS {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT, full).await.unwrap();
    drop(idle);
    // The last connection is served only after all earlier ones have closed.
    let served = tokio::time::timeout(WAIT, last.read(&mut [0])).await;
    assert_eq!(served.unwrap().unwrap(), 1);
    assert_eq!(connections.peak.load(Ordering::Relaxed), MAX_CONNECTIONS);
}
