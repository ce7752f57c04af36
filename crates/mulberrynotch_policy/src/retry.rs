//! Retry budget: bounds retries to a fraction of the requests.

/// Requests that earn one retry; retries are at most a tenth of the requests.
const REQUESTS_PER_RETRY: u64 = 10;

/// Maximum number of earned retries that are kept for a burst.
const MAX_BURST_RETRIES: u64 = 10;

/// Retry credit of a process. Each request earns one tenth of a retry.
#[derive(Debug, Default)]
pub struct Budget {
    credit: u64,
    requests: u64,
    retries: u64,
    denied: u64,
}

/// Snapshot of a [`Budget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// Retries that are allowed now.
    pub available: u64,
    /// Requests since the start.
    pub requests: u64,
    /// Retries since the start.
    pub retries: u64,
    /// Retries denied by the budget.
    pub denied: u64,
}

impl Budget {
    /// Adds the credit of one request.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.credit = (self.credit + 1).min(MAX_BURST_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Spends the credit of one retry; returns false if there is not enough.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.credit >= REQUESTS_PER_RETRY;
        if allowed {
            self.credit -= REQUESTS_PER_RETRY;
            self.retries += 1;
        } else {
            self.denied += 1;
        }
        allowed
    }

    /// Returns a snapshot for the state dump.
    pub fn status(&self) -> Status {
        Status {
            available: self.credit / REQUESTS_PER_RETRY,
            requests: self.requests,
            retries: self.retries,
            denied: self.denied,
        }
    }
}
