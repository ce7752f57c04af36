//! Retry budget.

/// Retries are a tenth of requests at most.
const REQUESTS_PER_RETRY: u64 = 10;

/// Retries that a process may make in a burst after a quiet time.
const MAX_SAVED_RETRIES: u64 = 10;

/// Credit for retries; each request earns a tenth of a retry.
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
    /// Retries that may be made now.
    pub available: u64,
    /// Requests since the start.
    pub requests: u64,
    /// Retries since the start.
    pub retries: u64,
    /// Retries that the budget did not allow.
    pub denied: u64,
}

impl Budget {
    /// Notes a request of a caller.
    pub fn record_request(&mut self) {
        self.requests += 1;
        self.credit = (self.credit + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry; false when none is left.
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

    /// Snapshot for the state dump.
    pub fn status(&self) -> Status {
        Status {
            available: self.credit / REQUESTS_PER_RETRY,
            requests: self.requests,
            retries: self.retries,
            denied: self.denied,
        }
    }
}
