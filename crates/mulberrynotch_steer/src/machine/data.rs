//! Forwarding of packets of open flows, and the evidence on targets that they carry.

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
        let Some(target) = self.catalog.target_by_cookie(packet.cookie) else {
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
            // The target that now has the address does not answer packets for the previous one.
            return self.reset(now, packet, id);
        }
        let zone = target.entry.zone.clone();
        let observation = self.flows.carry(now, packet, id);
        if observation.starts_request {
            self.load.record_request(now, id);
        }
        if let Some(latency) = observation.answered_after {
            self.load.record_latency(id, latency);
            self.record_arrival(now, &zone, now.saturating_sub(latency));
        }
        if let Some(latency) = observation.opened_after {
            self.actions.push(Action::Latency(latency));
            self.record_arrival(now, &zone, now.saturating_sub(latency));
        }
        match observation.signal {
            flow::Signal::Progress => self.record_progress(now, id),
            flow::Signal::Repeat { since } => self.record_repeat(now, packet, id, since),
            flow::Signal::None => {}
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

    fn record_progress(&mut self, now: Duration, target: record::Id) {
        if self.evidence.progress(now, target).is_some() {
            self.log_verdict(now, target);
            self.send_alive_to_zone(now, target);
        }
    }

    fn record_repeat(
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
        self.record_failure(now, target, since, &packet.flow);
    }

    /// Records an unanswered packet as a failure of its target and of the path to it.
    fn record_failure(
        &mut self,
        now: Duration,
        target: record::Id,
        sent_at: Duration,
        flow: &packet::Flow,
    ) {
        self.record_path_failure(now, target, sent_at);
        let (flow, reachable) = (hash(flow), self.is_reachable(target));
        let response = self.evidence.failed(now, target, sent_at, flow, reachable);
        self.respond(now, target, response);
    }

    /// Records unanswered opening packets and requests as failures of their targets.
    pub(super) fn check_unanswered(&mut self, now: Duration) {
        for unanswered in self.flows.take_unanswered(now) {
            let (target, sent_at) = (unanswered.target, unanswered.sent_at);
            if unanswered.opening {
                self.log(Event::Unanswered {
                    flow: unanswered.flow,
                    target,
                    silence: self.evidence.silence(now, target),
                });
            } else {
                self.load
                    .record_latency(target, now.saturating_sub(sent_at));
            }
            self.record_failure(now, target, sent_at, &unanswered.flow);
        }
    }

    /// Resets the open flows of a target that has ended, so that their clients retry at once.
    pub(super) fn reset_flows(&mut self, now: Duration, target: record::Id) {
        let silence = self.evidence.silence(now, target);
        for (flow, acknowledged) in self.flows.take_flows_of(target) {
            self.reset_flow(flow, acknowledged, target, silence);
        }
    }

    /// Resets an open flow without a packet of it to answer.
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
        if response.report {
            self.send_failure(now, target);
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

/// Hashes a flow, to distinguish the failed flows of a target.
fn hash(flow: &packet::Flow) -> u32 {
    let hash = rendezvous::hash_address(flow.client.into(), u64::from(flow.route.port()));
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
