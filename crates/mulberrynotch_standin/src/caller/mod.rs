//! Callers: long-lived flows that detect breaks, and requests that record their outcomes.

pub mod requests;
pub mod stream;
pub mod udp;

/// Reason why a flow broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Another instance answered.
    Moved,
    /// No answer arrived within the configured time.
    Silent,
    /// The connection was closed.
    Closed,
}

/// A break of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// Index of the flow.
    pub flow: usize,
    /// Instance that served the flow before.
    pub instance: String,
    /// Reason.
    pub cause: Cause,
    /// Time of detection.
    pub at: std::time::Instant,
}

/// Results of the flows of a caller.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of flows that were served at least once.
    pub established: usize,
    /// Number of datagrams or messages sent.
    pub sent: u64,
    /// Number of answers received.
    pub answered: u64,
    /// Breaks, in the order of their detection.
    pub breaks: Vec<Break>,
    /// Instance that currently serves each established flow, by the index of the flow.
    pub instances: std::collections::BTreeMap<usize, String>,
}
