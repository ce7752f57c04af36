//! Detection of targets that no longer serve their datagram flows.

use std::time::Duration;

use mulberrynotch_wire::flow;

use crate::health;

/// Duration of a failure after which a target counts as dead. A shorter outage moves no flow.
const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Number of different seconds with an ICMP error that a failure must have besides lasting for
/// `DEAD_AFTER`. A single error may belong to a restart.
const MIN_ERROR_SECONDS: u32 = 4;

/// Errors further apart than this belong to separate outages.
const ERROR_GAP: Duration = Duration::from_secs(10);

/// Number of flows that must have sent unanswered datagrams; fewer when the target has fewer flows.
const MIN_UNANSWERED_FLOWS: usize = 8;

/// First and longest interval between two trial flows on a dead target.
const TRIAL_INTERVAL: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(80));

/// Time without an ICMP error after which a trial flow proves a target alive that never answers.
const TRIAL_PERIOD: Duration = Duration::from_secs(5);

/// Evidence on whether one target is alive.
#[derive(Clone, Debug, Default)]
pub(super) struct Liveness {
    last_answer: Option<Duration>,
    /// Longest recent wait for an answer; decays by 1/16 with each answer.
    usual_wait: Duration,
    waiting_since: Option<Duration>,
    /// Flows that sent datagrams since the last answer, at most [`MIN_UNANSWERED_FLOWS`].
    unanswered_flows: Vec<flow::Flow>,
    errors_since: Option<Duration>,
    last_error: Duration,
    error_seconds: u32,
    has_report: bool,
    missing_since: Option<Duration>,
    dead: Option<Dead>,
}

/// State of a dead target between trial flows.
#[derive(Clone, Debug)]
struct Dead {
    next_trial: Duration,
    interval: Duration,
    tried_at: Option<Duration>,
}

/// Conclusion from the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    None,
    Died,
    /// A trial flow failed or was not answered in time: flows on the target have to be released
    /// again.
    TrialFailed,
    Revived,
}

impl Liveness {
    pub(super) fn is_dead(&self) -> bool {
        self.dead.is_some()
    }

    /// Returns true when the target may receive a flow: it is alive, or due for a trial.
    pub(super) fn has_room(&self, now: Duration) -> bool {
        self.dead
            .as_ref()
            .is_none_or(|dead| dead.tried_at.is_none() && now >= dead.next_trial)
    }

    /// Records that a new flow was placed on the target.
    pub(super) fn record_admission(&mut self, now: Duration) {
        if let Some(dead) = &mut self.dead {
            dead.tried_at = Some(now);
            dead.next_trial = now + dead.interval;
            dead.interval = (dead.interval * 2).min(TRIAL_INTERVAL.1);
        }
    }

    /// Records a datagram to the target.
    pub(super) fn record_datagram(&mut self, now: Duration, flow: &flow::Flow) {
        self.waiting_since.get_or_insert(now);
        if self.unanswered_flows.len() < MIN_UNANSWERED_FLOWS
            && !self.unanswered_flows.contains(flow)
        {
            self.unanswered_flows.push(*flow);
        }
    }

    /// Records an answer of the target; returns true when it was dead.
    pub(super) fn record_answer(&mut self, now: Duration) -> bool {
        let wait = self.waiting_since.take();
        let wait = wait.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.usual_wait = wait.max(self.usual_wait - self.usual_wait / 16);
        self.last_answer = Some(now);
        self.unanswered_flows.clear();
        self.clear_errors();
        self.dead.take().is_some()
    }

    pub(super) fn observe(&mut self, now: Duration, observation: health::Observation) {
        match observation {
            health::Observation::Report { .. } => {
                // The target reports again, so it is worth a trial at once.
                if self.missing_since.take().is_some()
                    && let Some(dead) = &mut self.dead
                {
                    dead.next_trial = now;
                }
                self.has_report = true;
            }
            health::Observation::NoReport if self.has_report => {
                self.missing_since.get_or_insert(now);
            }
            health::Observation::IcmpError => self.record_error(now),
            _ => {}
        }
    }

    /// Evaluates the evidence; `flows` is the number of flows on the target.
    pub(super) fn evaluate(&mut self, now: Duration, flows: u32) -> Change {
        if let Some(dead) = &mut self.dead {
            let Some(tried_at) = dead.tried_at else {
                return Change::None;
            };
            let has_failed = self.last_error >= tried_at;
            if has_failed || now >= dead.next_trial {
                dead.tried_at = None;
                return Change::TrialFailed;
            }
            // A target that never answers proves itself alive by accepting datagrams without an
            // error.
            if self.last_answer.is_none() && now >= tried_at + TRIAL_PERIOD {
                self.dead = None;
                self.clear_errors();
                return Change::Revived;
            }
            return Change::None;
        }
        if !self.returns_errors(now) && !self.is_unresponsive(now, flows) {
            return Change::None;
        }
        self.dead = Some(Dead {
            next_trial: now + TRIAL_INTERVAL.0,
            interval: TRIAL_INTERVAL.0,
            tried_at: None,
        });
        Change::Died
    }

    fn record_error(&mut self, now: Duration) {
        let is_first = self.errors_since.is_none() || now > self.last_error + ERROR_GAP;
        if is_first {
            self.errors_since = Some(now);
            self.error_seconds = 1;
        } else if now.as_secs() != self.last_error.as_secs() {
            self.error_seconds += 1;
        }
        self.last_error = now;
    }

    fn clear_errors(&mut self) {
        self.errors_since = None;
        self.error_seconds = 0;
    }

    /// Returns true when datagrams have caused ICMP errors for long enough, without an answer in
    /// between.
    fn returns_errors(&self, now: Duration) -> bool {
        let is_long_enough = self
            .errors_since
            .is_some_and(|since| self.last_error >= since + DEAD_AFTER);
        is_long_enough
            && self.error_seconds >= MIN_ERROR_SECONDS
            && now <= self.last_error + ERROR_GAP
    }

    /// Returns true when answers and load reports stopped together. Neither is enough alone: some
    /// targets never answer datagrams, and the report may fail without its target.
    fn is_unresponsive(&self, now: Duration, flows: u32) -> bool {
        let (Some(missing), Some(answer)) = (self.missing_since, self.last_answer) else {
            return false;
        };
        let ended_together = missing <= answer + DEAD_AFTER.max(self.usual_wait * 2);
        let timeout = DEAD_AFTER.max(self.usual_wait * 3);
        let has_timed_out = self
            .waiting_since
            .is_some_and(|since| now >= since + timeout);
        let needed = usize::try_from(flows).unwrap_or(usize::MAX);
        flows > 0
            && ended_together
            && has_timed_out
            && now >= missing + DEAD_AFTER
            && self.unanswered_flows.len() >= needed.min(MIN_UNANSWERED_FLOWS)
    }
}
