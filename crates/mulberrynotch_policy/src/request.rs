//! Requests: the choice of a target at the ingress balancer, and admission at the owner.

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
    /// A request as the ingress balancer classified it.
    pub struct Request {
        /// Service that the caller addressed.
        pub service: id::Service,
        /// Priority class.
        pub class: model::Class,
        /// True when the request may run more than once.
        pub idempotent: bool,
        /// Time by which the caller wants the answer, on the clock of the process.
        pub deadline: Duration,
    }

    /// What came of one attempt.
    #[derive(Copy)]
    pub enum Outcome {
        /// A whole answer.
        Answered {
            /// HTTP status.
            status: u16,
        },
        /// Proof that the request was not run: a refusal, or no connection.
        NotRun {
            /// True when the owner or the target was merely busy.
            busy: bool,
        },
        /// The attempt ended without proof.
        Unknown,
    }

    /// What the ingress balancer does next.
    pub enum Step {
        /// Send the request to the owner of this target.
        Try {
            /// The target.
            target: id::Target,
            /// Name of the owner; may be the process itself.
            owner: Arc<str>,
            /// True when the owner may queue the request; else it answers at once.
            queue: bool,
        },
        /// Ask again at this time; the request waits in the queue of its class.
        Wait {
            /// When to ask again.
            until: Duration,
        },
        /// Tell the caller that the request was not run.
        Refuse {
            /// When the caller may come back.
            retry_after: Duration,
        },
        /// Tell the caller that the outcome is unknown.
        Unknown,
    }

    /// Decision of an owner on a request for one of its targets.
    pub enum Admission {
        /// Send it to the target; end it with `Owner::finish`.
        Run(u64),
        /// Wait for `Owner::poll` to start or refuse the ticket.
        Queued(u64),
        /// Not run.
        Busy {
            /// When to come back.
            retry_after: Duration,
        },
        /// Not run: the process does not own the target, or it must not be used.
        NotOwner,
    }

    /// Decision on a queued request.
    #[derive(Copy)]
    pub enum Action {
        /// Send it to the target.
        Start(u64),
        /// Not run.
        Refuse(u64),
    }
}

/// Snapshot of the request decisions of a process.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Status {
    /// Use of the process by class, `High` first.
    pub classes: Vec<ClassStatus>,
    /// Retry budget.
    pub retries: crate::retry::Status,
}
