//! What clients and targets saw.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered within the aim.
    InAim,
    /// Answered later.
    Late,
    /// Refused or not answered.
    Failed,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it began.
    pub began: Duration,
    /// How long it took.
    pub took: Duration,
    /// How it ended.
    pub end: End,
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests in the order of their ends.
    pub requests: Vec<Request>,
    /// Requests that each target ran.
    pub ran: BTreeMap<u64, u64>,
    /// Requests that targets shed.
    pub shed: u64,
    /// Open flows that balancers reset while their target lived.
    pub false_resets: u64,
    /// Open flows whose packets reached another target than theirs.
    pub moved: u64,
    /// New flows on targets that had been published as draining for over 3 s.
    pub late_openings: u64,
    /// Calls to the store.
    pub calls: u64,
    /// Messages between balancers.
    pub messages: u64,
    /// Messages and their bytes, by kind.
    pub control: BTreeMap<&'static str, Volume>,
    /// Flows that targets opened.
    pub flows: u64,
    /// Of these, flows whose balancer and target are in different zones.
    pub far_flows: u64,
    /// Open flows that were reset, whether their target lived or not.
    pub broken_flows: u64,
    /// New flows that balancers refused.
    pub refused_flows: u64,
    /// Connection attempts of balancers to targets.
    pub probes: u64,
    /// Changed beliefs on paths, in the order of time.
    pub paths: Vec<Path>,
    /// Balancers that stepped aside or returned, in the order of time.
    pub rotations: Vec<Rotation>,
}

/// A changed belief of a balancer on the path to a zone.
#[derive(Clone, Copy, Debug)]
pub struct Path {
    /// When.
    pub at: Duration,
    /// Zone of the balancer.
    pub from: usize,
    /// Number of the balancer.
    pub balancer: usize,
    /// Zone that the path leads to.
    pub to: usize,
    /// True when nothing arrives there any more.
    pub cut: bool,
}

/// A balancer that stepped aside or returned.
#[derive(Clone, Copy, Debug)]
pub struct Rotation {
    /// When.
    pub at: Duration,
    /// Number of the balancer.
    pub balancer: usize,
    /// True when it returned.
    pub ready: bool,
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Volume {
    /// How many.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// Requests that began in one span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// Start, in seconds.
    pub from: u64,
    /// Requests.
    pub asked: usize,
    /// Answered in aim.
    pub in_aim: usize,
    /// Answered late.
    pub late: usize,
}

impl Report {
    /// Share of the requests that were answered.
    pub fn served(&self) -> f64 {
        self.share(|it| it.end != End::Failed)
    }

    /// Share of the requests that were answered within the aim.
    pub fn in_aim(&self) -> f64 {
        self.share(|it| it.end == End::InAim)
    }

    fn share(&self, counts: impl Fn(&Request) -> bool) -> f64 {
        let counted = self.requests.iter().filter(|it| counts(it)).count();
        ratio(counted, self.requests.len())
    }

    /// Latency below which `permille` of the answered requests stayed.
    pub fn latency(&self, permille: usize) -> Duration {
        let answered = self.requests.iter().filter(|it| it.end != End::Failed);
        let mut all: Vec<_> = answered.map(|it| it.took).collect();
        all.sort_unstable();
        let index = all.len().saturating_sub(1) * permille / 1_000;
        all.get(index).copied().unwrap_or_default()
    }

    /// Requests of the busiest target over the mean.
    pub fn peak_to_mean(&self) -> f64 {
        let total: u64 = self.ran.values().sum();
        let most = self.ran.values().copied().max().unwrap_or(0);
        let count = u64::try_from(self.ran.len()).unwrap_or(1);
        number(most * count) / number(total.max(1))
    }

    /// Times from `since` until each balancer of another zone than `zone` believed that the path
    /// there is cut, or open again; the shortest first.
    pub fn belief_times(&self, zone: usize, cut: bool, since: Duration) -> Vec<Duration> {
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

    /// Connections to targets, probes included, for each flow that opened.
    pub fn connections_per_flow(&self) -> f64 {
        number(self.flows + self.probes) / number(self.flows.max(1))
    }

    /// Requests by the second in which they began.
    pub fn windows(&self) -> Vec<Window> {
        let mut windows: BTreeMap<u64, Window> = BTreeMap::new();
        for request in &self.requests {
            let from = request.began.as_secs();
            let window = windows.entry(from).or_default();
            window.from = from;
            window.asked += 1;
            window.in_aim += usize::from(request.end == End::InAim);
            window.late += usize::from(request.end == End::Late);
        }
        windows.into_values().collect()
    }
}

impl Window {
    /// Share answered in aim.
    pub fn in_aim(&self) -> f64 {
        ratio(self.in_aim, self.asked)
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let part = u64::try_from(part).unwrap_or(u64::MAX);
    let whole = u64::try_from(whole.max(1)).unwrap_or(u64::MAX);
    number(part) / number(whole)
}

fn number(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
