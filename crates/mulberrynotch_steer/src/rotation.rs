//! Membership in the rotation of the routers. A balancer withdraws while it can serve no new flow,
//! so that its zone's clients go to balancers that can.

use std::time::Duration;

/// Time for which a balancer must be able to serve again before it returns, so that a flapping path
/// does not move its clients each time.
const RETURN_DELAY: Duration = Duration::from_millis(300);

/// Time after which the routers have noticed a withdrawal: two readiness checks, half a second
/// apart.
pub const WITHDRAWAL_DELAY: Duration = Duration::from_millis(1_300);

/// Rotation state of one balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    /// True when an operator keeps the balancer in rotation.
    forced: bool,
    withdrawn_since: Option<Duration>,
    serves_since: Option<Duration>,
}

impl Rotation {
    /// Allows the balancer to withdraw, or keeps it in rotation whatever it can serve.
    pub fn set_withdrawal_allowed(&mut self, allowed: bool) {
        self.forced = !allowed;
    }

    /// Updates whether new flows can be served; returns whether the balancer is in rotation if that
    /// changed.
    pub fn update(&mut self, now: Duration, serves: bool) -> Option<bool> {
        if !serves && !self.forced {
            self.serves_since = None;
            let withdraws = self.withdrawn_since.is_none();
            self.withdrawn_since.get_or_insert(now);
            return withdraws.then_some(false);
        }
        let since = *self.serves_since.get_or_insert(now);
        let returns =
            self.withdrawn_since.is_some() && (self.forced || now >= since + RETURN_DELAY);
        if returns {
            self.withdrawn_since = None;
        }
        returns.then_some(true)
    }

    /// Returns whether the balancer has withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_since.is_some()
    }

    /// Returns whether the balancer withdrew so recently that the routers may not have noticed.
    pub fn is_withdrawal_recent(&self, now: Duration) -> bool {
        let since = self.withdrawn_since;
        since.is_some_and(|at| now.saturating_sub(at) < WITHDRAWAL_DELAY)
    }
}
