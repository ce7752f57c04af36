//! UDP flows, with one session per caller and service address.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use tokio::{
    net::UdpSocket,
    time, //
};

use crate::{
    proxy,
    task::{
        Group,
        lock, //
    },
};

use super::Shared;

/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// State of a flow: header and sender of its last datagram, and the number of datagrams sent.
struct Session {
    header: Vec<u8>,
    next_hop: SocketAddr,
    sequence: u64,
}

type Sessions = Arc<Mutex<HashMap<(SocketAddr, SocketAddr), Session>>>;

pub(super) async fn start(
    tasks: &Group,
    shared: Arc<Shared>,
    address: SocketAddr,
) -> io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(address).await?);
    let sessions = Sessions::default();
    tasks.spawn(echo(shared.clone(), socket.clone(), sessions.clone()));
    tasks.spawn(push(shared, socket, sessions));
    Ok(())
}

async fn echo(shared: Arc<Shared>, socket: Arc<UdpSocket>, sessions: Sessions) {
    let local = socket.local_addr().ok();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let datagram = &buffer[..length];
        // Without a header, the sender is the caller.
        let (flow, header) = match (proxy::parse(datagram), local) {
            (Some(header), _) => ((header.source, header.destination), header.length),
            (None, Some(local)) => ((from, local), 0),
            (None, None) => continue,
        };
        let (header, payload) = datagram.split_at(header);
        let answer = record_datagram(&shared, &sessions, flow, header, payload, from);
        if let Some(answer) = answer.filter(|_| !shared.behaviour.borrow().silent) {
            let _ = socket.send_to(&answer, from).await;
        }
    }
}

/// Records a datagram and returns its answer. A datagram without a payload only updates the next
/// hop and has no answer.
fn record_datagram(
    shared: &Shared,
    sessions: &Sessions,
    flow: (SocketAddr, SocketAddr),
    header: &[u8],
    payload: &[u8],
    from: SocketAddr,
) -> Option<Vec<u8>> {
    let mut sessions = lock(sessions);
    let session = sessions.entry(flow).or_insert_with(|| {
        shared.count(|counts| counts.udp_flows += 1);
        Session {
            header: Vec::new(),
            next_hop: from,
            sequence: 0,
        }
    });
    session.next_hop = from;
    session.header = header.to_vec();
    if payload.is_empty() {
        return None;
    }
    shared.count(|counts| counts.datagrams += 1);
    Some(session.next_datagram(&shared.instance(), payload))
}

impl Session {
    /// Returns a datagram of the header and "instance sequence payload".
    fn next_datagram(&mut self, instance: &str, payload: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let mut datagram = self.header.clone();
        datagram.extend_from_slice(format!("{instance} {} ", self.sequence).as_bytes());
        datagram.extend_from_slice(payload);
        datagram
    }
}

/// Sends unsolicited datagrams on all flows, with the period `push_ms`.
async fn push(shared: Arc<Shared>, socket: Arc<UdpSocket>, sessions: Sessions) {
    let mut behaviour = shared.behaviour.subscribe();
    loop {
        let active = behaviour.wait_for(|it| it.push_ms > 0 && !it.silent).await;
        let Ok(period) = active.map(|it| Duration::from_millis(it.push_ms)) else {
            return;
        };
        time::sleep(period).await;
        let datagrams: Vec<(Vec<u8>, SocketAddr)> = lock(&sessions)
            .values_mut()
            .map(|it| (it.next_datagram(&shared.instance(), b"push"), it.next_hop))
            .collect();
        for (datagram, next_hop) in datagrams {
            let _ = socket.send_to(&datagram, next_hop).await;
        }
    }
}
