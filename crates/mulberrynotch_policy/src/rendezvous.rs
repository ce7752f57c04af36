//! Rendezvous hashing.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use xxhash_rust::xxh3;

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight is selected.
pub fn weight(key: u64, candidate: u64) -> u64 {
    // SplitMix64 finalizer: cheap, and each input bit flips about half of the output bits.
    let mut x = key ^ candidate.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hash of a name.
pub fn hash_name(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Returns the hash of a socket address under `seed`.
pub fn hash_address(address: SocketAddr, seed: u64) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    xxh3::xxh3_64_with_seed(&bytes, seed)
}
