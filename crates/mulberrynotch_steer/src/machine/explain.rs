//! Explanations for operators: where a packet would go, and why.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::rendezvous;

use super::{
    Machine,
    Reason,
    open, //
};
use crate::{
    choice,
    cookie,
    evidence,
    packet,
    record,
    revision, //
};

mulberrynotch_macros::data! {
    /// Outcome for a packet.
    #[derive(Copy)]
    pub enum Outcome {
        /// The packet opens a flow on the target with the least cost.
        Opened(record::Id),
        /// The packet opens a flow on a cold target, since no warm one is left.
        OpenedCold(record::Id),
        /// The packet goes to the target that its cookie names.
        Carried(record::Id),
        /// The packet is answered with a reset, since the target that its cookie names has ended.
        Reset(record::Id),
        /// The packet is answered with a reset; or dropped, while the register is old or another
        /// balancer may get the retransmission.
        Refused(Reason),
        /// The packet is dropped, since no known target has its cookie.
        CookieUnknown,
        /// The packet waits until the register is known or confirmed.
        Held,
    }

    /// Outcome for a packet, and the state that decides it.
    pub struct Explanation {
        /// Outcome for the packet.
        pub outcome: Outcome,
        /// Service that the route selects for new flows.
        pub service: Option<Arc<str>>,
        /// All known targets of the service, best first.
        pub candidates: Vec<choice::Candidate>,
        /// Version of the configuration.
        pub version: u64,
        /// Revision up to which every change is known.
        pub as_of: revision::Revision,
        /// Age of the register.
        pub age: Option<Duration>,
    }
}

impl Machine {
    /// Explains where a packet of a flow would go now; with [`cookie::NONE`], its opening packet.
    ///
    /// Changes no state, so the result holds until the next packet or change.
    pub fn explain(&self, now: Duration, flow: &packet::Flow, cookie: u32) -> Explanation {
        let outcome = if cookie == cookie::NONE {
            self.explain_opening(now, flow)
        } else {
            self.explain_cookie(cookie)
        };
        let service = self.service_of(flow);
        Explanation {
            outcome,
            candidates: self.sorted_candidates(now, flow, service.as_deref()),
            service,
            version: self.catalog.configuration().version,
            as_of: self.catalog.as_of(),
            age: self.age(now),
        }
    }

    fn explain_opening(&self, now: Duration, flow: &packet::Flow) -> Outcome {
        let service = match self.service_for(now, flow) {
            Ok(service) => service,
            Err(open::Obstacle::Held) => return Outcome::Held,
            Err(open::Obstacle::Refused(reason)) => return Outcome::Refused(reason),
        };
        let candidates = self.candidates(now, &service, flow);
        let warm = candidates.filter(|it| it.standing.is_warm());
        let senders = self.near_senders();
        if let Some(target) = self.load.best(now, warm, senders, self.peek_random()) {
            return Outcome::Opened(target);
        }
        let cold = self.cold_target(now, &service, flow);
        cold.map_or(Outcome::Refused(Reason::NoTarget), Outcome::OpenedCold)
    }

    fn explain_cookie(&self, cookie: u32) -> Outcome {
        match self.catalog.target_by_cookie(cookie) {
            Some(target) => {
                let dead = self.evidence.verdict(target.id) == evidence::Verdict::Dead;
                if target.ended || dead {
                    Outcome::Reset(target.id)
                } else {
                    Outcome::Carried(target.id)
                }
            }
            None if !self.catalog.is_usable() => Outcome::Held,
            None => Outcome::CookieUnknown,
        }
    }

    fn sorted_candidates(
        &self,
        now: Duration,
        flow: &packet::Flow,
        service: Option<&str>,
    ) -> Vec<choice::Candidate> {
        let Some(service) = service else {
            return Vec::new();
        };
        let mut candidates: Vec<_> = self.candidates(now, service, flow).collect();
        let senders = self.near_senders();
        let rank = |it: &choice::Candidate| self.load.rank(now, it, senders);
        candidates.sort_by(|one, other| rank(one).compare(&rank(other)));
        candidates
    }

    pub(super) fn peek_random(&self) -> u64 {
        rendezvous::weight(self.random_seed, 1)
    }
}
