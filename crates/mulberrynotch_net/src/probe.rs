//! Health probes that fetch the load reports of owned targets.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use mulberrynotch_policy::{
    health,
    view, //
};
use mulberrynotch_register::id;
use tokio::sync::Semaphore;

use crate::{
    core,
    http, //
};

/// Interval between probes of a target.
const INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the probes started per tick.
const MAX_PER_TICK: usize = 16;

/// Limit on the probes in progress.
const MAX_IN_PROGRESS: usize = 32;

/// Time limit for a report.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Largest report.
const MAX_REPORT_BYTES: usize = 4 << 10;

/// Load report of a target.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
struct Report {
    load_percent: u32,
    boot: u64,
    #[serde(default)]
    leaving: bool,
}

/// Time of the next probe of each owned target.
#[derive(Debug, Default)]
pub struct Schedule {
    next: HashMap<id::Target, Duration>,
}

impl Schedule {
    /// Returns a bounded number of owned targets that are due, the longest overdue first, and
    /// schedules their next probes.
    pub fn due(&mut self, now: Duration, view: &view::View) -> Vec<(id::Target, SocketAddr)> {
        self.next.retain(|&target, _| view.owns(target));
        let mut due: Vec<(Duration, id::Target, SocketAddr)> = owned_targets(view)
            .map(|(target, address)| {
                let at = self.next.get(&target).copied().unwrap_or_default();
                (at, target, address)
            })
            .filter(|&(at, ..)| at <= now)
            .collect();
        due.sort_unstable();
        due.truncate(MAX_PER_TICK);
        for &(_, target, _) in &due {
            self.next.insert(target, now + INTERVAL);
        }
        due.into_iter()
            .map(|(_, target, address)| (target, address))
            .collect()
    }
}

/// Probes the targets that the process owns.
pub struct Prober {
    core: Arc<core::Core>,
    schedule: Mutex<Schedule>,
    in_progress: Arc<Semaphore>,
}

impl Prober {
    /// Creates a prober; all targets are due at once.
    pub fn new(core: Arc<core::Core>) -> Self {
        Self {
            core,
            schedule: Mutex::default(),
            in_progress: Arc::new(Semaphore::new(MAX_IN_PROGRESS)),
        }
    }

    /// Starts the due probes, as far as the limit on probes in progress allows.
    pub fn tick(&self) {
        let (now, view) = (self.core.now(), self.core.view());
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        let due = schedule.due(now, &view);
        drop(schedule);
        for (target, address) in due {
            let Ok(permit) = self.in_progress.clone().try_acquire_owned() else {
                return;
            };
            let core = self.core.clone();
            tokio::spawn(async move {
                let observation = probe(address).await;
                drop(permit);
                core.observe(target, observation);
            });
        }
    }
}

async fn probe(address: SocketAddr) -> health::Observation {
    let response = http::get(address, "/", MAX_REPORT_BYTES, TIMEOUT).await;
    let report = response
        .ok()
        .filter(|response| response.status.is_success())
        .and_then(|response| serde_json::from_slice(&response.body).ok());
    match report {
        Some(Report {
            load_percent,
            boot,
            leaving,
        }) => health::Observation::Report {
            load_percent,
            boot,
            leaving,
        },
        None => health::Observation::NoReport,
    }
}

fn owned_targets(view: &view::View) -> impl Iterator<Item = (id::Target, SocketAddr)> {
    view.register.services.iter().flat_map(move |service| {
        let service_id = service.id();
        service.targets.iter().filter_map(move |target| {
            let target_id = target.id(service_id);
            let zone_out = view.locate(target_id).is_none_or(|target| target.out);
            let address = target.load.filter(|_| !zone_out && view.owns(target_id))?;
            Some((target_id, address))
        })
    })
}
