//! Tests of complete processes on loopback, with a simulated platform and simulated targets.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use mulberrynotch_net::{
    document,
    http,
    node,
    proxy, //
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
    sync::watch,
    task::JoinHandle, //
};

const WAIT: Duration = Duration::from_secs(20);

/// Interval at which a caller retransmits a datagram.
const RESEND: Duration = Duration::from_millis(500);

const SECRET_HEX: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const UDP_ADDRESS: &str = "127.0.9.1:53";
const TCP_ADDRESS: &str = "127.0.9.1:80";

/// A running process.
struct Process {
    ingress: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
    stop: watch::Sender<u32>,
    running: JoinHandle<Result<node::Outcome, node::Error>>,
}

impl Process {
    fn start(
        name: &str,
        peer: SocketAddr,
        platform: SocketAddr,
        return_address: SocketAddr,
    ) -> Self {
        let [ingress, admin] = std::array::from_fn(|_| free_address());
        let settings = serde_json::json!({
            "name": name, "zone": "a", "peer_address": peer, "admin_address": admin,
            "ingress": { "mode": "proxy", "address": ingress, "return_address": return_address },
            "platform_address": platform, "secrets": [{ "id": 1, "key_hex": SECRET_HEX }],
        });
        let settings = document::settings(&settings.to_string()).unwrap();
        let (stop, stopped) = watch::channel(0);
        let running = tokio::spawn(node::run(settings, Box::new(String::new), stopped));
        Self {
            ingress,
            peer,
            admin,
            stop,
            running,
        }
    }

    /// Stops the process and asserts that the shutdown interrupted nothing.
    async fn stop_cleanly(self) {
        self.stop.send_replace(1);
        let outcome = tokio::time::timeout(WAIT, self.running).await;
        let outcome = outcome.unwrap().unwrap().unwrap();
        assert!(outcome.complete, "{outcome:?}");
    }

    /// Waits until the process reports that it is ready.
    async fn wait_until_ready(&self) {
        let wait = async {
            while !http::get(self.admin, "/healthz", 1 << 10, WAIT)
                .await
                .is_ok_and(|it| it.status.is_success())
            {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(WAIT, wait).await.unwrap();
    }

    async fn dump(&self) -> serde_json::Value {
        let answer = http::get(self.admin, "/dump", 1 << 20, WAIT).await;
        answer.map_or(serde_json::Value::Null, |answer| {
            assert!(!String::from_utf8_lossy(&answer.body).contains(SECRET_HEX));
            serde_json::from_slice(&answer.body).unwrap()
        })
    }

    /// Waits until the dump satisfies a condition.
    async fn wait_for_dump(&self, condition: impl Fn(&serde_json::Value) -> bool) {
        let wait = async {
            while !condition(&self.dump().await) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let settled = tokio::time::timeout(WAIT, wait).await;
        assert!(settled.is_ok(), "{:#}", self.dump().await);
    }
}

/// Returns a loopback address that is free for both TCP and UDP.
fn free_address() -> SocketAddr {
    loop {
        let tcp = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = tcp.local_addr().unwrap();
        if std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a target that echoes datagrams with its address appended, and answers a TCP flow once the
/// caller has ended its direction.
async fn target() -> SocketAddr {
    let address = free_address();
    let udp = UdpSocket::bind(address).await.unwrap();
    let tcp = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        let mut buffer = vec![0; 2_048];
        loop {
            let (length, from) = udp.recv_from(&mut buffer).await.unwrap();
            let parsed = proxy::parse(&buffer[..length], proxy::Transport::Datagram).unwrap();
            // A new owner sends an empty datagram to redirect the flow to itself.
            if parsed.length == length {
                continue;
            }
            let answer = [&buffer[..length], address.to_string().as_bytes()].concat();
            let _ = udp.send_to(&answer, from).await;
        }
    });
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = tcp.accept().await.unwrap();
            tokio::spawn(async move {
                let caller = proxy::read(&mut stream).await.unwrap().caller;
                let mut read = Vec::new();
                stream.read_to_end(&mut read).await.unwrap();
                let answer = format!("{} bytes from {caller}", read.len());
                stream.write_all(answer.as_bytes()).await.unwrap();
            });
        }
    });
    address
}

/// Starts a platform with one register and the VMs of `peers`; watches end without a change.
async fn platform(targets: &[SocketAddr], peers: &[SocketAddr]) -> SocketAddr {
    let target = |(index, address): (usize, &SocketAddr)| {
        serde_json::json!({
            "name": format!("t{index}"), "zone": "a", "udp": address, "tcp": address,
            "slots": 2, "connections": 100,
        })
    };
    let register = serde_json::json!({
        "revision": 1, "zones": [{ "name": "a" }],
        "services": [{
            "name": "s",
            "addresses": [
                { "address": UDP_ADDRESS, "protocol": "udp" },
                { "address": TCP_ADDRESS, "protocol": "tcp" },
            ],
            "targets": targets.iter().enumerate().map(target).collect::<Vec<_>>(),
        }],
    });
    let vm = |(index, peer): (usize, &SocketAddr)| {
        serde_json::json!({
            "name": format!("b{index}"), "zone": "a", "peer": peer, "state": "live",
        })
    };
    let vms = serde_json::Value::from(peers.iter().enumerate().map(vm).collect::<Vec<_>>());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let vms = vms.to_string();
            let register = register.to_string();
            tokio::spawn(async move {
                let mut head = vec![0; 1_024];
                let length = stream.read(&mut head).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&head[..length]).into_owned();
                let body = if head.contains("/v1/vms") {
                    &vms
                } else {
                    &register
                };
                let status = if head.contains("above=1") {
                    tokio::time::sleep(RESEND).await;
                    "304 Not Modified\r\n\r\n".to_owned()
                } else {
                    format!("200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
                };
                let _ = stream
                    .write_all(format!("HTTP/1.1 {status}").as_bytes())
                    .await;
            });
        }
    });
    address
}

/// Sends a datagram through the fabric until the answer arrives, checks its addresses and returns
/// the address of the target.
async fn send_until_answered(
    fabric: &UdpSocket,
    ingress: SocketAddr,
    caller: SocketAddr,
) -> String {
    let payload = format!("from {caller} ");
    let address = UDP_ADDRESS.parse().unwrap();
    let mut datagram = proxy::header(proxy::Transport::Datagram, caller, address);
    datagram.extend_from_slice(payload.as_bytes());
    let mut buffer = vec![0; 2_048];
    let exchange = async {
        loop {
            fabric.send_to(&datagram, ingress).await.unwrap();
            let answer = tokio::time::timeout(RESEND, fabric.recv_from(&mut buffer)).await;
            if let Ok(answer) = answer {
                break answer.unwrap().0;
            }
        }
    };
    let length = tokio::time::timeout(WAIT, exchange).await.unwrap();
    let parsed = proxy::parse(&buffer[..length], proxy::Transport::Datagram).unwrap();
    assert_eq!((parsed.caller, parsed.address), (address, caller));
    let answer = String::from_utf8_lossy(&buffer[parsed.length..length]);
    answer.strip_prefix(&payload).unwrap().to_owned()
}

/// Opens a TCP flow through the fabric, sends 100,000 bytes, ends its direction and returns the answer.
async fn exchange(ingress: SocketAddr, caller: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(ingress).await?;
    let address = TCP_ADDRESS.parse().unwrap();
    let header = proxy::header(proxy::Transport::Stream, caller, address);
    stream.write_all(&header).await?;
    stream.write_all(&[7; 100_000]).await?;
    stream.shutdown().await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Guards against callers that reach no target through one of the balancers, against a forged frame
/// that changes the state, and against a shutdown that interrupts a flow or moves it to another
/// target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_serve_flows_and_stop() {
    let fabric = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let return_address = fabric.local_addr().unwrap();
    let peers = [free_address(), free_address()];
    let platform = platform(&[target().await, target().await], &peers).await;
    let balancers = [
        Process::start("b0", peers[0], platform, return_address),
        Process::start("b1", peers[1], platform, return_address),
    ];
    for balancer in &balancers {
        let joined = |dump: &serde_json::Value| {
            let members = dump["control"]["members"].as_array();
            dump["control"]["revision"] == 1 && members.is_some_and(|it| it.len() == 2)
        };
        balancer.wait_for_dump(joined).await;
    }
    let callers: Vec<SocketAddr> = (7_000..7_008)
        .map(|it| ([10, 0, 0, 1], it).into())
        .collect();
    let mut targets = Vec::new();
    for (index, &caller) in callers.iter().enumerate() {
        let ingress = balancers[index % 2].ingress;
        targets.push(send_until_answered(&fabric, ingress, caller).await);
    }
    let caller: SocketAddr = ([10, 0, 0, 1], 9_000).into();
    for balancer in &balancers {
        let exchange = async {
            loop {
                // Cold targets refuse flows at first, so the caller retries.
                match exchange(balancer.ingress, caller).await {
                    Ok(answer) => break answer,
                    Err(_) => tokio::time::sleep(RESEND).await,
                }
            }
        };
        let answer = tokio::time::timeout(WAIT, exchange).await.unwrap();
        assert_eq!(answer, format!("100000 bytes from {caller}"));
    }
    let mut forwarded = 0;
    for balancer in &balancers {
        forwarded += balancer.dump().await["peer"]["data_sent"].as_u64().unwrap();
    }
    assert!(
        forwarded > 0,
        "no datagram was forwarded between the balancers"
    );
    let before = balancers[0].dump().await;
    let refused = before["peer"]["refused"].as_u64().unwrap();
    fabric.send_to(&[1; 200], balancers[0].peer).await.unwrap();
    balancers[0]
        .wait_for_dump(|dump| dump["peer"]["refused"].as_u64() == Some(refused + 1))
        .await;
    let after = balancers[0].dump().await;
    for part in ["revision", "confirmed", "members"] {
        assert_eq!(before["control"][part], after["control"][part]);
    }
    let [first, second] = balancers;
    first.stop_cleanly().await;
    for (caller, target) in callers.into_iter().zip(targets) {
        assert_eq!(
            send_until_answered(&fabric, second.ingress, caller).await,
            target
        );
    }
    second.stop_cleanly().await;
}

/// Guards against a process that reports ready before it knows its peers: it would receive the
/// packets of callers and drop them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_is_ready_once_it_may_accept_work() {
    let fabric = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let return_address = fabric.local_addr().unwrap();
    let peers = [free_address(), free_address()];
    let platform = platform(&[target().await], &peers).await;
    let first = Process::start("b0", peers[0], platform, return_address);
    first.wait_until_ready().await;
    let second = Process::start("b1", peers[1], platform, return_address);
    second.wait_until_ready().await;
    let dump = second.dump().await;
    assert_eq!(dump["control"]["confirmed"], true, "{dump:#}");
    first.stop_cleanly().await;
    second.stop_cleanly().await;
}
