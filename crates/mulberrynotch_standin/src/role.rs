//! Starting stand-ins that are controlled over loopback HTTP, in this or in a separate process.
//!
//! A platform is controlled at its service address and a target at the address of its load report;
//! fabric and fault-injecting proxy have a separate control address.

use std::{
    any::Any,
    io::{
        self,
        Read,
        Write, //
    },
    net::SocketAddr,
};

use http::StatusCode;
use tokio::net::TcpListener;

use crate::{
    fabric,
    fault,
    http as web,
    platform,
    target,
    task::Group, //
};

/// Line that a stand-in process prints to standard output once it serves.
pub const READY: &str = "ready";

/// Kind of a stand-in, with its configuration.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "role", rename_all = "lowercase")]
pub enum Role {
    /// [`platform::Platform`].
    Platform {
        /// Address of the service and of `/control`.
        address: SocketAddr,
    },
    /// [`fabric::Fabric`].
    Fabric {
        /// Configuration.
        config: fabric::Config,
        /// Control address, for `PUT /control/balancers`.
        control: SocketAddr,
    },
    /// [`target::Target`].
    Target {
        /// Configuration.
        config: target::Config,
    },
    /// [`fault::Proxy`].
    Fault {
        /// True for UDP, false for TCP.
        udp: bool,
        /// Address to listen on.
        address: SocketAddr,
        /// Address to forward traffic to.
        upstream: SocketAddr,
        /// Seed of losses and delays.
        seed: u64,
        /// Control address, for `PUT /control/plan`.
        control: SocketAddr,
    },
}

/// Handle of a running stand-in, which stops when the handle is dropped.
pub struct Running {
    _standin: Box<dyn Any + Send + Sync>,
    _control: Group,
}

/// Starts a stand-in and its control interface.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start(role: Role) -> io::Result<Running> {
    let control = Group::default();
    let standin: Box<dyn Any + Send + Sync> = match role {
        Role::Platform { address } => Box::new(platform::Platform::start(address).await?),
        Role::Target { config } => Box::new(target::Target::start(config).await?),
        Role::Fabric {
            config,
            control: address,
        } => {
            let fabric = std::sync::Arc::new(fabric::Fabric::start(config).await?);
            let shared = fabric.clone();
            let change = move |balancers| shared.set_balancers(balancers);
            serve_control(&control, address, "/control/balancers", change).await?;
            Box::new(fabric)
        }
        Role::Fault {
            udp,
            address,
            upstream,
            seed,
            control: control_address,
        } => {
            let proxy = if udp {
                fault::Proxy::udp(address, upstream, seed).await?
            } else {
                fault::Proxy::tcp(address, upstream, seed).await?
            };
            let proxy = std::sync::Arc::new(proxy);
            let shared = proxy.clone();
            serve_control(&control, control_address, "/control/plan", move |plan| {
                shared.set_plan(plan)
            })
            .await?;
            Box::new(proxy)
        }
    };
    Ok(Running {
        _standin: standin,
        _control: control,
    })
}

async fn serve_control<T: serde::de::DeserializeOwned + 'static>(
    tasks: &Group,
    address: SocketAddr,
    path: &'static str,
    change: impl Fn(T) + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tasks.spawn(web::serve(listener, move |request| {
        let answer = if request.uri().path() == path {
            web::apply(request.body(), &change)
        } else {
            web::status(StatusCode::NOT_FOUND)
        };
        async move { answer }
    }));
    Ok(())
}

/// Runs the stand-in described by `json` until standard input ends.
///
/// # Errors
///
/// Fails when the JSON is malformed or an address cannot be bound.
pub fn run(json: &str) -> io::Result<()> {
    let role: Role = serde_json::from_str(json).map_err(io::Error::other)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let running = runtime.block_on(start(role))?;
    let mut stdout = io::stdout();
    writeln!(stdout, "{READY}")?;
    stdout.flush()?;
    wait_for_stdin_end()?;
    drop(running);
    Ok(())
}

/// Blocks until standard input ends, which happens when the process at its other end exits.
///
/// # Errors
///
/// Fails when standard input cannot be read.
pub fn wait_for_stdin_end() -> io::Result<()> {
    let mut stdin = io::stdin().lock();
    let mut buffer = [0; 64];
    while stdin.read(&mut buffer)? > 0 {}
    Ok(())
}
