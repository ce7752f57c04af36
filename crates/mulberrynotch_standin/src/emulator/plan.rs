//! What is played: the site, its load, and the faults.

/// A site with its load and faults.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Title of the plots.
    pub name: String,
    /// Seed of all draws.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: u64,
    /// Availability zones.
    pub zones: usize,
    /// Balancers in each zone.
    pub balancers: usize,
    /// Targets in each zone.
    pub targets: usize,
    /// Requests that a target runs at a time.
    pub slots: usize,
    /// Requests that wait at a target; further ones are shed.
    pub queue: usize,
    /// Users in each zone; each sends one request at a time.
    pub users: usize,
    /// Mean pause of a user between two requests, in milliseconds.
    pub pause_ms: u64,
    /// Users out of 100 that keep a flow open; the others open one for each request.
    pub long_flows: u64,
    /// Mean work of a request, in milliseconds.
    pub work_ms: u64,
    /// Time within which an answer is in aim, in milliseconds.
    pub aim_ms: u64,
    /// Time limit of a request, in milliseconds.
    pub limit_ms: u64,
    /// True for routers whose hash moves only the flows of the balancers that change.
    pub steady: bool,
    /// Packets lost, out of 1,000.
    pub loss_permille: u32,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// A fault, at a time in seconds.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Targets fall silent for good; their entries lapse after 3.6 s.
    TargetsDark {
        /// When.
        at: f64,
        /// How many.
        count: usize,
    },
    /// Targets work slower.
    TargetsSlow {
        /// When.
        at: f64,
        /// How many.
        count: usize,
        /// By which factor.
        factor: u64,
        /// For how long, in seconds.
        lasts: f64,
    },
    /// Targets drain for 4 s and leave; new ones come, cold for 2 s.
    TargetsReplaced {
        /// When.
        at: f64,
        /// How many.
        count: usize,
    },
    /// Balancers are killed and start again.
    BalancersKilled {
        /// When.
        at: f64,
        /// How many.
        count: usize,
        /// Until they are back, in seconds.
        lasts: f64,
    },
    /// Balancers stop one after the other, as planned, and start again.
    BalancersRolled {
        /// When.
        at: f64,
        /// How many.
        count: usize,
        /// Between two, in seconds.
        gap: f64,
    },
    /// Balancers stand still.
    BalancersPaused {
        /// When.
        at: f64,
        /// How many.
        count: usize,
        /// For how long, in seconds.
        lasts: f64,
    },
    /// A zone is cut off from the others; clients still reach it.
    ZoneCut {
        /// When.
        at: f64,
        /// Which one.
        zone: usize,
        /// For how long, in seconds.
        lasts: f64,
    },
    /// A zone is out of service.
    ZoneOut {
        /// When.
        at: f64,
        /// Which one.
        zone: usize,
        /// For how long, in seconds.
        lasts: f64,
    },
    /// The store does not answer.
    StoreDown {
        /// When.
        at: f64,
        /// For how long, in seconds.
        lasts: f64,
        /// True when all entries of targets lapse meanwhile and come back after it.
        lapse: bool,
    },
    /// Users of the other zones come through one.
    ClientsMoved {
        /// When.
        at: f64,
        /// Zone that they come through.
        zone: usize,
        /// Users out of 100 that move.
        percent: u64,
        /// For how long, in seconds.
        lasts: f64,
    },
    /// Users pause for less.
    Burst {
        /// When.
        at: f64,
        /// How much less.
        factor: u64,
        /// For how long, in seconds.
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
    /// When the fault begins, in seconds.
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
            | Self::ClientsMoved { at, .. }
            | Self::Burst { at, .. } => *at,
        }
    }
}
