//! Records of keys, and the rules by which reports about a key are merged.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::key;

use super::WINDOW;

/// Time without a report after which the outcome of a request that runs through another process is
/// unknown; equal to the longest graceful shutdown.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(30);

/// Record of a key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Most preferred target of the key under the register in effect.
    pub(super) home: id::Target,
    /// Most preferred target of the key when the record was created.
    pub(super) origin: id::Target,
    pub(super) request: u64,
    pub(super) state: key::State,
    pub(super) created_at: Duration,
    changed_at: Duration,
    /// True while the request runs through this process.
    pub(super) local: bool,
    /// Sender and sequence number of the last report.
    source: Option<(Arc<str>, u32)>,
}

impl Record {
    pub(super) fn new(now: Duration, home: id::Target, request: u64) -> Self {
        Self {
            home,
            origin: home,
            request,
            state: key::State::Running,
            created_at: now,
            changed_at: now,
            local: true,
            source: None,
        }
    }

    pub(super) fn set(&mut self, now: Duration, state: key::State) {
        self.state = state;
        self.changed_at = now;
        self.local &= state == key::State::Running;
    }

    pub(super) fn to_message(&self, now: Duration, key: key::Key) -> key::Record {
        let age = now.saturating_sub(self.created_at).as_millis();
        key::Record {
            key,
            home: self.home,
            request: self.request,
            state: self.state,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    fn is_expired(&self, now: Duration) -> bool {
        !self.local && now >= self.created_at + WINDOW
    }
}

/// Merges a report of the peer `from` about a key. Returns false if the record differs from the
/// report, or if the request runs through another process than `from`.
///
/// A report never changes a key that may have run to "not run", unless it comes from the process
/// that reported the run.
pub(super) fn merge(
    records: &mut HashMap<key::Key, Record>,
    now: Duration,
    report: key::Record,
    from: &str,
    sequence: u32,
) -> bool {
    let source = Some((Arc::from(from), sequence));
    let age = Duration::from_millis(report.age_ms.into());
    let Some(known) = records.get_mut(&report.key) else {
        let mut record = Record::new(now.saturating_sub(age), report.home, report.request);
        record.set(now, report.state);
        record.local = false;
        record.source = source;
        records.insert(report.key, record);
        return true;
    };
    if known.request != report.request {
        return false;
    }
    let order = known.source.as_ref().filter(|(name, _)| **name == *from);
    let is_stale = order.is_some_and(|(_, last)| sequence < *last);
    let is_newer = order.is_some_and(|(_, last)| sequence > *last);
    let is_higher = rank(report.state) > rank(known.state);
    let retracts = is_newer && known.state == key::State::Running;
    let is_final = rank(report.state) > 1;
    let prevails = is_final || (!is_stale && !known.local);
    if prevails && (is_higher || retracts) {
        known.set(now, report.state);
        known.local = false;
        known.source = if is_stale {
            known.source.take()
        } else {
            source
        };
    }
    let (running, local) = (report.state == key::State::Running, known.local);
    let source = known.source.as_ref();
    let is_from_runner = !local && !is_stale && source.is_some_and(|(name, _)| **name == *from);
    known.state == report.state && (!running || is_from_runner)
}

fn rank(state: key::State) -> u8 {
    match state {
        key::State::NotRun => 0,
        key::State::Running => 1,
        key::State::Unknown => 2,
        key::State::Done { .. } => 3,
    }
}

/// Removes expired records and returns their keys; marks remote runs without recent reports as
/// unknown.
pub(super) fn expire(records: &mut HashMap<key::Key, Record>, now: Duration) -> Vec<key::Key> {
    let mut expired = Vec::new();
    records.retain(|key, record| {
        let keep = !record.is_expired(now);
        if !keep {
            expired.push(*key);
        }
        let timed_out = now >= record.changed_at + REMOTE_TIMEOUT;
        if !record.local && record.state == key::State::Running && timed_out {
            record.set(now, key::State::Unknown);
        }
        keep
    });
    expired
}
