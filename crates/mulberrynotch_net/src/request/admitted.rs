//! Requests admitted by the ingress policy.

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

/// An admitted request; dropping it ends its plan in the policy.
pub(super) struct Admitted {
    service: Arc<Service>,
    plan: Option<Plan>,
}

impl Admitted {
    /// Returns the admitted request.
    pub(super) fn request(&self) -> Option<&policy::Request> {
        self.plan.as_ref().map(Plan::request)
    }

    /// Returns the next step, given the outcome of the last attempt.
    pub(super) fn next(&mut self, last: Option<Outcome>) -> Option<Step> {
        let now = self.service.now();
        let plan = self.plan.as_mut()?;
        Some(lock(&self.service.ingress).next(now, plan, last))
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(plan) = self.plan.take() {
            lock(&self.service.ingress).finish(self.service.now(), plan);
        }
    }
}

impl Service {
    /// Admits a request; returns `None` when the policy refuses it.
    pub(super) fn begin(self: &Arc<Self>, request: policy::Request) -> Option<Admitted> {
        let plan = lock(&self.ingress).begin(self.now(), request)?;
        Some(Admitted {
            service: self.clone(),
            plan: Some(plan),
        })
    }
}
