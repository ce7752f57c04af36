//! Requests that were admitted into the process.

use std::sync::Arc;

use mulberrynotch_policy::request::{
    self as policy,
    Outcome,
    Plan,
    Step, //
};

use super::{
    Service,
    lock, //
};

/// A request that was admitted; dropping it ends its plan.
pub(super) struct Admitted {
    service: Arc<Service>,
    plan: Option<Plan>,
}

impl Admitted {
    /// The request that was admitted.
    pub(super) fn request(&self) -> Option<&policy::Request> {
        self.plan.as_ref().map(Plan::request)
    }

    /// The next step, after the outcome of the last attempt.
    pub(super) fn next(&mut self, last: Option<Outcome>) -> Option<Step> {
        let now = self.service.now();
        let plan = self.plan.as_mut()?;
        Some(lock(&self.service.entry).next(now, plan, last))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(plan) = self.plan.take() {
            lock(&self.service.entry).finish(self.service.now(), plan);
        }
    }
}

impl Service {
    /// Admits a request into the process.
    pub(super) fn begin(self: &Arc<Self>, request: policy::Request) -> Option<Admitted> {
        let plan = lock(&self.entry).begin(self.now(), request)?;
        Some(Admitted {
            service: self.clone(),
            plan: Some(plan),
        })
    }
}
