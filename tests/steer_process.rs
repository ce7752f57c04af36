//! Tests of the interfaces for operators of a running balancer: dump, route queries and bounded log.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        TcpStream,
        UdpSocket, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use mulberrynotch_platform_standin::{
    entry,
    store, //
};
use mulberrynotch_steer::cookie;
use serde_json::{
    Value,
    json, //
};
use tokio::runtime;

const PROGRAM: &str = env!("CARGO_BIN_EXE_mulberrynotch");

const WAIT: Duration = Duration::from_secs(10);

const PACKET_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;
const PEER_PORT: u16 = 7_003;
const ADMIN_PORT: u16 = 7_004;

/// Limit on lines about each kind of state change.
const STATE_LINES_PER_SECOND: usize = 200;

/// A balancer process with its own store on addresses in `127.block.0.0/16`.
struct Site {
    block: u8,
    store: store::Store,
    balancer: Child,
    _runtime: runtime::Runtime,
}

impl Drop for Site {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.balancer.kill();
        let _ = self.balancer.wait();
    }
}

fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

impl Site {
    fn start(block: u8, output: Stdio) -> Self {
        Self::start_with_seeds(block, output, &[])
    }

    fn start_with_seeds(block: u8, output: Stdio, seeds: &[SocketAddr]) -> Self {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let address = SocketAddrV4::new(Ipv4Addr::new(127, block, 1, 1), 0);
        let started = runtime.block_on(store::Store::start(address.into(), 100));
        let store = started.unwrap();
        store.put_configuration(7, &[route()]);
        let settings = Self::settings(block, &store, seeds);
        let balancer = Command::new(PROGRAM)
            .args(["steer", "--settings", settings.to_str().unwrap()])
            .stdout(output)
            .spawn()
            .unwrap();
        let site = Self {
            block,
            store,
            balancer,
            _runtime: runtime,
        };
        site.put_target(1, false);
        site.put_target(2, true);
        site.wait_for("two targets and a confirmed register", |dump| {
            let targets = dump["targets"].as_array().map_or(0, Vec::len);
            targets == 2 && dump["register"]["age_ms"].is_u64()
        });
        site
    }

    fn settings(block: u8, store: &store::Store, seeds: &[SocketAddr]) -> PathBuf {
        let address = |port| SocketAddrV4::new(Ipv4Addr::new(127, block, 2, 1), port);
        let settings = json!({
            "name": "vm-1",
            "zone": "a",
            "packet_address": address(PACKET_PORT),
            "readiness_address": address(READINESS_PORT),
            "peer_address": address(PEER_PORT),
            "admin_address": address(ADMIN_PORT),
            "store_address": store.address(),
            "seeds": seeds,
        });
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("process-{block}.jsonc"));
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }

    fn put_target(&self, id: u16, draining: bool) {
        let [high, low] = id.to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(127, self.block, 5 + high, low), 8_000);
        self.store.put_target(&store::Target {
            id: id.into(),
            address,
            zone: "a",
            draining,
            born_ms: 1,
        });
    }

    fn admin(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 2, 1), ADMIN_PORT)
    }

    /// Runs a command against the process and returns its standard output and standard error.
    fn run_command(&self, command: &str, arguments: &[&str]) -> (String, String) {
        let output = Command::new(PROGRAM)
            .args([command, "--admin", &self.admin().to_string()])
            .args(arguments)
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (text(output.stdout), text(output.stderr))
    }

    fn metrics(&self) -> String {
        let mut stream = TcpStream::connect(self.admin()).unwrap();
        stream
            .write_all(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// Returns the value of a metric, or 0 when it is not present yet.
    fn metric(&self, name: &str) -> f64 {
        let metrics = self.metrics();
        let line = metrics.lines().find(|it| it.starts_with(name));
        line.and_then(|it| it.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0.0)
    }

    fn wait_for(&self, what: &str, condition: impl Fn(&Value) -> bool) {
        let end = Instant::now() + WAIT;
        loop {
            let (dump, error) = self.run_command("dump", &["--format", "json"]);
            let dump = serde_json::from_str(&dump).unwrap_or_default();
            if condition(&dump) {
                return;
            }
            assert!(
                Instant::now() < end,
                "{what} within {WAIT:?}: {dump:#} {error}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against a dump without the register, its age and the state of targets, and against a route
/// explanation without its reason and version.
#[test]
fn a_running_balancer_reports_its_state_and_explains_routes() {
    let site = Site::start(31, Stdio::null());
    let (dump, _) = site.run_command("dump", &["--format", "json"]);
    let dump: Value = serde_json::from_str(&dump).unwrap();
    assert_eq!(dump["register"]["version"], 7);
    assert!(
        dump["register"]["age_ms"]
            .as_u64()
            .is_some_and(|age| age < 2_000),
        "{dump:#}"
    );
    assert_eq!(dump["targets"][1]["state"], "Draining");

    let query = ["--caller", "100.64.0.7:4001", "--address", "198.18.0.1:443"];
    let (text, error) = site.run_command("route", &query);
    println!("{text}");
    assert!(
        text.starts_with("opens on the least loaded target; target 1 at"),
        "{text}{error}"
    );
    assert!(text.contains("decided by vm-1, configuration 7"), "{text}");
    assert!(text.contains("  2 Draining near"), "{text}");

    let cookie = cookie::of(2).to_string();
    let (json, _) = site.run_command(
        "route",
        &[&query[..], &["--cookie", &cookie, "--format", "json"]].concat(),
    );
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["outcome"], "carried to the target of its cookie");
    assert_eq!(json["target"], "2");

    let (_, error) = site.run_command(
        "route",
        &["--caller", "100.64.0.7:4001", "--address", "[::1]:443"],
    );
    assert!(
        error.contains("write CLIENT_IP:PORT/ADDRESS_IP:PORT"),
        "{error}"
    );
}

/// Guards against a process that ends, or follows the store no longer, because of an odd entry of
/// another writer: deeply nested, with a number or a port out of range, or of a service that the
/// configuration does not name.
#[test]
fn odd_entries_do_not_keep_a_process_from_following_the_store() {
    let mut site = Site::start(35, Stdio::null());
    let usual = store::Target {
        id: 9,
        address: SocketAddrV4::new(Ipv4Addr::new(127, 35, 9, 9), 8_000),
        zone: "a",
        draining: false,
        born_ms: 9,
    };
    for (number, value) in (0..).zip(entry::unusual(&usual)) {
        // The endpoint drains after each of them, and is followed by another one.
        let id = 10 + number;
        site.store
            .put_target_bytes(u64::from(0x7f00 + number), value);
        site.put_target(id, true);
        site.wait_for("the entry after an odd one", |dump| {
            let targets = dump["targets"].as_array().into_iter().flatten();
            let drained = format!("{id:x}");
            let mut found = targets.filter(|it| it["id"] == drained.as_str());
            found.any(|it| it["state"] == "Draining")
        });
        assert!(
            site.balancer.try_wait().unwrap().is_none(),
            "entry {number}"
        );
    }
}

/// Guards against a log whose volume grows with the number of targets that change.
#[test]
fn lines_about_many_changed_targets_are_limited_and_counted() {
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join("limited.log");
    let site = Site::start(32, std::fs::File::create(&log).unwrap().into());
    let started = Instant::now();
    let targets = 1_500;
    for id in 10..10 + targets {
        site.put_target(id, false);
    }
    site.wait_for("all targets", |dump| {
        dump["targets"]
            .as_array()
            .is_some_and(|it| it.len() == usize::from(targets) + 2)
    });
    let windows = usize::try_from(started.elapsed().as_secs()).unwrap() + 2;
    let suppressed = site.metric("mulberrynotch_suppressed_lines_total{event=\"target\"}");
    // A separate thread writes the lines.
    thread::sleep(Duration::from_millis(300));
    let log = std::fs::read_to_string(log).unwrap();
    let written = log
        .lines()
        .filter(|it| it.contains("event=target "))
        .count();
    assert!(
        written <= windows * STATE_LINES_PER_SECOND,
        "{written} lines in {windows} s"
    );
    let total = f64::from(u32::try_from(written).unwrap()) + suppressed;
    assert!(
        (total - f64::from(targets) - 2.0).abs() < 0.5,
        "{written} written, {suppressed} counted"
    );
}

/// Guards against a stalled reader of the log that blocks the forwarding of packets, and against
/// lines that are lost without being counted.
#[test]
fn a_stalled_log_reader_does_not_block_packets() {
    let mut site = Site::start(33, Stdio::piped());
    let unread = site.balancer.stdout.take().unwrap();
    let socket = UdpSocket::bind((Ipv4Addr::new(127, 33, 4, 1), 0)).unwrap();
    let end = Instant::now() + Duration::from_secs(30);
    let lost = "mulberrynotch_lost_lines_total{event=\"target\"}";
    let mut draining = false;
    while site.metric(lost) < 1.0 {
        assert!(
            Instant::now() < end,
            "no line was lost, so the reader did not stall"
        );
        draining = !draining;
        for id in 10..400 {
            site.put_target(id, draining);
        }
        thread::sleep(Duration::from_millis(200));
    }
    let before = site.metric("mulberrynotch_undecodable_packets_total");
    socket
        .send_to(b"?", (Ipv4Addr::new(127, 33, 2, 1), PACKET_PORT))
        .unwrap();
    thread::sleep(Duration::from_millis(300));
    let handled = site.metric("mulberrynotch_undecodable_packets_total") - before;
    assert!((handled - 1.0).abs() < 0.5, "the packet was not handled");
    drop(unread);
}

/// Guards against a process that joins its peers late because its first messages are lost: tokio
/// reports a new socket as not writable until its first readiness event arrives.
#[test]
fn the_first_message_of_a_process_is_sent() {
    let seed = UdpSocket::bind((Ipv4Addr::new(127, 34, 3, 1), PEER_PORT)).unwrap();
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join("first.log");
    let output = std::fs::File::create(&log).unwrap().into();
    let site = Site::start_with_seeds(34, output, &[seed.local_addr().unwrap()]);
    seed.set_read_timeout(Some(WAIT)).unwrap();
    seed.recv(&mut [0; 2_048]).unwrap();
    drop(site);
    let log = std::fs::read_to_string(log).unwrap();
    assert!(!log.contains("event=message_unsent"), "{log}");
}
