//! One connection to each peer or target, replaced when it ends or goes silent.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use super::connection;
use crate::core;

/// A connection without a new request for this long is closed.
const IDLE: Duration = Duration::from_secs(60);

/// Connections that one call tries before it gives up.
const MAX_TRIES: usize = 3;

#[derive(Default)]
struct Slot {
    connection: tokio::sync::Mutex<Option<connection::Connection>>,
    failures: AtomicU64,
    used_ms: AtomicU64,
}

/// Connections by the address of the other side.
pub(super) struct Pool {
    hello: Option<Vec<u8>>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

impl Pool {
    /// Writes `hello` at the start of each connection.
    pub(super) fn new(hello: Option<Vec<u8>>) -> Self {
        Self {
            hello,
            slots: Mutex::default(),
        }
    }

    /// A lease that sends one request to `address`.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made; no request has been sent then.
    pub(super) async fn get(
        &self,
        now: Duration,
        address: SocketAddr,
    ) -> io::Result<connection::Lease> {
        let slot = self.slot(address);
        slot.used_ms.store(core::millis(now), Ordering::Relaxed);
        for _ in 0..MAX_TRIES {
            let connection = self.connection(&slot, address).await?;
            if let Ok(lease) = connection.lease().await {
                return Ok(lease);
            }
            // Requests that run on the connection go on; another takes the new ones.
            let mut held = slot.connection.lock().await;
            if held.as_ref().is_some_and(|held| held.is(&connection)) {
                *held = None;
            }
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Number of addresses with a connection.
    pub(super) fn len(&self) -> usize {
        self.slots().len()
    }

    /// Closes connections that were not used lately, once their requests have ended.
    pub(super) fn tick(&self, now: Duration) {
        let limit = core::millis(now.saturating_sub(IDLE));
        self.slots()
            .retain(|_, slot| slot.used_ms.load(Ordering::Relaxed) >= limit);
    }

    async fn connection(
        &self,
        slot: &Slot,
        address: SocketAddr,
    ) -> io::Result<connection::Connection> {
        let failures = slot.failures.load(Ordering::Relaxed);
        let mut held = slot.connection.lock().await;
        if let Some(connection) = held.as_ref().filter(|connection| connection.usable()) {
            return Ok(connection.clone());
        }
        *held = None;
        // Requests that waited for an attempt that failed don't repeat it one after the other.
        if slot.failures.load(Ordering::Relaxed) != failures {
            return Err(io::ErrorKind::NotConnected.into());
        }
        match connection::Connection::open(address, self.hello.as_deref()).await {
            Ok(connection) => Ok(held.insert(connection).clone()),
            Err(error) => {
                slot.failures.fetch_add(1, Ordering::Relaxed);
                Err(error)
            }
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        self.slots().entry(address).or_default().clone()
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
