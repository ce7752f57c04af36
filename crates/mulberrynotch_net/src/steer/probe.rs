//! TCP connection probes of targets.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_steer::{
    evidence,
    record, //
};
use tokio::net::TcpStream;

use super::Node;

/// Time limit for a connection; several times the network delay between availability zones.
const TIMEOUT: Duration = Duration::from_millis(100);

impl Node {
    /// Connects to a target and reports the outcome to the state machine.
    pub(super) async fn probe(self: Arc<Self>, target: record::Id, address: SocketAddrV4) {
        metrics::counter!("mulberrynotch_probes_total").increment(1);
        let attempt = TcpStream::connect(SocketAddr::V4(address));
        let outcome = match tokio::time::timeout(TIMEOUT, attempt).await {
            Ok(Ok(_)) => evidence::Probe::Accepted,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                evidence::Probe::Refused
            }
            _ => evidence::Probe::Silent,
        };
        self.drive(|machine, now| machine.probed(now, target, outcome));
    }
}
