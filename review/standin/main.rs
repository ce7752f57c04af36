//! Scripted cases of the review: starts `mulberrynotch steer` processes of a small deployment with
//! the command of the deploy file, plays a scenario with stand-ins on loopback addresses, and checks
//! one rule.
//!
//! `standin SCENARIO RECORD`, run in the root of the repository. `TROUBLE=0` leaves the disruption
//! out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod net;

use net::{Balancer, Client, Endpoint, Log, Outcome, Random, Request, Router, Store};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/mulberrynotch";
const TEMPLATE: &str = "deploy/settings.jsonc";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const SERVICE: &str = "desk";
const OTHER_SERVICE: &str = "gallery";

// Bounds of the small deployments in the users' pages, in milliseconds.
const STABILITY_MS: u64 = 4_000;
const DRAIN_MS: u64 = 3_000;
const RECOVERY_MS: u64 = 12_000;

/// Interval of the endpoints' status reports, `heartbeat_ms`.
const HEARTBEAT_MS: u64 = 1_200;

/// Time for which endpoints that come back cold are down.
const DOWN_MS: u64 = 4_500;

/// Warm-up of the endpoints of the service [`OTHER_SERVICE`], `warmup_s` and `warmup_per_s`.
const WARM_UP_MS: u64 = 8_000;
const WARM_UP_PER_S: f64 = 2.0;

/// `warmup_factor` and `warmup_slack`.
const WARM_UP_FACTOR: f64 = 1.5;
const WARM_UP_SLACK: f64 = 5.0;

/// Largest value of an item in the store, `value_bytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;

/// Time from the acknowledgement of an endpoint's drain to its exit; it serves for `drain_ms` and
/// then for some seconds more.
const EXIT_MS: u64 = 8_000;

struct Process {
    balancer: Arc<Balancer>,
    settings: String,
    output: String,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self, log: &Log) {
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.output);
        let file = file.expect("the log of a process cannot be opened");
        let child = Command::new(PROGRAM)
            .arg("steer")
            .env_clear()
            .env("MULBERRYNOTCH_CONFIG", &self.settings)
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .stdin(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => {
                eprintln!("{PROGRAM} cannot be started: {error}");
                exit(2);
            }
        }
        log.add(format!("platform: {} started", self.balancer.name));
    }

    /// Sends SIGKILL.
    fn kill(&mut self, log: &Log) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            log.add(format!("platform: {} killed", self.balancer.name));
        }
    }

    /// Restarts a process that ended by itself, as the platform does.
    fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Site {
    block: u8,
    log: Arc<Log>,
    store: Arc<Store>,
    processes: Vec<Process>,
    router: Arc<Router>,
    endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>>,
    clients: Vec<Arc<Client>>,
    directory: std::path::PathBuf,
    /// Keeps the addresses from other runs.
    _guard: UdpSocket,
}

fn ip(block: u8, third: u8, last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, block, third, last)
}

/// Finds a block of free loopback addresses. The returned socket keeps it from other runs.
fn free_block() -> (u8, UdpSocket) {
    let mut random = Random(u64::from(std::process::id()) << 20 ^ 77);
    for _ in 0..60 {
        let block = 20 + random.below(200) as u8;
        let Ok(guard) = UdpSocket::bind((ip(block, 1, 1), net::PACKET_PORT)) else {
            continue;
        };
        let free = |third| UdpSocket::bind((ip(block, third, 1), net::PACKET_PORT)).is_ok();
        if free(2) && free(4) {
            return (block, guard);
        }
    }
    eprintln!("no free loopback addresses");
    exit(2);
}

impl Site {
    /// Starts two balancers and `per_zone` endpoints a zone, and a store.
    fn start(per_zone: u8) -> Self {
        Self::start_with(per_zone, &[0, 1, 2, 0, 1, 2])
    }

    /// Starts a balancer in each of these zones, `per_zone` endpoints a zone, and a store.
    fn start_with(per_zone: u8, balancer_zones: &[usize]) -> Self {
        let (block, guard) = free_block();
        let log = Log::new();
        let store = Store::start(SocketAddrV4::new(ip(block, 1, 1), 8_169), log.clone());
        let endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>> = Arc::default();
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("no temporary folder");
        let balancers: Vec<_> = (0..balancer_zones.len())
            .map(|i| {
                let zone = balancer_zones[i];
                let before = &balancer_zones[..=i];
                let number = before.iter().filter(|it| **it == zone).count();
                let name = format!("frontend-{}-{number}", ZONES[zone]);
                Balancer::new(name, ip(block, 2, i as u8 + 1), zone)
            })
            .collect();
        let router = Router::start(balancers.clone(), &log);
        let mut site = Self {
            block,
            log,
            store,
            processes: Vec::new(),
            router,
            endpoints,
            clients: Vec::new(),
            directory,
            _guard: guard,
        };
        site.publish_configuration(7);
        for index in 0..per_zone {
            for zone in 0..ZONES.len() {
                site.add_endpoint(zone, 10 * (zone as u8) + index + 1);
            }
        }
        for balancer in balancers {
            site.add_process(balancer);
        }
        for zone in 0..ZONES.len() {
            let client = Client::start(
                ip(block, 4, zone as u8 + 1),
                zone,
                site.router.clone(),
                site.endpoints.clone(),
                site.log.clone(),
            );
            site.clients.push(client);
        }
        site
    }

    fn route(&self, last: u8) -> SocketAddrV4 {
        SocketAddrV4::new(ip(self.block, 9, last), 443)
    }

    fn publish_configuration(&self, version: u64) {
        let route = |name: &str, last: u8, kind: &str, service: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"/443/\",\"type\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":1,\"service\":\"{service}\",\"attempts\":2}}",
                self.route(last).ip()
            )
        };
        let service = |name: &str, warm_up_s: f64, warm_up_per_s: f64| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":{warm_up_s:.1},\"warmup_per_s\":{warm_up_per_s:.1}}}"
            )
        };
        let value = format!(
            "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            route("r-feed", 1, "idempotent", SERVICE),
            route("r-order", 2, "non_idempotent", SERVICE),
            route("r-photos", 3, "download", OTHER_SERVICE),
            service(SERVICE, 2.0, 0.0),
            service(OTHER_SERVICE, WARM_UP_MS as f64 / 1_000.0, WARM_UP_PER_S)
        );
        self.store.put("op/config", Some(value.into_bytes()));
    }

    fn add_endpoint(&self, zone: usize, last: u8) {
        self.add_endpoint_of(SERVICE, zone, last);
    }

    fn add_endpoint_of(&self, service: &str, zone: usize, last: u8) -> Arc<Endpoint> {
        let address = SocketAddrV4::new(ip(self.block, 5, last), net::ENDPOINT_PORT);
        let id = 0x7f00_0000 + u64::from(last) * 0x0101;
        let endpoint = Endpoint::start(id, service, ZONES[zone], address, self.log.clone());
        self.store.put(&endpoint.key(), Some(endpoint.entry()));
        self.endpoints.lock().unwrap().push(endpoint.clone());
        endpoint
    }

    /// Fills in the template of the deploy file, as the platform does.
    fn add_process(&mut self, balancer: Arc<Balancer>) {
        let template = std::fs::read_to_string(TEMPLATE).unwrap_or_else(|error| {
            eprintln!("{TEMPLATE}: {error}");
            exit(2);
        });
        let seeds: Vec<_> = (1..=3)
            .map(|last| format!("\"{}:{}\"", ip(self.block, 2, last), net::PEER_PORT))
            .collect();
        let mut text = template;
        for (place, value) in [
            ("{{node_name|json}}", format!("\"{}\"", balancer.name)),
            ("{{zone|json}}", format!("\"{}\"", ZONES[balancer.zone])),
            (
                "{{listen.datagram_addr}}",
                format!("{}:{}", balancer.ip, net::PACKET_PORT),
            ),
            (
                "{{listen.ready_addr}}",
                format!("{}:{}", balancer.ip, net::READY_PORT),
            ),
            (
                "{{listen.control}}",
                format!("{}:{}", balancer.ip, net::PEER_PORT),
            ),
            (
                "{{ip}}:{{port_range.0}}",
                format!("{}:{}", balancer.ip, net::ADMIN_PORT),
            ),
            ("{{platform.address}}", self.store.address.to_string()),
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{limits.link_mbps|json}}", "1000.0".to_owned()),
        ] {
            text = text.replace(place, &value);
        }
        let settings = self.directory.join(format!("{}.jsonc", balancer.name));
        std::fs::write(&settings, text).expect("the settings cannot be written");
        let mut process = Process {
            output: self
                .directory
                .join(format!("{}.log", balancer.name))
                .to_string_lossy()
                .into_owned(),
            settings: settings.to_string_lossy().into_owned(),
            balancer,
            child: None,
        };
        process.start(&self.log);
        self.processes.push(process);
    }

    /// Waits until all balancers are in rotation, and starts the traffic.
    fn start_traffic(&self) {
        let limit = Instant::now() + Duration::from_secs(15);
        while !self.router.balancers.iter().all(|it| it.is_in_rotation()) {
            if Instant::now() > limit {
                eprintln!("the balancers did not become ready");
                exit(2);
            }
            sleep(Duration::from_millis(50));
        }
        for client in &self.clients {
            for user in 0..8 {
                client.add_user(user, "feed", self.route(1), 200, 150);
            }
            for user in 8..24 {
                client.add_user(user, "order", self.route(2), 1, 100);
            }
        }
        self.log.add("clients: traffic starts".to_owned());
    }

    /// Adds traffic of the route to [`OTHER_SERVICE`].
    fn start_photos(&self) {
        for client in &self.clients {
            for user in 24..36 {
                client.add_user(user, "photos", self.route(3), 1, 400);
            }
        }
    }

    /// Starts an endpoint that is down again, cold, under its identifier.
    fn restart_cold(&self, endpoint: &Endpoint, cold_ms: u64) -> Arc<Endpoint> {
        let zone = endpoint.zone.clone();
        let again = Endpoint::start_cold(
            endpoint.id,
            &endpoint.service,
            &zone,
            endpoint.address,
            cold_ms,
            self.log.clone(),
        );
        self.store.put(&again.key(), Some(again.entry()));
        self.endpoints.lock().unwrap().push(again.clone());
        again
    }

    fn wait_until(&mut self, at_ms: u64) {
        while self.log.now() < at_ms {
            for process in &mut self.processes {
                if process.has_ended() {
                    self.log.add(format!(
                        "platform: {} ended by itself, started again",
                        process.balancer.name
                    ));
                    process.start(&self.log);
                }
            }
            sleep(Duration::from_millis(20));
        }
    }

    fn requests(&self) -> Vec<Request> {
        let all = self
            .clients
            .iter()
            .flat_map(|it| it.requests.lock().unwrap().clone());
        all.collect()
    }

    /// Records and counts the orders that an endpoint ran and whose clients never got the answer.
    fn lost_runs(&self) -> usize {
        let requests = self.requests();
        let unserved = requests
            .iter()
            .filter(|it| it.kind == "order" && it.outcome != Outcome::Served);
        let unserved: HashMap<_, _> = unserved.map(|it| (it.id.as_str(), it)).collect();
        let mut count = 0;
        for endpoint in self.endpoints.lock().unwrap().iter() {
            for (at, id) in endpoint.runs.lock().unwrap().iter() {
                if let Some(request) = unserved.get(id.as_str()) {
                    count += 1;
                    self.log.add(format!(
                        "check: order {id} was sent at {} ms and ran at {at} ms on endpoint i-{:08x}; its client ended at {} ms: {:?}",
                        request.sent, endpoint.id, request.ended, request.outcome
                    ));
                }
            }
        }
        count
    }

    /// Records each request: when it was sent, how it ended, and where and when it ran.
    fn record_requests(&self) {
        let mut runs: HashMap<String, String> = HashMap::new();
        for endpoint in self.endpoints.lock().unwrap().iter() {
            for (at, id) in endpoint.runs.lock().unwrap().iter() {
                let text = runs.entry(id.clone()).or_default();
                text.push_str(&format!(", ran on i-{:08x} at {at}", endpoint.id));
            }
        }
        for request in self.requests() {
            let ran = runs.get(&request.id).map_or(", not run", String::as_str);
            self.log.add_at(
                request.sent,
                format!(
                    "{} {}: {:?} at {}{ran}",
                    request.kind, request.id, request.outcome, request.ended
                ),
            );
        }
    }

    fn finish(&mut self, record: &str, verdict: &str) {
        for client in &self.clients {
            client.stopped.store(true, Ordering::Relaxed);
        }
        sleep(Duration::from_millis(200));
        self.record_requests();
        let mut counts: HashMap<String, usize> = HashMap::new();
        for request in self.requests() {
            let outcome = format!("{} {:?}", request.kind, request.outcome);
            *counts.entry(outcome).or_default() += 1;
        }
        let mut counts: Vec<_> = counts
            .into_iter()
            .map(|(outcome, count)| format!("{outcome}: {count}"))
            .collect();
        counts.sort();
        self.log
            .add(format!("clients: answers: {}", counts.join(", ")));
        for endpoint in self.endpoints.lock().unwrap().iter() {
            let runs = endpoint.runs.lock().unwrap();
            let distinct: std::collections::HashSet<_> = runs.iter().map(|it| &it.1).collect();
            self.log.add(format!(
                "endpoint i-{:08x} at {} in {}: {} opening packets, {} runs of {} requests, {} packets with a wrong sum",
                endpoint.id, endpoint.address, endpoint.zone, endpoint.openings.lock().unwrap().len(), runs.len(), distinct.len(),
                endpoint.corrupted.load(Ordering::Relaxed)
            ));
        }
        self.log.add(format!("verdict: {verdict}"));
        self.log.write(record);
        self.processes.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
        println!("{verdict}");
    }
}

/// FLOW: an entry of another writer names a service that is not configured, at the address of a live
/// endpoint.
fn foreign(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start(2);
    site.start_traffic();
    let start = site.log.now();
    site.wait_until(start + 12_000);
    let written = site.log.now();
    if trouble {
        let endpoint = site.endpoints.lock().unwrap()[0].clone();
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let entry = format!(
            "{{\"service\":\"stocktaking\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":2,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{born}}}",
            endpoint.address, endpoint.zone
        );
        site.store
            .put("servers/i-7f00f0f0", Some(entry.into_bytes()));
    }
    site.wait_until(start + 22_000);
    // Nothing else happens in this run: every machine and endpoint is in touch all the while.
    let broken = site.requests().into_iter().filter(|it| {
        it.outcome == Outcome::ResetBySystem
            && it.holder.is_some()
            && it.ended - it.opened < 60_000
            && it.ended >= written
    });
    let broken: Vec<_> = broken.collect();
    let orders = broken
        .iter()
        .filter(|it| it.kind == "order" && !it.id.starts_with("none"))
        .count();
    let lost = site.lost_runs();
    let verdict = format!(
        "FLOW: {} open flows of live endpoints were reset by the system, {orders} of them with an order that was sent and never answered; {lost} orders ran and their clients never got the answer",
        broken.len()
    );
    site.finish(record, &verdict);
    i32::from(!broken.is_empty())
}

/// DRAIN: a balancer is killed and reads the store in pages that are not equally old.
fn pages(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start(4);
    // Another writer's entry of the largest size ends the first page; it is there from the start.
    site.store
        .put("servers/i-7f001000", Some(vec![0xff; VALUE_BYTES]));
    site.start_traffic();
    let start = site.log.now();
    site.wait_until(start + 8_000);
    let draining = {
        let mut endpoints = site.endpoints.lock().unwrap().clone();
        // The last key is on the second page.
        endpoints.sort_by_key(|it| it.id);
        endpoints.last().unwrap().clone()
    };
    let acknowledged = drain(&site, &draining);
    let victim = site
        .processes
        .iter()
        .position(|it| ZONES[it.balancer.zone] == draining.zone)
        .unwrap();
    let mut started = 0;
    if trouble {
        site.wait_until(acknowledged + 500);
        let log = site.log.clone();
        site.processes[victim].kill(&log);
        site.wait_until(acknowledged + 1_000);
        site.store
            .set_stale_lag(vec![Duration::ZERO, Duration::from_secs(3)]);
        site.processes[victim].start(&log);
        started = log.now();
    }
    site.wait_until(acknowledged + 20_000);
    let ip = site.processes[victim].balancer.ip;
    let late = late_openings(&site, &draining, acknowledged, |at, from| {
        from != ip || at > started + STABILITY_MS
    });
    let verdict = format!("DRAIN: {late} opening packets reached the draining endpoint later than {DRAIN_MS} ms through machines in touch");
    site.finish(record, &verdict);
    i32::from(late > 0)
}

/// RECOVER: all processes are killed, and a key of another writer ends a page of the store.
fn key(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start(2);
    site.start_traffic();
    let start = site.log.now();
    site.wait_until(start + 8_000);
    let before = served_share(&site.requests(), start + 2_000, start + 8_000);
    let log = site.log.clone();
    if trouble {
        // The entry has the largest size, so it ends the first page of the store.
        let endpoints = site.endpoints.lock().unwrap().clone();
        let mut keys: Vec<_> = endpoints.iter().map(|it| it.key()).collect();
        keys.sort();
        site.store.put(
            &format!("{} (copy)", keys[2]),
            Some(vec![0xff; VALUE_BYTES]),
        );
        site.wait_until(start + 9_000);
    }
    for process in &mut site.processes {
        process.kill(&log);
    }
    let killed = log.now();
    site.wait_until(killed + 500);
    for process in &mut site.processes {
        process.start(&log);
    }
    let back = log.now();
    site.wait_until(back + RECOVERY_MS + 13_000);
    let after = served_share(
        &site.requests(),
        back + RECOVERY_MS,
        back + RECOVERY_MS + 11_000,
    );
    let verdict = format!("RECOVER: {before} of 1000 requests were served before the kill, {after} of 1000 later than {RECOVERY_MS} ms after it");
    site.finish(record, &verdict);
    i32::from(before >= 250 && after < 250)
}

/// DRAIN: another writer writes large entries at once, and then an endpoint drains.
fn large(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start(2);
    site.start_traffic();
    let start = site.log.now();
    site.wait_until(start + 8_000);
    if trouble {
        for number in 0..8 {
            site.store.put(
                &format!("servers/i-7f00aa0{number}"),
                Some(vec![0xff; VALUE_BYTES]),
            );
        }
    }
    site.wait_until(start + 9_000);
    let draining = site.endpoints.lock().unwrap()[0].clone();
    let acknowledged = drain(&site, &draining);
    site.wait_until(acknowledged + EXIT_MS);
    draining.stop();
    site.log
        .add(format!("endpoint i-{:08x} exits", draining.id));
    site.wait_until(acknowledged + 24_000);
    let late = late_openings(&site, &draining, acknowledged, |_, _| true);
    let lost = site.lost_runs();
    let last = draining
        .openings
        .lock()
        .unwrap()
        .last()
        .map_or(0, |it| it.0.saturating_sub(acknowledged));
    let verdict = format!("DRAIN: {late} opening packets reached the draining endpoint later than {DRAIN_MS} ms through machines in touch, the last one {last} ms after the acknowledgement; {lost} orders ran and their clients never got the answer");
    site.finish(record, &verdict);
    i32::from(late > 0)
}

/// ROUTE: an entry of another writer lacks fields, and its identifier is 0.
fn zero(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start(2);
    // The service has its own route, which gets no traffic here.
    let other = site.add_endpoint_of(OTHER_SERVICE, 0, 40);
    site.start_traffic();
    let start = site.log.now();
    site.wait_until(start + 8_000);
    if trouble {
        // The entry lacks "version" and "sequence".
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"capacity\":2,\"state\":\"ready\",\"warmup_left_ms\":0}}",
            other.address, other.zone
        );
        site.store
            .put("servers/i-00000000", Some(entry.into_bytes()));
    }
    site.wait_until(start + 20_000);
    let runs = other.runs.lock().unwrap().clone();
    for (at, id) in runs.iter().take(20) {
        site.log.add(format!(
            "check: request {id} ran at {at} ms on endpoint i-{:08x} of service {OTHER_SERVICE}, to which no route of the request leads",
            other.id
        ));
    }
    let orders = {
        let ids: std::collections::HashSet<_> = runs.iter().map(|it| it.1.clone()).collect();
        let requests = site.requests();
        requests
            .iter()
            .filter(|it| it.kind == "order" && ids.contains(&it.id))
            .count()
    };
    let verdict = format!(
        "ROUTE: {} requests of routes to {SERVICE} ran on an endpoint of {OTHER_SERVICE}, {orders} of them orders",
        runs.len()
    );
    site.finish(record, &verdict);
    i32::from(!runs.is_empty())
}

/// RECOVER: another writer keeps outdated copies of the entries beside them, and all processes are
/// killed.
fn copies(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start(2);
    site.start_traffic();
    let start = site.log.now();
    site.wait_until(start + 8_000);
    let before = served_share(&site.requests(), start + 2_000, start + 8_000);
    let log = site.log.clone();
    if trouble {
        let endpoints = site.endpoints.lock().unwrap().clone();
        for endpoint in endpoints {
            let entry = String::from_utf8_lossy(&endpoint.entry())
                .replace("\"state\":\"ready\"", "\"state\":\"archived\"");
            let key = format!("servers/prior-{:08x}", endpoint.id);
            site.store.put(&key, Some(entry.into_bytes()));
        }
    }
    for process in &mut site.processes {
        process.kill(&log);
    }
    let killed = log.now();
    site.wait_until(killed + 500);
    for process in &mut site.processes {
        process.start(&log);
    }
    let back = log.now();
    site.wait_until(back + RECOVERY_MS + 13_000);
    let after = served_share(
        &site.requests(),
        back + RECOVERY_MS,
        back + RECOVERY_MS + 11_000,
    );
    let verdict = format!("RECOVER: {before} of 1000 requests were served before the kill, {after} of 1000 later than {RECOVERY_MS} ms after it");
    site.finish(record, &verdict);
    i32::from(before >= 250 && after < 250)
}

/// FAILBACK: all endpoints of a service go down and come back together, cold.
fn cold(record: &str, trouble: bool) -> i32 {
    let mut site = Site::start_with(2, &[0, 1, 2, 0, 1, 2, 0, 1, 2, 0, 1, 2]);
    // All endpoints of this service are in one zone.
    let mut own: Vec<_> = [40, 41, 42, 43]
        .iter()
        .map(|last| site.add_endpoint_of(OTHER_SERVICE, 0, *last))
        .collect();
    site.start_traffic();
    site.start_photos();
    let start = site.log.now();
    site.wait_until(start + 8_000);
    if trouble {
        let down_at = site.log.now();
        for endpoint in &own {
            endpoint.stop();
            site.log
                .add(format!("endpoint i-{:08x} is down", endpoint.id));
        }
        site.wait_until(down_at + 3 * HEARTBEAT_MS);
        for endpoint in &own {
            site.store.put(&endpoint.key(), None);
        }
        site.wait_until(down_at + DOWN_MS);
        own = own
            .iter()
            .map(|it| site.restart_cold(it, WARM_UP_MS))
            .collect();
    }
    site.wait_until(start + 24_000);
    let limit = WARM_UP_PER_S * WARM_UP_FACTOR + WARM_UP_SLACK;
    let mut most = 0;
    for endpoint in own.iter().filter(|it| it.cold_ms > 0) {
        let mut flows = std::collections::HashSet::new();
        let mut at: Vec<u64> = Vec::new();
        for (moment, client, _) in endpoint.openings.lock().unwrap().iter() {
            let is_cold = *moment <= endpoint.started_at + endpoint.cold_ms;
            if is_cold && flows.insert(*client) {
                at.push(*moment);
            }
        }
        let count = |first: usize| {
            at[first..]
                .iter()
                .filter(|it| **it < at[first] + 1_000)
                .count()
        };
        let Some(first) = (0..at.len()).max_by_key(|first| count(*first)) else {
            continue;
        };
        most = most.max(count(first));
        site.log.add(format!(
            "check: cold endpoint i-{:08x}, started at {} ms, took {} opening packets in the second from {} ms on; {limit} are allowed",
            endpoint.id,
            endpoint.started_at,
            count(first),
            at[first]
        ));
    }
    let verdict = format!(
        "FAILBACK: a cold endpoint got up to {most} requests in one second, {limit} are allowed"
    );
    site.finish(record, &verdict);
    i32::from(most as f64 > limit)
}

/// Makes an endpoint report that it drains; returns the moment of the acknowledgement.
fn drain(site: &Site, endpoint: &Endpoint) -> u64 {
    endpoint.draining.store(true, Ordering::Relaxed);
    site.store.put(&endpoint.key(), Some(endpoint.entry()))
}

/// Records and counts the opening packets that an endpoint took too late after its drain was
/// acknowledged, through balancers that `in_touch` holds to be in touch at that moment.
fn late_openings(
    site: &Site,
    endpoint: &Endpoint,
    acknowledged: u64,
    in_touch: impl Fn(u64, Ipv4Addr) -> bool,
) -> usize {
    let openings = endpoint.openings.lock().unwrap().clone();
    let late = openings
        .into_iter()
        .filter(|(at, _, from)| *at > acknowledged + DRAIN_MS && in_touch(*at, *from));
    late.inspect(|(at, client, from)| {
        site.log.add(format!(
            "check: at {at} ms endpoint i-{:08x} took the opening packet of {client} from {from}, {} ms after its drain was acknowledged",
            endpoint.id,
            at - acknowledged
        ));
    })
    .count()
}

/// Returns how many of 1,000 requests sent in a span were served.
fn served_share(requests: &[Request], from: u64, to: u64) -> u64 {
    let sent: Vec<_> = requests
        .iter()
        .filter(|it| it.sent >= from && it.sent < to)
        .collect();
    let served = sent
        .iter()
        .filter(|it| it.outcome == Outcome::Served)
        .count() as u64;
    served * 1_000 / (sent.len() as u64).max(1)
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let [_, scenario, record] = arguments.as_slice() else {
        eprintln!("usage: standin SCENARIO RECORD");
        exit(2);
    };
    let code = match scenario.as_str() {
        "foreign" => foreign(record, trouble),
        "pages" => pages(record, trouble),
        "key" => key(record, trouble),
        "large" => large(record, trouble),
        "zero" => zero(record, trouble),
        "copies" => copies(record, trouble),
        "cold" => cold(record, trouble),
        _ => {
            eprintln!("no scenario {scenario}");
            2
        }
    };
    exit(code);
}
