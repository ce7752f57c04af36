//! Results of a simulated run, as observed by clients and targets.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered within the aim, the latency objective of the plan.
    InAim,
    /// Answered after the aim, within the time limit.
    Late,
    /// Refused, or not answered within the time limit.
    Failed,
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Start, as time since the start of the load.
    pub started_at: Duration,
    /// Time from its start to its answer or failure.
    pub latency: Duration,
    /// Outcome.
    pub outcome: Outcome,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests in the order in which they finished.
    pub requests: Vec<Request>,
    /// Number of requests completed by each target, by its identifier.
    pub completed: BTreeMap<u64, u64>,
    /// Number of requests shed by targets.
    pub shed: u64,
    /// Number of open flows reset by balancers while their target was serving, outside the time in
    /// which a partition or a pause allows resets.
    pub false_resets: u64,
    /// Number of data packets that reached a target other than the one named by their cookie.
    pub misrouted_packets: u64,
    /// Number of opening packets that reached targets published as draining for over 3 s.
    pub late_openings: u64,
    /// Number of opening packets handled by a configuration that had been replaced for over 3 s.
    pub outdated_openings: u64,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Number of messages between balancers.
    pub messages: u64,
    /// Volume of messages between balancers, by kind of message.
    pub control: BTreeMap<&'static str, Volume>,
    /// Number of flows opened by targets.
    pub flows: u64,
    /// Number of opening packets forwarded to a target in another zone than the balancer.
    pub cross_zone_flows: u64,
    /// Number of open flows reset by balancers while their target was serving, at any time.
    pub broken_flows: u64,
    /// Number of opening packets refused by balancers.
    pub refused_flows: u64,
    /// Number of connection attempts (probes) of balancers to targets.
    pub probes: u64,
    /// Changes of path states, in the order of time.
    pub paths: Vec<Path>,
    /// Withdrawals of balancers from the rotation and returns to it, in the order of time.
    pub rotations: Vec<Rotation>,
}

/// Change of a balancer's state for the path to a zone.
#[derive(Clone, Copy, Debug)]
pub struct Path {
    /// Time since the start of the load.
    pub at: Duration,
    /// Zone of the balancer.
    pub from: usize,
    /// Index of the balancer.
    pub balancer: usize,
    /// Zone that the path leads to.
    pub to: usize,
    /// True when the new state is cut.
    pub cut: bool,
}

/// Withdrawal of a balancer from the rotation, or its return.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the balancer.
    pub balancer: usize,
    /// True for a return, false for a withdrawal.
    pub ready: bool,
}

/// Volume of one kind of message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Volume {
    /// Number of messages.
    pub messages: u64,
    /// Total length of the messages, in bytes.
    pub bytes: u64,
}

/// Requests that started within one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// Start of the window, in seconds since the start of the load.
    pub from: u64,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests answered within the aim.
    pub in_aim: usize,
    /// Number of requests answered after the aim.
    pub late: usize,
}

impl Report {
    /// Returns the share of requests that were answered, from 0 to 1.
    pub fn served(&self) -> f64 {
        self.share(|it| it.outcome != Outcome::Failed)
    }

    /// Returns the share of requests answered within the aim, from 0 to 1.
    pub fn in_aim(&self) -> f64 {
        self.share(|it| it.outcome == Outcome::InAim)
    }

    fn share(&self, is_counted: impl Fn(&Request) -> bool) -> f64 {
        let counted = self.requests.iter().filter(|it| is_counted(it)).count();
        ratio(counted, self.requests.len())
    }

    /// Returns a percentile of the latency of answered requests, in permille (990 for p99).
    pub fn latency(&self, permille: usize) -> Duration {
        let answered = self
            .requests
            .iter()
            .filter(|it| it.outcome != Outcome::Failed);
        let mut latencies: Vec<_> = answered.map(|it| it.latency).collect();
        latencies.sort_unstable();
        let index = latencies.len().saturating_sub(1) * permille / 1_000;
        latencies.get(index).copied().unwrap_or_default()
    }

    /// Returns the number of requests of the busiest target, divided by the mean over the targets.
    pub fn peak_to_mean(&self) -> f64 {
        let total: u64 = self.completed.values().sum();
        let highest = self.completed.values().copied().max().unwrap_or(0);
        let count = u64::try_from(self.completed.len()).unwrap_or(1);
        to_f64(highest * count) / to_f64(total.max(1))
    }

    /// Returns the times from `since` until each balancer of another zone first changed the state
    /// of its path to `zone` to cut (to not cut when `cut` is false), in ascending order.
    pub fn detection_times(&self, zone: usize, cut: bool, since: Duration) -> Vec<Duration> {
        let changes = self.paths.iter();
        let changes = changes.filter(|it| it.to == zone && it.cut == cut && it.at >= since);
        let mut first: BTreeMap<usize, Duration> = BTreeMap::new();
        for change in changes {
            first.entry(change.balancer).or_insert(change.at - since);
        }
        let mut times: Vec<_> = first.into_values().collect();
        times.sort_unstable();
        times
    }

    /// Returns the number of connections to targets, including probes, per opened flow.
    pub fn connections_per_flow(&self) -> f64 {
        to_f64(self.flows + self.probes) / to_f64(self.flows.max(1))
    }

    /// Returns the requests grouped by the second in which they started.
    pub fn windows(&self) -> Vec<Window> {
        let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
        for request in &self.requests {
            let from = request.started_at.as_secs();
            let window = windows.entry(from).or_default();
            window.from = from;
            window.requests += 1;
            window.in_aim += usize::from(request.outcome == Outcome::InAim);
            window.late += usize::from(request.outcome == Outcome::Late);
        }
        windows.into_values().collect()
    }
}

impl Window {
    /// Returns the share of requests answered within the aim, from 0 to 1.
    pub fn in_aim(&self) -> f64 {
        ratio(self.in_aim, self.requests)
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let part = u64::try_from(part).unwrap_or(u64::MAX);
    let whole = u64::try_from(whole.max(1)).unwrap_or(u64::MAX);
    to_f64(part) / to_f64(whole)
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
