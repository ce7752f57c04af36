//! Packets of open flows, and what they show of targets.

use std::time::Duration;

use mulberrynotch_policy::rendezvous;

use super::{
    Action,
    Event,
    Machine,
    Verdict, //
};
use crate::{
    evidence,
    flow,
    packet,
    record, //
};

impl Machine {
    pub(super) fn carry(&mut self, now: Duration, packet: &packet::Packet) -> Verdict {
        let Some(target) = self.catalog.by_cookie(packet.cookie) else {
            if !self.catalog.is_usable() {
                return self.hold();
            }
            self.counters.unknown += 1;
            self.log(Event::Unknown {
                flow: packet.flow,
                cookie: packet.cookie,
            });
            return Verdict::Drop;
        };
        let (id, to, ended) = (target.id, target.entry.address, target.ended);
        if ended && !packet.flags.reset {
            // The target that has its address now does not answer packets for another one.
            return self.reset(now, packet, id);
        }
        let zone = target.entry.zone.clone();
        let observation = self.flows.carry(now, packet, id);
        if observation.starts_request {
            self.load.note(now, id);
        }
        if let Some(latency) = observation.answered_after {
            self.load.answered(id, latency);
            self.note_arrival(now, &zone, now.saturating_sub(latency));
        }
        if let Some(latency) = observation.opened_after {
            self.actions.push(Action::Latency(latency));
            self.note_arrival(now, &zone, now.saturating_sub(latency));
        }
        match observation.sign {
            flow::Sign::Progress => self.note_progress(now, id),
            flow::Sign::Repeat { since } => self.note_repeat(now, packet, id, since),
            flow::Sign::None => {}
        }
        if self.evidence.verdict(id) == evidence::Verdict::Dead && !packet.flags.reset {
            return self.reset(now, packet, id);
        }
        self.counters.carried += 1;
        Verdict::Forward {
            to,
            target: id,
            cookie: None,
        }
    }

    fn reset(&mut self, now: Duration, packet: &packet::Packet, target: record::Id) -> Verdict {
        self.counters.reset += 1;
        self.log(Event::Reset {
            flow: packet.flow,
            target,
            silence: self.evidence.silence(now, target),
            failures: self.evidence.failures(target).len(),
        });
        Verdict::Reset
    }

    fn note_progress(&mut self, now: Duration, target: record::Id) {
        if self.evidence.progress(now, target).is_some() {
            self.log_verdict(now, target);
            self.tell_alive(now, target);
        }
    }

    fn note_repeat(
        &mut self,
        now: Duration,
        packet: &packet::Packet,
        target: record::Id,
        since: Duration,
    ) {
        self.log(Event::Repeated {
            flow: packet.flow,
            target,
            waited: now.saturating_sub(since),
            silence: self.evidence.silence(now, target),
        });
        self.note_failure(now, target, since, &packet.flow);
    }

    /// Counts a packet that stayed unanswered against its target, and against the path to it.
    fn note_failure(
        &mut self,
        now: Duration,
        target: record::Id,
        sent_at: Duration,
        flow: &packet::Flow,
    ) {
        self.note_failure_on_path(now, target, sent_at);
        let (flow, reached) = (hash(flow), self.is_reached(target));
        let response = self.evidence.failed(now, target, sent_at, flow, reached);
        self.respond(now, target, response);
    }

    /// Counts opening packets and requests that stayed unanswered against their targets.
    pub(super) fn check_unanswered(&mut self, now: Duration) {
        for waiting in self.flows.unanswered(now) {
            let (target, sent_at) = (waiting.target, waiting.sent_at);
            if waiting.opening {
                self.log(Event::Unanswered {
                    flow: waiting.flow,
                    target,
                    silence: self.evidence.silence(now, target),
                });
            } else {
                self.load.answered(target, now.saturating_sub(sent_at));
            }
            self.note_failure(now, target, sent_at, &waiting.flow);
        }
    }

    /// Resets the open flows of a target that has ended, so that their clients try again at once.
    pub(super) fn reset_flows(&mut self, now: Duration, target: record::Id) {
        let silence = self.evidence.silence(now, target);
        for (flow, acknowledged) in self.flows.take(target) {
            self.reset_flow(flow, acknowledged, target, silence);
        }
    }

    /// Resets an open flow without a packet of it at hand.
    pub(super) fn reset_flow(
        &mut self,
        flow: packet::Flow,
        acknowledged: u32,
        target: record::Id,
        silence: Duration,
    ) {
        let failures = self.evidence.failures(target).len();
        self.counters.reset += 1;
        self.log(Event::Reset {
            flow,
            target,
            silence,
            failures,
        });
        self.actions.push(Action::Reset { flow, acknowledged });
    }

    pub(super) fn respond(
        &mut self,
        now: Duration,
        target: record::Id,
        response: evidence::Response,
    ) {
        if let Some(verdict) = response.changed {
            self.log_verdict(now, target);
            if verdict == evidence::Verdict::Dead {
                self.reset_flows(now, target);
            }
        }
        if response.probe {
            self.check_contact(now);
            self.probe(target);
        }
        if response.tell {
            self.tell_doubt(now, target);
        }
    }

    pub(super) fn probe(&mut self, target: record::Id) {
        if let Some(known) = self.catalog.target(target) {
            let address = known.entry.address;
            self.actions.push(Action::Probe { target, address });
        }
    }

    pub(super) fn log_verdict(&mut self, now: Duration, target: record::Id) {
        self.log(Event::Verdict {
            target,
            verdict: self.evidence.verdict(target),
            silence: self.evidence.silence(now, target),
            failures: self.evidence.failures(target).len(),
            probe_failed: self.evidence.probe_failed(now, target),
            contact: self.evidence.contact().age(now),
        });
    }
}

/// Name of a flow among the failed ones of a target.
fn hash(flow: &packet::Flow) -> u32 {
    let hash = rendezvous::hash_address(flow.client.into(), u64::from(flow.route.port()));
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
