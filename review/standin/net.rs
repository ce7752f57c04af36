//! Packets, the store, the routers, the endpoints and the clients of the users' platform, as their
//! pages describe them. Only the standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SYN: u8 = 1;
pub const FIN: u8 = 8;
pub const RST: u8 = 16;
pub const ACK: u8 = 128;
pub const PACKET_PORT: u16 = 7_001;
pub const READY_PORT: u16 = 7_002;
pub const PEER_PORT: u16 = 7_003;
pub const ADMIN_PORT: u16 = 7_004;
pub const ENDPOINT_PORT: u16 = 8_000;

/// Time for which the store keeps the history of changes, `history_s` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

/// Items and size at which a page of the store ends.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Record of the run: one line an event, with the milliseconds since the start.
pub struct Log {
    pub start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Log {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::default(),
        })
    }
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn add(&self, line: String) {
        self.add_at(self.now(), line);
    }
    pub fn add_at(&self, at: u64, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|it| it.0);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>7} ms  {line}\n"))
            .collect();
        std::fs::write(path, text).expect("the record cannot be written");
    }
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Small generator of pseudo-random numbers.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}

// ---------------------------------------------------------------- packets

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub sum: u32,
}

impl Packet {
    fn keyed_sum(&self) -> u32 {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ 0x5eed_5eed_1234_abcd;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
            }
        };
        add(&self.src.ip().octets());
        add(&self.dst.ip().octets());
        add(&self.src.port().to_be_bytes());
        add(&self.dst.port().to_be_bytes());
        add(&[self.flags]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.data);
        ((hash >> 32) as u32 ^ hash as u32).max(1)
    }
    pub fn is_authentic(&self) -> bool {
        self.sum == self.keyed_sum()
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(32 + self.data.len());
        out.extend(self.src.ip().octets());
        out.extend(self.dst.ip().octets());
        out.extend(self.dst.port().to_be_bytes());
        out.extend(self.src.port().to_be_bytes());
        out.extend(self.keyed_sum().to_be_bytes());
        out.extend([self.flags, 0]);
        out.extend(self.echo.to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }
    pub fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < 32 {
            return None;
        }
        let w = |i: usize| u32::from_be_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
        let h = |i: usize| u16::from_be_bytes([b[i], b[i + 1]]);
        if usize::from(h(30)) != b.len() - 32 {
            return None;
        }
        Some(Self {
            src: SocketAddrV4::new(Ipv4Addr::from(w(0)), h(10)),
            dst: SocketAddrV4::new(Ipv4Addr::from(w(4)), h(8)),
            sum: w(12),
            flags: b[16],
            echo: w(18),
            seq: w(22),
            ack: w(26),
            data: b[32..].to_vec(),
        })
    }
}

// ---------------------------------------------------------------- store

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, (u64, Arc<Vec<u8>>)>,
    revision: u64,
}

struct StoreState {
    content: Content,
    history: Vec<(u64, Instant, String, Option<Arc<Vec<u8>>>)>,
    /// Revision up to which the history is no longer available.
    discarded: u64,
    /// Earlier contents with the moment at which each was replaced, for stale reads.
    past: Vec<(Instant, Content)>,
    /// Lag of the answers to the next stale reads, in turn; the last one is repeated.
    stale_lag: Vec<Duration>,
    stale_reads: usize,
}

pub struct Store {
    pub address: SocketAddrV4,
    state: Mutex<StoreState>,
    changed: Condvar,
    log: Arc<Log>,
}

impl Store {
    pub fn start(address: SocketAddrV4, log: Arc<Log>) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the store's address is in use");
        let store = Arc::new(Self {
            address,
            state: Mutex::new(StoreState {
                content: Content {
                    revision: 10,
                    ..Content::default()
                },
                history: Vec::new(),
                discarded: 10,
                past: Vec::new(),
                stale_lag: vec![Duration::ZERO],
                stale_reads: 0,
            }),
            changed: Condvar::new(),
            log,
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    /// Sets how old the answers to the next stale reads are, one after the other.
    pub fn set_stale_lag(&self, lag: Vec<Duration>) {
        let mut state = self.state.lock().unwrap();
        state.stale_lag = lag;
        state.stale_reads = 0;
    }

    /// Writes an item, or removes it; returns the moment of the acknowledgement.
    pub fn put(&self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let value = value.map(Arc::new);
        let mut state = self.state.lock().unwrap();
        let before = state.content.clone();
        state.past.push((Instant::now(), before));
        if state.past.len() > 400 {
            state.past.remove(0);
        }
        state.content.revision += 1;
        let revision = state.content.revision;
        match &value {
            Some(bytes) => drop(
                state
                    .content
                    .items
                    .insert(key.to_owned(), (revision, bytes.clone())),
            ),
            None => drop(state.content.items.remove(key)),
        }
        let shown = match &value {
            Some(bytes) if bytes.len() <= 1_000 => String::from_utf8_lossy(bytes).into_owned(),
            Some(bytes) => format!("{} bytes", bytes.len()),
            None => "removed".to_owned(),
        };
        state
            .history
            .push((revision, Instant::now(), key.to_owned(), value));
        drop(state);
        self.changed.notify_all();
        self.log.add(format!(
            "store: acknowledged {key} at revision {revision}: {shown}"
        ));
        self.log.now()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(millis(3_000)))?;
        let mut head = Vec::new();
        let mut byte = [0; 512];
        while !head.windows(4).any(|it| it == b"\r\n\r\n") {
            let n = stream.read(&mut byte)?;
            if n == 0 {
                return Ok(());
            }
            head.extend(&byte[..n]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let target = head.split(' ').nth(1).unwrap_or("").to_owned();
        thread::sleep(millis(4));
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == name).map(|it| decode(it.1))
        };
        let (status, body) = match path {
            "/v1/kv-range" => {
                let stale = parameter("serializable").as_deref() == Some("1");
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                (
                    200,
                    self.range(
                        &prefix.unwrap_or_default(),
                        &after.unwrap_or_default(),
                        stale,
                    ),
                )
            }
            "/v1/kv-watch" => {
                let number =
                    |name: &str| parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                self.watch(
                    &parameter("prefix").unwrap_or_default(),
                    number("after"),
                    number("wait_ms"),
                )
            }
            _ => (404, "{}".to_owned()),
        };
        let reason = if status == 200 { "OK" } else { "Gone" };
        let head = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())
    }

    fn range(&self, prefix: &str, after: &str, stale: bool) -> String {
        let mut state = self.state.lock().unwrap();
        let mut lag = Duration::ZERO;
        if stale {
            let turn = state.stale_reads.min(state.stale_lag.len() - 1);
            lag = state.stale_lag[turn];
            state.stale_reads += 1;
        }
        let shown_at = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let past = state.past.iter().find(|(replaced, _)| *replaced > shown_at);
        let content = match past {
            Some((_, content)) if stale => content,
            _ => &state.content,
        };
        let mut matching = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut bytes = 0;
        let mut items = Vec::new();
        while items.len() < PAGE_ITEMS && bytes < PAGE_BYTES {
            let Some((key, (revision, value))) = matching.next() else {
                break;
            };
            bytes += value.len();
            items.push(item(key, *revision, Some(value)));
        }
        let more = matching.next().is_some();
        let as_of = content.revision;
        self.log.add(format!(
            "store: read of a page after \"{after}\"{}: {} items, as_of {as_of}, has_more {more}",
            if stale {
                format!(", serializable, {} ms old", lag.as_millis())
            } else {
                String::new()
            },
            items.len()
        ));
        format!(
            "{{\"items\":[{}],\"has_more\":{more},\"as_of\":{as_of}}}",
            items.join(",")
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let old = state
                .history
                .partition_point(|(_, written, ..)| written.elapsed() >= HISTORY);
            if let Some((revision, ..)) = state.history.drain(..old).last() {
                state.discarded = revision;
            }
            if after > state.content.revision || after < state.discarded {
                return (410, "{}".to_owned());
            }
            let events: Vec<_> = state
                .history
                .iter()
                .filter(|(revision, _, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, _, key, value)| item(key, *revision, value.as_ref()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.content.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&Arc<Vec<u8>>>) -> String {
    match value {
        Some(bytes) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
            base64(bytes)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

/// Decodes the percent signs of a query parameter.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let code = text
            .get(i + 1..i + 3)
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[i], code) {
            (b'%', Some(code)) => {
                out.push(code);
                i += 3;
            }
            (other, _) => {
                out.push(other);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- routers

pub struct Balancer {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: usize,
    misses: AtomicU64,
}

impl Balancer {
    pub fn new(name: String, ip: Ipv4Addr, zone: usize) -> Arc<Self> {
        Arc::new(Self {
            name,
            ip,
            zone,
            misses: AtomicU64::new(2),
        })
    }
    pub fn is_in_rotation(&self) -> bool {
        self.misses.load(Ordering::Relaxed) < 2
    }
}

pub struct Router {
    pub balancers: Vec<Arc<Balancer>>,
}

impl Router {
    pub fn start(balancers: Vec<Arc<Balancer>>, log: &Arc<Log>) -> Arc<Self> {
        for balancer in &balancers {
            let (balancer, log) = (balancer.clone(), log.clone());
            thread::spawn(move || loop {
                let before = balancer.is_in_rotation();
                if is_ready(SocketAddr::from((balancer.ip, READY_PORT))).unwrap_or(false) {
                    balancer.misses.store(0, Ordering::Relaxed);
                } else {
                    balancer.misses.fetch_add(1, Ordering::Relaxed);
                }
                if before != balancer.is_in_rotation() {
                    log.add(format!(
                        "router: {} in rotation: {}",
                        balancer.name, !before
                    ));
                }
                thread::sleep(millis(500));
            });
        }
        Arc::new(Self { balancers })
    }

    /// Selects the balancer of a flow, as under `hash = "mod"`.
    pub fn select(
        &self,
        zone: usize,
        client: SocketAddrV4,
        route: SocketAddrV4,
    ) -> Option<Ipv4Addr> {
        let near: Vec<_> = self.balancers.iter().filter(|it| it.zone == zone).collect();
        let ready: Vec<_> = near
            .iter()
            .copied()
            .filter(|it| it.is_in_rotation())
            .collect();
        let candidates = if ready.is_empty() {
            self.balancers
                .iter()
                .filter(|it| it.is_in_rotation())
                .collect()
        } else if ready.len() * 2 < near.len() {
            near
        } else {
            ready
        };
        let mut seed = u64::from(u32::from(*client.ip())) << 32 | u64::from(client.port()) << 16;
        seed ^= u64::from(u32::from(*route.ip())) << 8 ^ u64::from(route.port());
        let count = candidates.len() as u64;
        (count > 0).then(|| candidates[Random(seed).below(count) as usize].ip)
    }
}

pub fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, millis(400))?;
    stream.set_read_timeout(Some(millis(400)))?;
    let request = format!("GET /v1/ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = [0; 64];
    let n = stream.read(&mut answer)?;
    Ok(answer[..n].starts_with(b"HTTP/1.1 200"))
}

// ---------------------------------------------------------------- endpoints

struct EndpointFlow {
    next: u32,
    open: bool,
    received: u32,
    answer: Option<(Packet, Instant, u32)>,
}

pub struct Endpoint {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born: u64,
    /// Moment of the start on the clock of the log, and time for which the endpoint is cold then.
    pub started_at: u64,
    pub cold_ms: u64,
    pub stopped: AtomicBool,
    pub draining: AtomicBool,
    pub work_ms: AtomicU64,
    flows: Mutex<HashMap<(SocketAddrV4, SocketAddrV4), EndpointFlow>>,
    /// Opening packets: moment, client, and balancer that sent them.
    pub openings: Mutex<Vec<(u64, SocketAddrV4, Ipv4Addr)>>,
    pub runs: Mutex<Vec<(u64, String)>>,
    pub corrupted: AtomicU64,
    log: Arc<Log>,
}

impl Endpoint {
    pub fn start(
        id: u64,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        log: Arc<Log>,
    ) -> Arc<Self> {
        Self::start_cold(id, service, zone, address, 0, log)
    }

    /// Starts an endpoint that is cold for `cold_ms`.
    pub fn start_cold(
        id: u64,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        cold_ms: u64,
        log: Arc<Log>,
    ) -> Arc<Self> {
        let socket = UdpSocket::bind(address).expect("an endpoint's address is in use");
        socket.set_read_timeout(Some(millis(20))).unwrap();
        let listener = TcpListener::bind(address).expect("an endpoint's address is in use");
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        let endpoint = Arc::new(Self {
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: born.as_millis() as u64,
            started_at: log.now(),
            cold_ms,
            stopped: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            work_ms: AtomicU64::new(40),
            flows: Mutex::default(),
            openings: Mutex::default(),
            runs: Mutex::default(),
            corrupted: AtomicU64::new(0),
            log,
        });
        // Status checks: any request on the path is answered with 200 while the endpoint is well.
        let checked = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if checked.stopped.load(Ordering::Relaxed) {
                    return;
                }
                thread::spawn(move || drop(answer_check(stream)));
            }
        });
        let serving = endpoint.clone();
        thread::spawn(move || serving.run(&socket));
        endpoint
    }

    /// Ends the endpoint: nothing listens at its address any more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    pub fn key(&self) -> String {
        format!("servers/i-{:08x}", self.id)
    }

    pub fn entry(&self) -> Vec<u8> {
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":2,\"state\":\"{state}\",\"warmup_left_ms\":{},\"sequence\":4,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            (self.started_at + self.cold_ms).saturating_sub(self.log.now()),
            self.born
        )
        .into_bytes()
    }

    pub fn has_open(&self, client: SocketAddrV4, route: SocketAddrV4) -> bool {
        let flows = self.flows.lock().unwrap();
        flows.get(&(client, route)).is_some_and(|it| it.open)
    }

    fn run(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2_048];
        let mut random = Random(self.id ^ self.born);
        let mut due: Vec<(Instant, Packet)> = Vec::new();
        while !self.stopped.load(Ordering::Relaxed) {
            if let Ok((n, from)) = socket.recv_from(&mut buffer) {
                let SocketAddr::V4(from) = from else { continue };
                self.receive(socket, &buffer[..n], *from.ip(), &mut random, &mut due);
            }
            let now = Instant::now();
            let (ready, later): (Vec<_>, Vec<_>) = due.drain(..).partition(|it| it.0 <= now);
            due = later;
            for (_, packet) in ready {
                let key = (packet.dst, packet.src);
                if let Some(flow) = self.flows.lock().unwrap().get_mut(&key) {
                    flow.answer = Some((packet.clone(), now + millis(200), 0));
                }
                send(socket, &packet);
            }
            let mut flows = self.flows.lock().unwrap();
            for flow in flows.values_mut() {
                if let Some((packet, at, count)) = &mut flow.answer {
                    if now >= *at && *count < 8 {
                        *count += 1;
                        *at = now + millis((200 << *count).min(1_600));
                        send(socket, packet);
                    }
                }
            }
        }
    }

    fn receive(
        &self,
        socket: &UdpSocket,
        bytes: &[u8],
        balancer: Ipv4Addr,
        random: &mut Random,
        due: &mut Vec<(Instant, Packet)>,
    ) {
        if bytes.len() < 8 {
            return;
        }
        let id = u64::from_be_bytes(bytes[..8].try_into().unwrap());
        if id != 0 && id != self.id {
            return;
        }
        let Some(packet) = Packet::decode(&bytes[8..]).filter(Packet::is_authentic) else {
            self.corrupted.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let key = (packet.src, packet.dst);
        let mut flows = self.flows.lock().unwrap();
        if packet.flags & RST != 0 {
            flows.remove(&key);
            return;
        }
        if packet.flags & SYN != 0 {
            self.openings
                .lock()
                .unwrap()
                .push((self.log.now(), packet.src, balancer));
            let flow = flows.entry(key).or_insert_with(|| EndpointFlow {
                next: random.next() as u32,
                open: false,
                received: packet.seq.wrapping_add(1),
                answer: None,
            });
            let reply = Packet {
                flags: SYN | ACK,
                seq: flow.next,
                ack: flow.received,
                ..reply(&packet)
            };
            send(socket, &reply);
            return;
        }
        let Some(flow) = flows.get_mut(&key) else {
            send(
                socket,
                &Packet {
                    flags: RST,
                    seq: packet.ack,
                    ..reply(&packet)
                },
            );
            return;
        };
        if !flow.open {
            if packet.ack != flow.next.wrapping_add(1) {
                send(
                    socket,
                    &Packet {
                        flags: RST,
                        seq: packet.ack,
                        ..reply(&packet)
                    },
                );
                return;
            }
            flow.open = true;
            flow.next = packet.ack;
        }
        if let Some((answer, ..)) = &flow.answer {
            if packet.ack == answer.seq.wrapping_add(answer.data.len() as u32) {
                flow.next = packet.ack;
                flow.answer = None;
            }
        }
        if packet.flags & FIN != 0 {
            flows.remove(&key);
            send(
                socket,
                &Packet {
                    flags: FIN | ACK,
                    seq: packet.ack,
                    ack: packet.seq.wrapping_add(1),
                    ..reply(&packet)
                },
            );
            return;
        }
        if packet.data.is_empty() || packet.seq != flow.received {
            return;
        }
        flow.received = flow.received.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let id = request_id(&text).unwrap_or("?").to_owned();
        self.runs.lock().unwrap().push((self.log.now(), id.clone()));
        let body = format!("done {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nMulberrynotch-Server-Stamp: i-{:08x}\r\nMulberrynotch-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let finish = if self.draining.load(Ordering::Relaxed) {
            FIN
        } else {
            0
        };
        let answer = Packet {
            flags: ACK | finish,
            seq: flow.next,
            ack: flow.received,
            data: answer.into_bytes(),
            ..reply(&packet)
        };
        due.push((
            Instant::now() + millis(self.work_ms.load(Ordering::Relaxed)),
            answer,
        ));
    }
}

fn answer_check(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_read_timeout(Some(millis(1_000)))?;
    let mut buffer = [0; 512];
    if stream.read(&mut buffer)? > 0 {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")?;
    }
    Ok(())
}

fn reply(packet: &Packet) -> Packet {
    Packet {
        src: packet.dst,
        dst: packet.src,
        flags: ACK,
        echo: packet.echo,
        seq: 0,
        ack: 0,
        data: Vec::new(),
        sum: 0,
    }
}

fn send(socket: &UdpSocket, packet: &Packet) {
    let to = SocketAddrV4::new(*packet.dst.ip(), PACKET_PORT);
    let _ = socket.send_to(&packet.encode(), to);
}

pub fn request_id(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once("Mulberrynotch-Request-Id: ")?;
    rest.split("\r\n").next()
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The flow never opened: no answer, or a reset.
    NotOpened(&'static str),
    /// A reset without the endpoint's sum on an open flow.
    ResetBySystem,
    ResetByEndpoint,
    TimedOut,
    Wrong,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub kind: &'static str,
    pub sent: u64,
    pub opened: u64,
    pub ended: u64,
    pub outcome: Outcome,
    /// Endpoint that holds the flow open at the moment of the outcome, if any.
    pub holder: Option<u64>,
}

pub struct Client {
    ip: Ipv4Addr,
    zone: usize,
    socket: UdpSocket,
    router: Arc<Router>,
    receivers: Mutex<HashMap<u16, Sender<Packet>>>,
    endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>>,
    pub requests: Mutex<Vec<Request>>,
    pub stopped: AtomicBool,
    log: Arc<Log>,
}

struct Flow {
    client: SocketAddrV4,
    route: SocketAddrV4,
    echo: u32,
    seq: u32,
    ack: u32,
    opened: u64,
    closing: bool,
    packets: Receiver<Packet>,
}

impl Client {
    pub fn start(
        ip: Ipv4Addr,
        zone: usize,
        router: Arc<Router>,
        endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>>,
        log: Arc<Log>,
    ) -> Arc<Self> {
        let socket = UdpSocket::bind((ip, PACKET_PORT)).expect("a client's address is in use");
        let client = Arc::new(Self {
            ip,
            zone,
            socket,
            router,
            receivers: Mutex::default(),
            endpoints,
            requests: Mutex::default(),
            stopped: AtomicBool::new(false),
            log,
        });
        let receiving = client.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok((n, _)) = receiving.socket.recv_from(&mut buffer) {
                if let Some(packet) = Packet::decode(&buffer[..n]) {
                    if let Some(sender) =
                        receiving.receivers.lock().unwrap().get(&packet.dst.port())
                    {
                        let _ = sender.send(packet);
                    }
                }
            }
        });
        client
    }

    /// Starts a user that keeps a flow open for `per_flow` requests, and then opens another one.
    pub fn add_user(
        self: &Arc<Self>,
        number: u16,
        kind: &'static str,
        route: SocketAddrV4,
        per_flow: u64,
        pause_ms: u64,
    ) {
        let client = self.clone();
        thread::spawn(move || {
            let mut random = Random(u64::from(u32::from(client.ip)) << 16 | u64::from(number));
            let mut port = 2_000 + number * 1_000;
            thread::sleep(millis(random.below(pause_ms)));
            while !client.stopped.load(Ordering::Relaxed) {
                port = if port % 1_000 == 999 {
                    port - 999
                } else {
                    port + 1
                };
                let (sender, packets) = channel();
                client.receivers.lock().unwrap().insert(port, sender);
                client.use_flow(&mut random, port, kind, route, per_flow, pause_ms, packets);
                client.receivers.lock().unwrap().remove(&port);
            }
        });
    }

    fn use_flow(
        &self,
        random: &mut Random,
        port: u16,
        kind: &'static str,
        route: SocketAddrV4,
        per_flow: u64,
        pause_ms: u64,
        packets: Receiver<Packet>,
    ) {
        let address = SocketAddrV4::new(self.ip, port);
        let sent = self.log.now();
        let mut flow = match self.open(random, address, route, packets) {
            Ok(flow) => flow,
            Err(why) => {
                let id = format!("{:016x}", random.next());
                self.record(id, kind, address, sent, 0, Outcome::NotOpened(why), None);
                thread::sleep(millis(pause_ms));
                return;
            }
        };
        for _ in 0..per_flow {
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("{:016x}", random.next());
            let sent = self.log.now();
            let outcome = self.request(&mut flow, kind, &id);
            let holder = self.holder(&flow);
            let failed = outcome != Outcome::Served;
            self.record(id, kind, address, sent, flow.opened, outcome, holder);
            if failed || flow.closing {
                break;
            }
            // A reset may also arrive between two requests.
            match flow
                .packets
                .recv_timeout(millis(pause_ms / 2 + random.below(pause_ms)))
            {
                Ok(packet) if packet.flags & RST != 0 => {
                    let outcome = match packet.is_authentic() {
                        true => Outcome::ResetByEndpoint,
                        false => Outcome::ResetBySystem,
                    };
                    let (at, holder) = (self.log.now(), self.holder(&flow));
                    self.record(
                        "none (idle flow)".into(),
                        kind,
                        address,
                        at,
                        flow.opened,
                        outcome,
                        holder,
                    );
                    return;
                }
                _ => {}
            }
        }
        let finish = Packet {
            flags: FIN | ACK,
            ..self.packet(&flow)
        };
        self.send(&finish);
    }

    fn holder(&self, flow: &Flow) -> Option<u64> {
        let endpoints = self.endpoints.lock().unwrap();
        let mut live = endpoints
            .iter()
            .filter(|it| !it.stopped.load(Ordering::Relaxed));
        live.find(|it| it.has_open(flow.client, flow.route))
            .map(|it| it.id)
    }

    fn record(
        &self,
        id: String,
        kind: &'static str,
        client: SocketAddrV4,
        sent: u64,
        opened: u64,
        outcome: Outcome,
        holder: Option<u64>,
    ) {
        let ended = self.log.now();
        if outcome != Outcome::Served {
            let held = holder.map_or("no endpoint".to_owned(), |it| format!("i-{it:08x}"));
            self.log.add(format!("client {client}: {kind} {id}, sent at {sent} ms, flow open since {opened} ms, flow held open by {held}: {outcome:?}"));
        }
        self.requests.lock().unwrap().push(Request {
            id,
            kind,
            sent,
            opened,
            ended,
            outcome,
            holder,
        });
    }

    fn packet(&self, flow: &Flow) -> Packet {
        Packet {
            src: flow.client,
            dst: flow.route,
            flags: ACK,
            echo: flow.echo,
            seq: flow.seq,
            ack: flow.ack,
            data: Vec::new(),
            sum: 0,
        }
    }

    fn send(&self, packet: &Packet) {
        if let Some(ip) = self.router.select(self.zone, packet.src, packet.dst) {
            let _ = self.socket.send_to(&packet.encode(), (ip, PACKET_PORT));
        }
    }

    fn open(
        &self,
        random: &mut Random,
        client: SocketAddrV4,
        route: SocketAddrV4,
        packets: Receiver<Packet>,
    ) -> Result<Flow, &'static str> {
        let seq = random.next() as u32;
        for (copy, wait) in [(0, 200), (1, 400), (2, 800)] {
            self.send(&Packet {
                src: client,
                dst: route,
                flags: SYN,
                echo: 0,
                seq,
                ack: copy,
                data: Vec::new(),
                sum: 0,
            });
            match packets.recv_timeout(millis(wait)) {
                Ok(answer) if answer.flags & RST != 0 => return Err("reset"),
                Ok(answer) if answer.flags & SYN != 0 => {
                    let flow = Flow {
                        client,
                        route,
                        echo: answer.echo,
                        seq: seq.wrapping_add(1),
                        ack: answer.seq.wrapping_add(1),
                        opened: self.log.now(),
                        closing: false,
                        packets,
                    };
                    self.send(&self.packet(&flow));
                    return Ok(flow);
                }
                _ => {}
            }
        }
        Err("no answer")
    }

    fn request(&self, flow: &mut Flow, kind: &'static str, id: &str) -> Outcome {
        let method = if kind == "order" { "POST" } else { "GET" };
        let text = format!("{method} /{kind} HTTP/1.1\r\nHost: desk\r\nMulberrynotch-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
        let packet = Packet {
            data: text.into_bytes(),
            ..self.packet(flow)
        };
        let deadline = Instant::now() + millis(1_500);
        let mut wait = 200;
        let mut resend_at = Instant::now();
        loop {
            let now = Instant::now();
            if now >= deadline {
                return Outcome::TimedOut;
            }
            if now >= resend_at {
                self.send(&packet);
                resend_at = now + millis(wait);
                wait = (wait * 2).min(1_600);
            }
            let until = resend_at.min(deadline).saturating_duration_since(now);
            let received = match flow.packets.recv_timeout(until) {
                Ok(received) => received,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return Outcome::TimedOut,
            };
            if received.flags & RST != 0 {
                return if received.is_authentic() {
                    Outcome::ResetByEndpoint
                } else {
                    Outcome::ResetBySystem
                };
            }
            if !received.is_authentic() || received.data.is_empty() || received.seq != flow.ack {
                continue;
            }
            flow.echo = received.echo;
            flow.seq = flow.seq.wrapping_add(packet.data.len() as u32);
            flow.ack = flow.ack.wrapping_add(received.data.len() as u32);
            flow.closing = received.flags & FIN != 0;
            self.send(&self.packet(flow));
            let text = String::from_utf8_lossy(&received.data).into_owned();
            return if request_id(&text) == Some(id) {
                Outcome::Served
            } else {
                Outcome::Wrong
            };
        }
    }
}
