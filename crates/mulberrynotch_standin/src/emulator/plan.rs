//! Experiment plans: the simulated site, its load and the injected faults.

/// Site, load and faults of a run.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Title of the plots.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of balancers in each zone.
    pub balancers: usize,
    /// Number of targets in each zone.
    pub targets: usize,
    /// Number of requests that a target runs concurrently.
    pub slots: usize,
    /// Length of a target's queue; further requests are shed.
    pub queue: usize,
    /// Number of users in each zone; each sends one request at a time.
    pub users: usize,
    /// Mean pause of a user between two requests, in milliseconds.
    pub pause_ms: u64,
    /// Percentage of users that keep a flow open; the others open one for each request.
    pub long_flows: u64,
    /// Mean service time of a request, in milliseconds.
    pub work_ms: u64,
    /// Latency objective of requests, in milliseconds; an answer within it is "in aim".
    pub aim_ms: u64,
    /// Time limit of a request, in milliseconds.
    pub limit_ms: u64,
    /// True for consistent hashing in the routers: a change of the rotation moves only the flows of
    /// the balancers that join or leave it.
    pub steady: bool,
    /// Packet loss, out of 1,000.
    pub loss_permille: u32,
    /// Injected faults.
    pub faults: Vec<Fault>,
}

/// An injected fault. Times are in seconds; `at` counts from the start of the load.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Targets stop responding for good; the store drops their entries after 3.6 s.
    TargetsDark {
        /// Start.
        at: f64,
        /// Number of targets.
        count: usize,
    },
    /// Targets process requests more slowly.
    TargetsSlow {
        /// Start.
        at: f64,
        /// Number of targets.
        count: usize,
        /// Factor by which the service time grows.
        factor: u64,
        /// Duration, in seconds.
        lasts: f64,
    },
    /// Targets drain for 4 s and stop; each is replaced by a new one that is cold for 2 s.
    TargetsReplaced {
        /// Start.
        at: f64,
        /// Number of targets.
        count: usize,
    },
    /// Balancers are killed and restart later.
    BalancersKilled {
        /// Start.
        at: f64,
        /// Number of balancers.
        count: usize,
        /// Time until they restart, in seconds.
        lasts: f64,
    },
    /// Balancers drain, stop and restart one after the other.
    BalancersRolled {
        /// Start.
        at: f64,
        /// Number of balancers.
        count: usize,
        /// Time between the starts of two drains, in seconds.
        gap: f64,
    },
    /// Balancers are paused and process nothing.
    BalancersPaused {
        /// Start.
        at: f64,
        /// Number of balancers.
        count: usize,
        /// Duration, in seconds.
        lasts: f64,
    },
    /// A network partition cuts a zone off from the others; clients still reach it.
    ZoneCut {
        /// Start.
        at: f64,
        /// Index of the zone.
        zone: usize,
        /// Duration, in seconds.
        lasts: f64,
    },
    /// A zone is marked as out of service in the store.
    ZoneOut {
        /// Start.
        at: f64,
        /// Index of the zone.
        zone: usize,
        /// Duration, in seconds.
        lasts: f64,
    },
    /// The store does not answer.
    StoreDown {
        /// Start.
        at: f64,
        /// Duration, in seconds.
        lasts: f64,
        /// True when the entries of all serving targets expire during the outage: they are removed
        /// at its end and written again 900 ms later.
        lapse: bool,
    },
    /// The store does not answer, and returns from an older copy of itself. Operators and targets
    /// write again what it has lost.
    StoreRestored {
        /// Start.
        at: f64,
        /// Duration, in seconds.
        lasts: f64,
        /// Age of the copy at the start, in seconds.
        age: f64,
    },
    /// A configuration with the next version is published.
    ConfigurationPublished {
        /// Start.
        at: f64,
    },
    /// Users of other zones are routed to one zone.
    ClientsMoved {
        /// Start.
        at: f64,
        /// Index of the zone they are routed to.
        zone: usize,
        /// Percentage of users that move.
        percent: u64,
        /// Duration, in seconds.
        lasts: f64,
    },
    /// Users pause for a shorter time between requests.
    Burst {
        /// Start.
        at: f64,
        /// Divisor of the pauses.
        factor: u64,
        /// Duration, in seconds.
        lasts: f64,
    },
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            name: String::from("calm"),
            seed: 1,
            seconds: 20,
            zones: 3,
            balancers: 3,
            targets: 5,
            slots: 2,
            queue: 8,
            users: 100,
            pause_ms: 700,
            long_flows: 75,
            work_ms: 22,
            aim_ms: 120,
            limit_ms: 1_200,
            steady: false,
            loss_permille: 1,
            faults: Vec::new(),
        }
    }
}

impl Fault {
    /// Returns the start of the fault, in seconds.
    pub fn at(&self) -> f64 {
        match self {
            Self::TargetsDark { at, .. }
            | Self::TargetsSlow { at, .. }
            | Self::TargetsReplaced { at, .. }
            | Self::BalancersKilled { at, .. }
            | Self::BalancersRolled { at, .. }
            | Self::BalancersPaused { at, .. }
            | Self::ZoneCut { at, .. }
            | Self::ZoneOut { at, .. }
            | Self::StoreDown { at, .. }
            | Self::StoreRestored { at, .. }
            | Self::ConfigurationPublished { at, .. }
            | Self::ClientsMoved { at, .. }
            | Self::Burst { at, .. } => *at,
        }
    }
}
