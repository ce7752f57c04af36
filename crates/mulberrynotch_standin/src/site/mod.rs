//! A complete site on loopback: platform, fabric, targets and balancers.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    },
};

use http::Method;
use mulberrynotch_register::model;
use tokio::time;

use crate::{
    fabric,
    http as web,
    platform,
    role,
    target, //
};

mod layout;
pub mod process;

pub use layout::{
    Layout,
    ZONES,
    entry,
    service, //
};
pub use process::{
    Process,
    Program, //
};

/// Time limit for a balancer to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of polling a balancer for readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address plan.
    pub layout: Layout,
    /// Program of a balancer, which takes the path of its settings as last argument.
    pub balancer: Program,
    /// Program of a stand-in, which takes its role as JSON as last argument; without it, stand-ins
    /// run in this process.
    pub standin: Option<Program>,
    /// Seed of the fabric.
    pub seed: u64,
    /// Folder for settings and log files of balancers.
    pub folder: PathBuf,
    /// True to keep the folder when the site ends.
    pub keep_folder: bool,
}

/// A stand-in that runs in this process or in a separate one.
enum Standin {
    Local(#[expect(dead_code, reason = "held until the stand-in is stopped")] role::Running),
    Process(#[expect(dead_code, reason = "held until the stand-in is stopped")] Process),
}

/// A balancer process of a site.
pub struct Balancer {
    /// Number in the address plan.
    pub number: u8,
    /// Availability zone.
    pub zone: String,
    /// Its process.
    pub process: Process,
    /// True while the platform lists it as leaving.
    pub leaving: bool,
    /// True while the fabric delivers traffic to it.
    pub in_fabric: bool,
}

/// A target of a site.
pub struct Target {
    /// Configuration.
    pub config: target::Config,
    /// Availability zone.
    pub zone: String,
    _standin: Standin,
}

/// A running site, whose processes are killed on drop.
pub struct Site {
    config: Config,
    /// Register of the site; changes to it take effect with [`Site::publish`].
    pub register: model::Register,
    /// Balancers by name.
    pub balancers: BTreeMap<String, Balancer>,
    /// Targets by name.
    pub targets: BTreeMap<String, Target>,
    _platform: Standin,
    _fabric: Standin,
}

impl Site {
    /// Starts platform and fabric for the services of `register`, without publishing the register.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or an address cannot be bound.
    pub async fn start(config: Config, register: model::Register) -> io::Result<Self> {
        std::fs::create_dir_all(&config.folder)?;
        let layout = config.layout;
        let address = layout.platform();
        let platform = start_standin(&config, role::Role::Platform { address }).await?;
        let addresses = |udp: bool| {
            let services = register.services.iter();
            services
                .flat_map(|service| &service.addresses)
                .filter(|address| (address.protocol == model::Protocol::Udp) == udp)
                .map(|address| address.address)
                .collect()
        };
        let fabric = role::Role::Fabric {
            config: fabric::Config {
                return_address: layout.fabric_return(),
                udp: addresses(true),
                tcp: addresses(false),
                balancers: Vec::new(),
                seed: config.seed,
            },
            control: layout.fabric_control(),
        };
        let fabric = start_standin(&config, fabric).await?;
        Ok(Self {
            config,
            register,
            balancers: BTreeMap::new(),
            targets: BTreeMap::new(),
            _platform: platform,
            _fabric: fabric,
        })
    }

    /// Returns the address plan of the site.
    pub fn layout(&self) -> Layout {
        self.config.layout
    }

    /// Starts a target and adds it to the register, without publishing the register.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn add_target(
        &mut self,
        service: usize,
        config: target::Config,
        zone: &str,
    ) -> io::Result<()> {
        let role = role::Role::Target {
            config: config.clone(),
        };
        let standin = start_standin(&self.config, role).await?;
        let entry = entry(&config, zone);
        self.register.services[service].targets.push(entry);
        let target = Target {
            config,
            zone: zone.into(),
            _standin: standin,
        };
        self.targets.insert(target.config.name.clone(), target);
        Ok(())
    }

    /// Publishes the register with the next revision.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn publish(&mut self) -> io::Result<()> {
        self.register.revision += 1;
        let text = serde_json::to_string(&self.register).map_err(io::Error::other)?;
        let platform = self.layout().platform();
        web::call(platform, Method::PUT, "/control/register", text)
            .await
            .map(drop)
    }

    /// Starts a balancer and adds it to the platform's list of VMs. It serves once
    /// [`Site::await_ready`] returns.
    ///
    /// # Errors
    ///
    /// Fails when its settings cannot be written or it cannot be started.
    pub async fn add_balancer(&mut self, number: u8, name: &str, zone: &str) -> io::Result<()> {
        let path = self.config.folder.join(format!("{name}.json"));
        std::fs::write(&path, self.layout().settings(number, name, zone))?;
        let argument = path.to_string_lossy();
        let log = path.with_extension("log");
        let balancer = Balancer {
            number,
            zone: zone.into(),
            process: self.config.balancer.start(&[&argument], &log)?,
            leaving: false,
            in_fabric: false,
        };
        self.balancers.insert(name.into(), balancer);
        self.publish_vms().await
    }

    /// Waits until a balancer serves, and adds it to the fabric.
    ///
    /// # Errors
    ///
    /// Fails when the balancer does not serve within ten seconds.
    pub async fn await_ready(&mut self, name: &str) -> io::Result<()> {
        let admin = self.layout().admin(self.balancer(name)?.number);
        let start = Instant::now();
        while web::call(admin, Method::GET, "/healthz", "").await.is_err() {
            if start.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other(format!(
                    "{name} did not become ready within 10 s"
                )));
            }
            time::sleep(POLL_INTERVAL).await;
        }
        self.balancer(name)?.in_fabric = true;
        self.publish_balancers().await
    }

    /// Returns the state dump of a balancer.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn dump(&self, name: &str) -> io::Result<serde_json::Value> {
        let balancer = self.balancers.get(name).ok_or(io::ErrorKind::NotFound)?;
        web::get(self.layout().admin(balancer.number), "/dump").await
    }

    /// Stops a balancer gracefully: the platform lists it as leaving, it receives SIGTERM, and the
    /// fabric stops delivering to it `lag` later.
    ///
    /// # Errors
    ///
    /// Fails when it has not ended within `limit`.
    pub async fn stop_balancer(
        &mut self,
        name: &str,
        lag: Duration,
        limit: Duration,
    ) -> io::Result<std::process::ExitStatus> {
        self.begin_stop(name).await?;
        time::sleep(lag).await;
        self.remove_from_fabric(name).await?;
        self.finish_stop(name, limit).await
    }

    /// First step of [`Site::stop_balancer`]: the platform lists the balancer as leaving, and it
    /// receives SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the signal cannot be sent.
    pub async fn begin_stop(&mut self, name: &str) -> io::Result<()> {
        self.balancer(name)?.leaving = true;
        self.publish_vms().await?;
        self.balancer(name)?.process.signal("TERM")
    }

    /// Makes the fabric stop delivering to a balancer.
    ///
    /// # Errors
    ///
    /// Fails when the fabric does not answer.
    pub async fn remove_from_fabric(&mut self, name: &str) -> io::Result<()> {
        self.balancer(name)?.in_fabric = false;
        self.publish_balancers().await
    }

    /// Last step of [`Site::stop_balancer`]: waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when it has not ended within `limit`.
    pub async fn finish_stop(
        &mut self,
        name: &str,
        limit: Duration,
    ) -> io::Result<std::process::ExitStatus> {
        let status = self.balancer(name)?.process.wait(limit).await?;
        self.balancers.remove(name);
        self.publish_vms().await?;
        Ok(status)
    }

    /// Kills a balancer, without updating fabric and platform.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub fn kill_balancer(&mut self, name: &str) -> io::Result<()> {
        self.balancer(name)?.process.kill()
    }

    /// Removes a balancer from fabric and platform.
    ///
    /// # Errors
    ///
    /// Fails when fabric or platform does not answer.
    pub async fn remove_balancer(&mut self, name: &str) -> io::Result<()> {
        self.balancers.remove(name);
        self.publish_balancers().await?;
        self.publish_vms().await
    }

    /// Returns the counters of a target.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn counts(&self, name: &str) -> io::Result<target::Counts> {
        let target = self.targets.get(name).ok_or(io::ErrorKind::NotFound)?;
        web::get(target.config.load, "/control/counts").await
    }

    /// Replaces the behaviour of a target.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn set_target_behaviour(
        &self,
        name: &str,
        behaviour: &target::Behaviour,
    ) -> io::Result<()> {
        let target = self.targets.get(name).ok_or(io::ErrorKind::NotFound)?;
        web::put(target.config.load, "/control/behaviour", behaviour).await
    }

    /// Replaces the faults of the platform.
    ///
    /// # Errors
    ///
    /// Fails when it does not answer.
    pub async fn set_platform_behaviour(&self, behaviour: &platform::Behaviour) -> io::Result<()> {
        web::put(self.layout().platform(), "/control/behaviour", behaviour).await
    }

    fn balancer(&mut self, name: &str) -> io::Result<&mut Balancer> {
        let balancer = self.balancers.get_mut(name);
        balancer.ok_or_else(|| io::Error::other(format!("no balancer {name}")))
    }

    async fn publish_vms(&self) -> io::Result<()> {
        let vms: Vec<platform::Vm> = self
            .balancers
            .iter()
            .map(|(name, balancer)| platform::Vm {
                name: name.clone(),
                zone: balancer.zone.clone(),
                peer: self.layout().peer(balancer.number),
                state: if balancer.leaving { "leaving" } else { "live" }.into(),
            })
            .collect();
        web::put(self.layout().platform(), "/control/vms", &vms).await
    }

    async fn publish_balancers(&self) -> io::Result<()> {
        let balancers: Vec<SocketAddr> = self
            .balancers
            .values()
            .filter(|balancer| balancer.in_fabric)
            .map(|balancer| self.layout().ingress(balancer.number))
            .collect();
        let control = self.layout().fabric_control();
        web::put(control, "/control/balancers", &balancers).await
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        // Balancers are stopped before the folder of their settings and logs is removed.
        self.balancers.clear();
        if !self.config.keep_folder {
            let _ = std::fs::remove_dir_all(&self.config.folder);
        }
    }
}

async fn start_standin(config: &Config, role: role::Role) -> io::Result<Standin> {
    match &config.standin {
        Some(program) => {
            let json = serde_json::to_string(&role).map_err(io::Error::other)?;
            let process = program.start_until(&[&json], role::READY).await?;
            Ok(Standin::Process(process))
        }
        None => role::start(role).await.map(Standin::Local),
    }
}
