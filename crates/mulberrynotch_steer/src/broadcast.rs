//! Broadcast tree for changes in a large zone.
//!
//! The reader of the store sends changes to a few peers, each of which relays them to a part of the
//! others. No balancer sends more than a few copies, however large the zone is.

use std::net::SocketAddrV4;

/// Largest number of peers to which the reader sends changes directly.
pub const MAX_DIRECT_PEERS: usize = 32;

/// Copies that each balancer sends in a larger zone.
pub const FANOUT: usize = 4;

/// A peer and the peers to which it relays changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// Peer that gets the changes directly.
    pub head: SocketAddrV4,
    /// Peers to which it relays the changes.
    pub rest: Vec<SocketAddrV4>,
}

/// Splits peers into branches headed by the first peers. With at most `direct` peers, each of them
/// is the head of its own branch.
pub fn branches(peers: &[SocketAddrV4], direct: usize) -> Vec<Branch> {
    let head_count = if peers.len() <= direct {
        peers.len()
    } else {
        FANOUT.min(peers.len())
    };
    let (heads, others) = peers.split_at(head_count);
    let count = heads.len();
    let branches = heads.iter().enumerate().map(|(index, head)| Branch {
        head: *head,
        rest: others.iter().skip(index).step_by(count).copied().collect(),
    });
    branches.collect()
}
