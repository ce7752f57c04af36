//! Test fixture: a site of real balancer processes, and conditions to wait for.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of this module"
)]

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use mulberrynotch_register::model::{
    Class,
    Protocol,
    Register,
    Rule,
    Zone, //
};
use mulberrynotch_standin::{
    caller::{
        Report,
        requests,
        stream,
        udp, //
    },
    site,
    target, //
};
use serde_json::Value;
use tokio::{
    sync::{
        Semaphore,
        SemaphorePermit, //
    },
    time, //
};

/// Time limit for a condition; reached only when a test fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Time without an answer after which a flow counts as broken. It is longer than the detection of a
/// dead balancer, with a margin for a busy machine.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The addresses of all sites start with `127.FIRST_BLOCK` to `127.LAST_BLOCK`.
const FIRST_BLOCK: u8 = 130;
const LAST_BLOCK: u8 = 137;

/// Port that a site binds at its first address, so that no other test run uses the same range.
const CLAIM_PORT: u16 = 7_999;

/// Limit on the sites that run at the same time in one test binary.
static SITE_PERMITS: Semaphore = Semaphore::const_new(4);

/// A site with its address range and log folder.
pub struct Fixture {
    /// Running site.
    pub site: site::Site,
    folder: PathBuf,
    _permit: SemaphorePermit<'static>,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the balancers: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fixture {
    /// Starts the platform, the fabric and the targets, with `targets` per service and zone.
    pub async fn prepare(seed: u64, services: &[&str], targets: u8) -> io::Result<Self> {
        println!("seed {seed}");
        let permit = SITE_PERMITS.acquire().await.expect("never closed");
        let layout = claim_addresses();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("site-{}-{}", layout.a, layout.b));
        let config = site::Config {
            layout,
            balancer: site::Program {
                path: env!("CARGO_BIN_EXE_mulberrynotch").into(),
                arguments: vec!["run".into(), "--settings".into()],
            },
            standin: None,
            seed,
            folder: folder.clone(),
            keep_folder: true,
        };
        let mut site = site::Site::start(config, register(layout, services)).await?;
        for (index, name) in services.iter().enumerate() {
            for number in 0..targets * 3 {
                let host = u8::try_from(index).expect("few services") * 20 + number;
                let target = layout.target(host, &format!("{name}-{number}"), &ALL_PROTOCOLS);
                let zone = site::ZONES[usize::from(number % 3)];
                site.add_target(index, target, zone).await?;
            }
        }
        Ok(Self {
            site,
            folder,
            _permit: permit,
        })
    }

    /// Prepares a site as [`Fixture::prepare`] does, and starts `balancers` per zone.
    pub async fn start(
        seed: u64,
        services: &[&str],
        targets: u8,
        balancers: u8,
    ) -> io::Result<Self> {
        let mut fixture = Self::prepare(seed, services, targets).await?;
        fixture.start_balancers(balancers).await?;
        Ok(fixture)
    }

    /// Publishes the register, starts `balancers` per zone and waits until they serve.
    pub async fn start_balancers(&mut self, balancers: u8) -> io::Result<()> {
        self.site.publish().await?;
        for number in 0..balancers * 3 {
            self.add_balancer(number).await?;
        }
        for number in 0..balancers * 3 {
            self.site.await_ready(&balancer(number)).await?;
        }
        self.wait_until_converged().await;
        Ok(())
    }

    /// Starts balancer `number`; the zone is derived from the number.
    pub async fn add_balancer(&mut self, number: u8) -> io::Result<()> {
        let zone = site::ZONES[usize::from(number % 3)];
        self.site
            .add_balancer(number, &balancer(number), zone)
            .await
    }

    /// Adds balancer `number` and waits until it serves.
    pub async fn join(&mut self, number: u8) -> io::Result<()> {
        self.add_balancer(number).await?;
        self.site.await_ready(&balancer(number)).await
    }

    /// Kills a balancer. The fabric and the platform are told only after the other balancers have
    /// detected it.
    pub async fn kill(&mut self, number: u8) -> io::Result<()> {
        let name = balancer(number);
        self.site.kill_balancer(&name)?;
        for other in self.balancer_names().iter().filter(|other| **other != name) {
            self.wait_for("detection of the death", async || {
                let dump = self.site.dump(other).await.ok()?;
                let members = dump["control"]["members"].as_array()?;
                let not_alive = |it: &Value| it["name"] != *name || it["state"] != "alive";
                members.iter().all(not_alive).then_some(())
            })
            .await;
        }
        self.site.remove_balancer(&name).await
    }

    /// Requests the stop of a balancer and returns when it drains.
    pub async fn begin_stop(&mut self, number: u8) -> io::Result<()> {
        let name = balancer(number);
        self.site.begin_stop(&name).await?;
        self.wait_for("draining", async || {
            let dump = self.site.dump(&name).await.ok()?;
            (dump["draining"] == true).then_some(())
        })
        .await;
        self.site.remove_from_fabric(&name).await
    }

    /// Waits for the exit of a stopping balancer and asserts that its status is 0.
    pub async fn finish_stop(&mut self, number: u8) -> io::Result<()> {
        let name = balancer(number);
        let log = self.folder.join(format!("{name}.log"));
        let status = self.site.finish_stop(&name, WAIT_LIMIT).await?;
        let log = std::fs::read_to_string(log)?;
        let last = log.lines().last().unwrap_or("");
        assert!(status.success(), "{name}: {status}, {last}");
        Ok(())
    }

    /// Returns the names of all balancers.
    pub fn balancer_names(&self) -> Vec<String> {
        self.site.balancers.keys().cloned().collect()
    }

    /// Returns the dumps of all balancers, or `None` while one does not respond.
    pub async fn dumps(&self) -> Option<Vec<Value>> {
        let mut dumps = Vec::new();
        for name in self.site.balancers.keys() {
            dumps.push(self.site.dump(name).await.ok()?);
        }
        Some(dumps)
    }

    /// Waits until all balancers agree on register and members, and every target has exactly one
    /// owner and no handover in progress.
    pub async fn wait_until_converged(&self) {
        let targets = self.site.register.services.iter();
        let targets: usize = targets.map(|service| service.targets.len()).sum();
        self.wait_for("convergence", async || {
            let dumps = self.dumps().await?;
            let mut owned = 0;
            for dump in &dumps {
                let alive = |it: &&Value| it["state"] == "alive";
                let members = dump["control"]["members"].as_array()?;
                let phases = dump["flow"]["status"]["targets"].as_array()?;
                owned += dump["flow"]["owned_targets"].as_array()?.len();
                let converged = dump["control"]["revision"] == self.site.register.revision
                    && dump["control"]["confirmed"] == true
                    && members.iter().filter(alive).count() == dumps.len()
                    && phases.iter().all(|it| it["phase"] == "active");
                if !converged {
                    return None;
                }
            }
            (owned == targets).then_some(())
        })
        .await;
    }

    /// Waits until all redirects of flows are acknowledged.
    pub async fn wait_for_redirects(&self) {
        self.wait_for("redirects acknowledged", async || {
            let dumps = self.dumps().await?;
            let acknowledged = |dump: &Value| dump["flow"]["status"]["waiting_redirects"] == 0;
            dumps.iter().all(acknowledged).then_some(())
        })
        .await;
    }

    /// Waits until the latest register is in effect at all balancers.
    pub async fn wait_for_register(&self) {
        let revision = self.site.register.revision;
        self.wait_for("register in effect", async || {
            let dumps = self.dumps().await?;
            let all = dumps.iter().all(|it| it["control"]["revision"] == revision);
            all.then_some(())
        })
        .await;
    }

    /// Polls `check` until it returns a value. Panics after [`WAIT_LIMIT`] and prints the dumps of
    /// all balancers.
    pub async fn wait_for<T>(
        &self,
        condition: &str,
        mut check: impl AsyncFnMut() -> Option<T>,
    ) -> T {
        let start = Instant::now();
        loop {
            if let Some(value) = check().await {
                return value;
            }
            if start.elapsed() > WAIT_LIMIT {
                for name in self.site.balancers.keys() {
                    match self.site.dump(name).await {
                        Ok(dump) => eprintln!("{dump}"),
                        Err(error) => eprintln!("{name}: {error}"),
                    }
                }
                panic!("timed out waiting for {condition}");
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the lines that contain `event` in the logs of all balancers.
    pub fn log_lines(&self, event: &str) -> io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for name in self.site.balancers.keys() {
            let log = std::fs::read_to_string(self.folder.join(format!("{name}.log")))?;
            let found = log.lines().filter(|it| it.contains(event));
            lines.extend(found.map(str::to_owned));
        }
        Ok(lines)
    }

    /// Returns the counts of all targets of a service.
    pub async fn counts(&self, service: &str) -> io::Result<Vec<(String, target::Counts)>> {
        let mut counts = Vec::new();
        for name in self
            .site
            .targets
            .keys()
            .filter(|it| service_of(it) == service)
        {
            counts.push((name.clone(), self.site.counts(name).await?));
        }
        Ok(counts)
    }

    /// Opens UDP flows to a service and waits until all are established.
    pub async fn open_udp_flows(&self, service: u8, count: usize) -> io::Result<udp::Flows> {
        let config = udp::Config {
            local: self.site.layout().callers(),
            service: self.site.layout().service(service, Protocol::Udp),
            interval: Duration::from_millis(50),
            silence: ANSWER_TIMEOUT,
        };
        let flows = udp::Flows::start(config, count).await?;
        let established = async || (flows.report().established == count).then_some(());
        self.wait_for("UDP flows established", established).await;
        assert_eq!(
            flows.report().breaks,
            [],
            "flows moved to another target while they were opened"
        );
        Ok(flows)
    }

    /// Opens TCP flows to a service and waits until all are established.
    pub async fn open_tcp_flows(&self, service: u8, count: usize) -> stream::Flows {
        let config = stream::Config {
            local: self.site.layout().callers(),
            service: self.site.layout().service(service, Protocol::Tcp),
            interval: Duration::from_millis(50),
            silence: ANSWER_TIMEOUT,
            lifetime: None,
        };
        let flows = stream::Flows::start(config, count);
        let established = async || (flows.report().established == count).then_some(());
        self.wait_for("TCP flows established", established).await;
        flows
    }

    /// Returns the configuration of idempotent requests to a service; `prefix` starts with the name
    /// of the service.
    pub fn idempotent_requests(&self, service: u8, prefix: &str) -> requests::Config {
        requests::Config {
            prefix: prefix.into(),
            local: self.site.layout().callers(),
            service: self.site.layout().service(service, Protocol::Http),
            http2: false,
            method: http::Method::GET,
            path: "/status".into(),
            key: false,
            resends: 0,
            deadline: Duration::from_secs(5),
            pause: Duration::from_millis(20),
        }
    }

    /// Returns the configuration of non-idempotent orders with a key and resends. Each must run at
    /// most once.
    pub fn orders(&self, service: u8, prefix: &str) -> requests::Config {
        requests::Config {
            method: http::Method::POST,
            path: "/orders".into(),
            key: true,
            resends: 5,
            ..self.idempotent_requests(service, prefix)
        }
    }

    /// Waits until the flows have received `more` further answers.
    pub async fn wait_for_echoes(&self, report: impl Fn() -> Report, more: u64) {
        let goal = report().answered + more;
        self.wait_for("answers", async || {
            (report().answered >= goal).then_some(())
        })
        .await;
    }

    /// Waits until the workers have received `more` further answers.
    pub async fn wait_for_answers(&self, workers: &requests::Workers, more: u64) {
        let answered = || {
            let report = workers.report();
            let count = report.attempts.get(&requests::Outcome::Answered);
            count.copied().unwrap_or(0)
        };
        let goal = answered() + more;
        self.wait_for("answers", async || (answered() >= goal).then_some(()))
            .await;
    }
}

/// Protocols of every service.
pub const ALL_PROTOCOLS: [Protocol; 3] = [Protocol::Udp, Protocol::Tcp, Protocol::Http];

/// Returns the name of a balancer.
pub fn balancer(number: u8) -> String {
    format!("lb-{number:02}")
}

/// Returns the service that the name of a target or instance starts with.
pub fn service_of(name: &str) -> &str {
    name.split('-').next().unwrap_or("")
}

/// Returns the number of attempts with an outcome.
pub fn attempts(report: &requests::Report, outcome: requests::Outcome) -> u64 {
    report.attempts.get(&outcome).copied().unwrap_or(0)
}

/// Asserts that each attempt ended with a complete answer or was refused as not run.
pub fn assert_no_interrupted_request(report: &requests::Report) {
    let is_complete = |outcome: &requests::Outcome| {
        matches!(
            outcome,
            requests::Outcome::Answered | requests::Outcome::NotRun
        )
    };
    let (attempts, failures) = (&report.attempts, &report.failures);
    assert!(
        attempts.keys().all(is_complete),
        "{attempts:?}, {failures:?}"
    );
}

/// Claims the first address range that no other site uses. The claim lasts until the process ends,
/// because tasks of a dropped stand-in may keep addresses bound a little longer.
fn claim_addresses() -> site::Layout {
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    for a in FIRST_BLOCK..=LAST_BLOCK {
        for b in 0..=u8::MAX {
            let address: SocketAddr = (Ipv4Addr::new(127, a, b, 1), CLAIM_PORT).into();
            if let Ok(claim) = TcpListener::bind(address) {
                let mut claims = CLAIMS.lock().expect("no test fails with the lock held");
                claims.push(claim);
                return site::Layout { a, b };
            }
        }
    }
    panic!("all address ranges are in use");
}

fn register(layout: site::Layout, services: &[&str]) -> Register {
    let zones = site::ZONES.iter().map(|&name| Zone {
        name: name.into(),
        region: "".into(),
        out: false,
    });
    let entries = services.iter().enumerate().map(|(index, name)| {
        let index = u8::try_from(index).expect("few services");
        site::service(layout, index, name, &ALL_PROTOCOLS)
    });
    let rules = services.iter().map(|&name| Rule {
        service: name.into(),
        method: Some("POST".into()),
        path_prefix: Some("/orders".into()),
        non_idempotent: Some(true),
        class: Some(Class::High),
    });
    Register {
        revision: 0,
        zones: zones.collect(),
        services: entries.collect(),
        rules: rules.collect(),
    }
}
