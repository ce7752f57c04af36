//! Tests of UDP flows and of the observations that the adapter makes on their targets.

use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use mulberrynotch_net::{
    core,
    proxy,
    udp, //
};
use mulberrynotch_policy::{
    control,
    health, //
};
use mulberrynotch_register::{
    model,
    settings, //
};
use mulberrynotch_wire::envelope;
use tokio::sync::mpsc;

const SEED: u64 = 31;

/// Step of the injected clock; a longer step would count as a pause.
const STEP_MS: u64 = 500;

struct Balancer {
    core: Arc<core::Core>,
    udp: Arc<udp::Adapter>,
    now_ms: Arc<AtomicU64>,
    caller: UdpSocket,
    ingress: SocketAddr,
    service: SocketAddr,
}

/// Returns a loopback address with an unused port.
fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

impl Balancer {
    /// Creates a balancer that owns the only target of a service.
    fn new(target: SocketAddr) -> Self {
        println!("seed {SEED}");
        let (ingress, service) = (free_address(), free_address());
        let settings: settings::Settings = serde_json::from_value(serde_json::json!({
            "name": "me", "zone": "a",
            "ingress": { "mode": "proxy", "address": ingress, "return_address": free_address() },
            "peer_address": "127.0.0.1:0",
            "platform_address": "127.0.0.1:9",
            "admin_address": "127.0.0.1:0",
            "secrets": [],
        }))
        .unwrap();
        let register: model::Register = serde_json::from_value(serde_json::json!({
            "revision": 1,
            "zones": [{ "name": "a" }],
            "services": [{
                "name": "s",
                "addresses": [{ "address": service, "protocol": "udp" }],
                "targets": [{
                    "name": "t", "zone": "a", "udp": target, "slots": 2, "connections": 100,
                }],
            }],
        }))
        .unwrap();
        let now_ms = Arc::new(AtomicU64::new(0));
        let clock = now_ms.clone();
        let key = [1; 32];
        let keyring = envelope::Keyring::new(vec![envelope::Secret { id: 1, key }]);
        let core = core::Core::new(
            &settings,
            keyring,
            Arc::new(move || Duration::from_millis(clock.load(Ordering::Relaxed))),
            1,
            SEED,
            mpsc::unbounded_channel().0,
        )
        .unwrap();
        core.platform_responded(control::Response::Register(Arc::new(register)));
        let udp = udp::Adapter::new(core.clone(), settings.ingress).unwrap();
        Self {
            core,
            udp,
            now_ms,
            caller: UdpSocket::bind("127.0.0.1:0").unwrap(),
            ingress,
            service,
        }
    }

    /// Sends a datagram of the flow and yields until it has been handled.
    async fn send(&self) {
        let caller = self.caller.local_addr().unwrap();
        let transport = proxy::Transport::Datagram;
        let mut datagram = proxy::header(transport, caller, self.service);
        datagram.extend_from_slice(b"status");
        self.caller.send_to(&datagram, self.ingress).unwrap();
        for _ in 0..50 {
            tokio::task::yield_now().await;
        }
    }

    async fn step(&self) {
        self.now_ms.fetch_add(STEP_MS, Ordering::Relaxed);
        self.core.tick();
        self.send().await;
    }
}

/// Guards against ICMP errors that are not reported to the policy that declares a target dead.
#[tokio::test]
async fn a_closed_port_makes_a_target_dead() {
    let balancer = Balancer::new(free_address());
    let dead = |balancer: &Balancer| {
        let status = balancer.core.flow_status();
        status.targets.iter().any(|target| target.dead)
    };
    for _ in 0..8 {
        balancer.step().await;
    }
    assert_eq!(balancer.udp.upstreams(), 1, "datagrams reach the socket");
    assert!(!dead(&balancer), "after 4 s");
    for _ in 0..8 {
        balancer.step().await;
    }
    assert!(dead(&balancer), "after 8 s");
}

/// Guards against answers of a target that are not reported to the policy, where they override ICMP
/// errors.
#[tokio::test]
async fn a_target_that_answers_stays_alive() {
    let target = UdpSocket::bind("127.0.0.1:0").unwrap();
    target.set_nonblocking(true).unwrap();
    let balancer = Balancer::new(target.local_addr().unwrap());
    let mut answered = 0;
    let mut buffer = [0; 2_048];
    for _ in 0..20 {
        balancer.step().await;
        while let Ok((length, from)) = target.recv_from(&mut buffer) {
            target.send_to(&buffer[..length], from).unwrap();
            answered += 1;
        }
        for target in balancer.core.flow_status().targets {
            let observation = health::Observation::IcmpError;
            balancer.core.observe(target.target, observation);
        }
        for _ in 0..50 {
            tokio::task::yield_now().await;
        }
    }
    assert!(answered >= 10, "{answered} answers");
    let targets = balancer.core.flow_status().targets;
    assert!(targets.len() == 1 && !targets[0].dead);
}
