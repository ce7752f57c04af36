//! Connection pool: one connection per peer or target, replaced when it ends or stops responding.

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

/// Time without a new request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of connections that one call of [`Pool::get`] tries.
const MAX_TRIES: usize = 3;

#[derive(Default)]
struct Slot {
    connection: tokio::sync::Mutex<Option<connection::Connection>>,
    failures: AtomicU64,
    used_ms: AtomicU64,
}

/// Connections by remote address.
pub(super) struct Pool {
    preface: Option<Vec<u8>>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

impl Pool {
    /// Creates an empty pool that writes `preface` at the start of each connection.
    pub(super) fn new(preface: Option<Vec<u8>>) -> Self {
        Self {
            preface,
            slots: Mutex::default(),
        }
    }

    /// Returns a lease for one request to `address`.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be established; no request has been sent in that case.
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
            // Requests on the old connection continue; new requests use a new connection.
            let mut held = slot.connection.lock().await;
            if held.as_ref().is_some_and(|held| held.is_same(&connection)) {
                *held = None;
            }
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Returns the number of addresses in the pool.
    pub(super) fn len(&self) -> usize {
        self.slots().len()
    }

    /// Removes idle connections, which close once their requests have ended.
    pub(super) fn tick(&self, now: Duration) {
        let limit = core::millis(now.saturating_sub(IDLE_TIMEOUT));
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
        if let Some(connection) = held.as_ref().filter(|connection| connection.is_usable()) {
            return Ok(connection.clone());
        }
        *held = None;
        // Requests that waited for a failed connect fail with it instead of each retrying in turn.
        if slot.failures.load(Ordering::Relaxed) != failures {
            return Err(io::ErrorKind::NotConnected.into());
        }
        match connection::Connection::open(address, self.preface.as_deref()).await {
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
