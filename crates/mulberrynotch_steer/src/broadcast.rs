//! The tree along which changes spread in a large zone.
//!
//! The reader of the store sends changes to a few peers, each of which passes them on to a part of
//! the others. No balancer sends more than a few copies, however large the zone is.

use std::net::SocketAddrV4;

/// Peers up to which the reader sends to each one itself.
pub const MAX_DIRECT_PEERS: usize = 32;

/// Copies that a balancer of a larger zone sends.
pub const FANOUT: usize = 4;

/// A peer, and those that it passes changes on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// Who gets the changes.
    pub head: SocketAddrV4,
    /// Who gets them from there.
    pub rest: Vec<SocketAddrV4>,
}

/// Splits peers into branches; the first ones become heads. Up to `direct` peers are heads all.
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
