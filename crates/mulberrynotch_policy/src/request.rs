//! Requests: choice of a target at the ingress balancer, and admission at the owner of the target.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::{
    id,
    model, //
};

mod capacity;
mod ingress;
mod owner;
mod queue;
mod target;

pub use capacity::ClassStatus;
pub use ingress::{
    Ingress,
    Plan, //
};
pub use owner::{
    Owner,
    TargetStatus, //
};

mulberrynotch_macros::data! {
    /// A request as classified by the ingress balancer.
    pub struct Request {
        /// Service that the request is addressed to.
        pub service: id::Service,
        /// Priority class.
        pub class: model::Class,
        /// True if the request may safely run more than once.
        pub idempotent: bool,
        /// Deadline of the answer, on the clock of the process.
        pub deadline: Duration,
    }

    /// Outcome of one attempt.
    #[derive(Copy)]
    pub enum Outcome {
        /// The answer is complete.
        Answered {
            /// HTTP status.
            status: u16,
        },
        /// The request provably did not run: it was refused, or no connection was made.
        NotRun {
            /// True if the owner or the target refused the request only because it was busy.
            busy: bool,
        },
        /// The attempt ended and the request may or may not have run.
        Unknown,
    }

    /// Next step of the ingress balancer for a request.
    pub enum Step {
        /// Send the request to the owner of this target.
        Try {
            /// The target.
            target: id::Target,
            /// Name of the owner; may be this process.
            owner: Arc<str>,
            /// True if the owner may queue the request; otherwise it admits or refuses it at once.
            queue: bool,
        },
        /// Call `next` again at `until`; the request waits in the queue of its class.
        Wait {
            /// Time of the next call.
            until: Duration,
        },
        /// Tell the caller that the request was not run.
        Refuse {
            /// Time after which the caller may retry.
            retry_after: Duration,
        },
        /// Tell the caller that the outcome is unknown.
        Unknown,
    }

    /// Decision of an owner about a request for one of its targets.
    pub enum Admission {
        /// Send the request to the target and report its end with `Owner::finish`.
        Run(u64),
        /// Wait until `Owner::poll` starts or refuses this ticket.
        Queued(u64),
        /// The request did not run, because the target is busy.
        Busy {
            /// Time after which the caller may retry.
            retry_after: Duration,
        },
        /// The request did not run: this process does not own the target, or the target must not
        /// get new work.
        NotOwner,
    }

    /// Decision about a queued request.
    #[derive(Copy)]
    pub enum Action {
        /// Send the request to the target.
        Start(u64),
        /// Refuse the request; it did not run.
        Refuse(u64),
    }
}

/// Snapshot of the request admission of an ingress balancer.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Status {
    /// Capacity in use by class, `High` first.
    pub classes: Vec<ClassStatus>,
    /// Retry budget.
    pub retries: crate::retry::Status,
}
