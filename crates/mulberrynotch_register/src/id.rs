//! Fixed-length identifiers of services and targets, for frames and hashing.

use xxhash_rust::xxh3;

mulberrynotch_macros::value! {
    /// Identifier of a service: a hash of its name.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Service(pub u64);

    /// Identifier of a target: a hash of its name and of its service's identifier.
    #[derive(serde::Serialize, serde::Deserialize)]
    pub struct Target(pub u64);
}

impl Service {
    /// Returns the identifier of the service called `name`.
    pub fn new(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

impl Target {
    /// Returns the identifier of the target called `name` of `service`.
    ///
    /// The service is part of the hash, so that a target that moves to another service becomes a
    /// different target.
    pub fn new(service: Service, name: &str) -> Self {
        Self(xxh3::xxh3_64_with_seed(name.as_bytes(), service.0))
    }
}
