//! Settings of a `run` balancer.

use std::{
    fmt,
    net::SocketAddr,
    sync::Arc, //
};

mulberrynotch_macros::document! {
    /// Settings of one `run` process.
    pub struct Settings {
        /// Unique name of the VM.
        pub name: Arc<str>,
        /// Availability zone that the VM runs in.
        pub zone: Arc<str>,
        /// Path by which traffic of callers reaches the VM.
        pub ingress: Ingress,
        /// Address for traffic between balancers, over UDP and TCP.
        pub peer_address: SocketAddr,
        /// Address of the platform's HTTP interface.
        pub platform_address: SocketAddr,
        /// Address of the endpoint for state dump and metrics.
        pub admin_address: SocketAddr,
        /// Permits an admin address that is not a loopback address.
        #[serde(default)]
        pub admin_public: bool,
        /// Peer addresses of balancers to contact first.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Secrets shared by the fleet: the first one signs frames, all of them verify.
        pub secrets: Vec<Secret>,
        /// Lowest severity that is logged.
        #[serde(default)]
        pub log_level: Level,
        /// Resource limits of the process.
        #[serde(default)]
        pub limits: Limits,
    }

    /// Path by which traffic of callers reaches the VM.
    #[serde(tag = "mode", rename_all = "lowercase")]
    pub enum Ingress {
        /// The service addresses belong to this VM.
        Direct,
        /// The network fabric forwards the traffic and prepends a PROXY protocol version 2 header.
        Proxy {
            /// Address that receives the datagrams and connections.
            address: SocketAddr,
            /// Address of the fabric that receives datagrams to callers.
            return_address: SocketAddr,
        },
    }

    /// Resource limits of the process.
    #[serde(default)]
    pub struct Limits {
        /// Maximum number of flow records.
        pub max_flows: u32,
        /// Maximum number of hints on the targets of flows.
        pub max_hints: u32,
        /// Maximum number of concurrent requests of callers.
        pub max_requests: u32,
        /// Rate limit of outgoing control traffic, in bytes per second.
        pub control_bytes_per_second: u32,
        /// Time limit of a graceful shutdown, in seconds.
        pub drain_seconds: u32,
    }
}

mulberrynotch_macros::value! {
    /// Severity of log events.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum Level {
        /// Failures that require action by an operator.
        Error,
        /// Failures that the process handles.
        Warn,
        /// Changes of state.
        #[default]
        Info,
        /// Individual decisions.
        Debug,
    }
}

/// Secret shared by the fleet; `Debug` and `Serialize` omit the key.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
    /// Identifier of the secret, sent in each envelope.
    pub id: u8,
    /// Key of 32 bytes, as hexadecimal digits.
    #[serde(skip_serializing)]
    pub key_hex: Arc<str>,
}

impl Secret {
    /// Returns the key, or `None` if `key_hex` is not 64 hexadecimal digits.
    pub fn key(&self) -> Option<[u8; 32]> {
        let digits = self.key_hex.as_bytes();
        let mut key = [0; 32];
        if digits.len() != 2 * key.len() {
            return None;
        }
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = u8::try_from(high * 16 + low).ok()?;
        }
        Some(key)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secret")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_flows: 400_000,
            max_hints: 400_000,
            max_requests: 2_048,
            control_bytes_per_second: 2_048,
            // A handover of 8,000 flows takes up to 90 s at the rate limit of control traffic.
            drain_seconds: 180,
        }
    }
}
