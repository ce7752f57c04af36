//! Whether a balancer asks the routers for packets: it steps aside while it can serve no new flow,
//! so that its zone's clients go to balancers that can.

use std::time::Duration;

/// Time for which a balancer has to be able to serve again before it returns, so that a path that
/// comes and goes does not move the clients each time.
const RETURN_DELAY: Duration = Duration::from_millis(300);

/// Time in which the routers notice that a balancer steps aside: two checks, half a second apart.
pub const WITHDRAWAL_DELAY: Duration = Duration::from_millis(1_300);

/// State of one balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation {
    /// True when an operator keeps the balancer in rotation.
    forced: bool,
    withdrawn_since: Option<Duration>,
    serves_since: Option<Duration>,
}

impl Rotation {
    /// Lets the balancer step aside, or keeps it in rotation whatever it can serve.
    pub fn set_withdrawal_allowed(&mut self, allowed: bool) {
        self.forced = !allowed;
    }

    /// Notes whether new flows can be served; returns whether the balancer is in rotation, when that
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

    /// True while the balancer has stepped aside.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_since.is_some()
    }

    /// True while the routers may not have noticed that the balancer stepped aside.
    pub fn is_withdrawal_recent(&self, now: Duration) -> bool {
        let since = self.withdrawn_since;
        since.is_some_and(|at| now.saturating_sub(at) < WITHDRAWAL_DELAY)
    }
}
