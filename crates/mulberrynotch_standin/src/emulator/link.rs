//! Delays, packet loss and network partitions between clients and zones.

use std::time::Duration;

use crate::seed::Random;

/// One-way delay between a client and a zone.
const CLIENT_DELAY: Duration = Duration::from_micros(2_000);

/// One-way delay within a zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);

/// One-way delay between zones.
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(900);

/// Network links of the simulated site.
#[derive(Debug)]
pub(super) struct Links {
    random: Random,
    loss_permille: u32,
    /// Whether each zone is cut off from the others.
    pub(super) cut: Vec<bool>,
}

impl Links {
    pub(super) fn new(zones: usize, seed: u64, loss_permille: u32) -> Self {
        Self {
            random: Random::new(seed),
            loss_permille,
            cut: vec![false; zones],
        }
    }

    /// Returns the delay of a datagram between two zones, or `None` when it is lost.
    pub(super) fn zone_delay(&mut self, from: usize, to: usize) -> Option<Duration> {
        if from != to && (self.cut[from] || self.cut[to]) {
            return None;
        }
        let lost = self.random.chance(self.loss_permille);
        (!lost).then_some(if from == to {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        })
    }

    /// Returns the delay of a datagram between a client and a zone, or `None` when it is lost.
    pub(super) fn client_delay(&mut self) -> Option<Duration> {
        let lost = self.random.chance(self.loss_permille);
        (!lost).then_some(CLIENT_DELAY)
    }
}
