//! A site of real balancer processes for one test, and conditions to wait on.

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

/// Longest wait for a condition; reached only when a test fails.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Time without an answer after which a flow counts as broken. Longer than the detection of a dead
/// balancer, with room for a busy machine.
pub const SILENCE: Duration = Duration::from_secs(15);

/// Time between two looks at a condition.
const STEP: Duration = Duration::from_millis(50);

/// First two bytes of the addresses of all sites are `127.FIRST` to `127.LAST`.
const FIRST: u8 = 130;
const LAST: u8 = 137;

/// Port that a site holds at its first address, so that no other test run takes the same range.
const CLAIM_PORT: u16 = 7_999;

/// Sites of one test binary at a time.
static TURNS: Semaphore = Semaphore::const_new(4);

/// A site, its address range and its turn.
pub struct World {
    /// The site.
    pub site: site::Site,
    folder: PathBuf,
    _turn: SemaphorePermit<'static>,
}

impl Drop for World {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs of the balancers: {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl World {
    /// Starts platform, fabric and targets, `targets` of each service in each zone.
    pub async fn prepare(seed: u64, services: &[&str], targets: u8) -> io::Result<Self> {
        println!("seed {seed}");
        let turn = TURNS.acquire().await.expect("never closed");
        let layout = claim();
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
                let target = layout.target(host, &format!("{name}-{number}"), &ALL);
                let zone = site::ZONES[usize::from(number % 3)];
                site.add_target(index, target, zone).await?;
            }
        }
        Ok(Self {
            site,
            folder,
            _turn: turn,
        })
    }

    /// As [`World::prepare`], with `balancers` per zone that serve the first register.
    pub async fn start(
        seed: u64,
        services: &[&str],
        targets: u8,
        balancers: u8,
    ) -> io::Result<Self> {
        let mut world = Self::prepare(seed, services, targets).await?;
        world.serve(balancers).await?;
        Ok(world)
    }

    /// Publishes the register and starts `balancers` per zone.
    pub async fn serve(&mut self, balancers: u8) -> io::Result<()> {
        self.site.publish().await?;
        for number in 0..balancers * 3 {
            self.add_balancer(number).await?;
        }
        for number in 0..balancers * 3 {
            self.site.await_ready(&balancer(number)).await?;
        }
        self.steady().await;
        Ok(())
    }

    /// Starts balancer `number` in the zone that follows from its number.
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

    /// Kills a balancer; fabric and platform learn of it after the other balancers.
    pub async fn kill(&mut self, number: u8) -> io::Result<()> {
        let name = balancer(number);
        self.site.kill_balancer(&name)?;
        for other in self.names().iter().filter(|other| **other != name) {
            self.until("death noticed", async || {
                let dump = self.site.dump(other).await.ok()?;
                let members = dump["control"]["members"].as_array()?;
                let gone = |it: &Value| it["name"] != *name || it["state"] != "alive";
                members.iter().all(gone).then_some(())
            })
            .await;
        }
        self.site.forget_balancer(&name).await
    }

    /// Starts the stop of a balancer and returns once it drains.
    pub async fn begin_stop(&mut self, number: u8) -> io::Result<()> {
        let name = balancer(number);
        self.site.begin_stop(&name).await?;
        self.until("draining", async || {
            let dump = self.site.dump(&name).await.ok()?;
            (dump["draining"] == true).then_some(())
        })
        .await;
        self.site.withdraw(&name).await
    }

    /// Waits for the end of a balancer that stops; its exit status must be 0.
    pub async fn finish_stop(&mut self, number: u8) -> io::Result<()> {
        let name = balancer(number);
        let log = self.folder.join(format!("{name}.log"));
        let status = self.site.finish_stop(&name, LIMIT).await?;
        let log = std::fs::read_to_string(log)?;
        let last = log.lines().last().unwrap_or("");
        assert!(status.success(), "{name}: {status}, {last}");
        Ok(())
    }

    /// Names of all balancers.
    pub fn names(&self) -> Vec<String> {
        self.site.balancers.keys().cloned().collect()
    }

    /// Dumps of all balancers; `None` while one does not answer.
    pub async fn dumps(&self) -> Option<Vec<Value>> {
        let mut dumps = Vec::new();
        for name in self.site.balancers.keys() {
            dumps.push(self.site.dump(name).await.ok()?);
        }
        Some(dumps)
    }

    /// Waits until all balancers agree on register and members, and every target has one owner
    /// that decides alone.
    pub async fn steady(&self) {
        let targets = self.site.register.services.iter();
        let targets: usize = targets.map(|service| service.targets.len()).sum();
        self.until("steady", async || {
            let dumps = self.dumps().await?;
            let mut owned = 0;
            for dump in &dumps {
                let alive = |it: &&Value| it["state"] == "alive";
                let members = dump["control"]["members"].as_array()?;
                let phases = dump["flow"]["status"]["targets"].as_array()?;
                owned += dump["flow"]["owned_targets"].as_array()?.len();
                let good = dump["control"]["revision"] == self.site.register.revision
                    && dump["control"]["confirmed"] == true
                    && members.iter().filter(alive).count() == dumps.len()
                    && phases.iter().all(|it| it["phase"] == "active");
                if !good {
                    return None;
                }
            }
            (owned == targets).then_some(())
        })
        .await;
    }

    /// Waits until no redirect of a flow waits for its acknowledgement.
    pub async fn quiet(&self) {
        self.until("redirects acknowledged", async || {
            let dumps = self.dumps().await?;
            let done = |it: &Value| it["flow"]["status"]["waiting_redirects"] == 0;
            dumps.iter().all(done).then_some(())
        })
        .await;
    }

    /// Waits until the register that was published last is in effect at all balancers.
    pub async fn in_effect(&self) {
        let revision = self.site.register.revision;
        self.until("register in effect", async || {
            let dumps = self.dumps().await?;
            let all = dumps.iter().all(|it| it["control"]["revision"] == revision);
            all.then_some(())
        })
        .await;
    }

    /// Waits for a condition; fails with the dumps of all balancers after [`LIMIT`].
    pub async fn until<T>(&self, what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(value) = look().await {
                return value;
            }
            if start.elapsed() > LIMIT {
                for name in self.site.balancers.keys() {
                    match self.site.dump(name).await {
                        Ok(dump) => eprintln!("{dump}"),
                        Err(error) => eprintln!("{name}: {error}"),
                    }
                }
                panic!("not in time: {what}");
            }
            time::sleep(STEP).await;
        }
    }

    /// Lines of an event in the logs of all balancers.
    pub fn lines(&self, event: &str) -> io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for name in self.site.balancers.keys() {
            let log = std::fs::read_to_string(self.folder.join(format!("{name}.log")))?;
            let found = log.lines().filter(|it| it.contains(event));
            lines.extend(found.map(str::to_owned));
        }
        Ok(lines)
    }

    /// What all targets of a service have seen.
    pub async fn counts(&self, service: &str) -> io::Result<Vec<(String, target::Counts)>> {
        let mut counts = Vec::new();
        for name in self.site.targets.keys().filter(|it| prefix(it) == service) {
            counts.push((name.clone(), self.site.counts(name).await?));
        }
        Ok(counts)
    }

    /// Opens UDP flows to a service.
    pub async fn udp(&self, service: u8, count: usize) -> io::Result<udp::Flows> {
        let config = udp::Config {
            local: self.site.layout().callers(),
            service: self.site.layout().service(service, Protocol::Udp),
            interval: Duration::from_millis(50),
            silence: SILENCE,
        };
        let flows = udp::Flows::start(config, count).await?;
        let established = async || (flows.report().established == count).then_some(());
        self.until("UDP flows established", established).await;
        assert_eq!(flows.report().breaks, [], "moved while they were placed");
        Ok(flows)
    }

    /// Opens TCP flows to a service.
    pub async fn tcp(&self, service: u8, count: usize) -> stream::Flows {
        let config = stream::Config {
            local: self.site.layout().callers(),
            service: self.site.layout().service(service, Protocol::Tcp),
            interval: Duration::from_millis(50),
            silence: SILENCE,
            lifetime: None,
        };
        let flows = stream::Flows::start(config, count);
        let established = async || (flows.report().established == count).then_some(());
        self.until("TCP flows established", established).await;
        flows
    }

    /// Requests to a service that are idempotent; `prefix` starts with the name of the service.
    pub fn requests(&self, service: u8, prefix: &str) -> requests::Config {
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

    /// Orders to a service that must run at most once, with a key and resends.
    pub fn orders(&self, service: u8, prefix: &str) -> requests::Config {
        requests::Config {
            method: http::Method::POST,
            path: "/orders".into(),
            key: true,
            resends: 5,
            ..self.requests(service, prefix)
        }
    }

    /// Waits until the flows have had this many more answers.
    pub async fn echoed(&self, report: impl Fn() -> Report, more: u64) {
        let goal = report().answered + more;
        self.until("answers", async || {
            (report().answered >= goal).then_some(())
        })
        .await;
    }

    /// Waits until the workers have had this many more answers.
    pub async fn answered(&self, workers: &requests::Workers, more: u64) {
        let answered = || {
            let report = workers.report();
            let count = report.attempts.get(&requests::Outcome::Answered);
            count.copied().unwrap_or(0)
        };
        let goal = answered() + more;
        self.until("answers", async || (answered() >= goal).then_some(()))
            .await;
    }
}

/// Protocols of every service.
pub const ALL: [Protocol; 3] = [Protocol::Udp, Protocol::Tcp, Protocol::Http];

/// Name of a balancer.
pub fn balancer(number: u8) -> String {
    format!("lb-{number:02}")
}

/// The service that the name of a target or of an instance starts with.
pub fn prefix(name: &str) -> &str {
    name.split('-').next().unwrap_or("")
}

/// Number of attempts with an outcome.
pub fn attempts(report: &requests::Report, outcome: requests::Outcome) -> u64 {
    report.attempts.get(&outcome).copied().unwrap_or(0)
}

/// Fails when an attempt had another outcome than a complete answer or a refusal as not run.
pub fn assert_no_cut(report: &requests::Report) {
    let fine = |outcome: &requests::Outcome| {
        matches!(
            outcome,
            requests::Outcome::Answered | requests::Outcome::NotRun
        )
    };
    let (attempts, failures) = (&report.attempts, &report.failures);
    assert!(attempts.keys().all(fine), "{attempts:?}, {failures:?}");
}

/// Takes the first range that no other site holds. It stays taken until the process ends, because
/// tasks of a stand-in that was dropped may hold addresses a little longer.
fn claim() -> site::Layout {
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    for a in FIRST..=LAST {
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
        site::service(layout, index, name, &ALL)
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
