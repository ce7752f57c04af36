//! Network adapters for flows, requests, peers, the platform, health probes and the admin endpoint.
//!
//! [`node::run`] assembles them into a running process. [`core::Core`] holds the state machines of
//! the policy crate; the adapters pass events to it and carry out its decisions. [`steer::run`]
//! runs the process that forwards packets by target cookies.
//!
//! ```
//! use mulberrynotch_net::proxy;
//!
//! let caller = "192.0.2.1:7000".parse().unwrap();
//! let address = "198.51.100.1:53".parse().unwrap();
//! let header = proxy::header(proxy::Transport::Datagram, caller, address);
//! let parsed = proxy::parse(&header, proxy::Transport::Datagram).unwrap();
//! assert_eq!((parsed.caller, parsed.address), (caller, address));
//! ```

pub mod admin;
pub mod core;
pub mod datagram;
pub mod document;
pub mod event;
pub mod http;
pub mod node;
pub mod peer;
pub mod platform;
pub mod preface;
pub mod probe;
pub mod proxy;
pub mod request;
pub mod snapshot;
pub mod steer;
pub mod tcp;
pub mod udp;

/// The modules that most users of this crate import.
pub mod prelude {
    pub use crate::core;
    pub use crate::node;
}
