//! Flows seen lately: a bounded memory that only evidence and load are drawn from.
//!
//! No packet needs its record to be forwarded; a flow without one is carried all the same.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use crate::{
    packet,
    record, //
};

/// Flows held at most; further ones are carried without a record.
const MAX_FLOWS: usize = 16_384;

/// Time within which a client's next packet follows its opening packet, when the target answers.
const OPENING_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after an opening packet in which a copy of it may come; clients give up after 1.4 s.
const OPENING_PERIOD: Duration = Duration::from_millis(1_600);

/// Time within which the answer to a request begins, unless its target is slow or gone.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest time after which an end sends data again; the same data earlier is out of order.
const MIN_RETRANSMIT: Duration = Duration::from_millis(180);

/// Time for which the record of a flow outlives the silence after which its ends may forget it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Targets that one flow's opening packets may go to: the first and one for each copy.
const MAX_TRIED: usize = 4;

/// A flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Targets that the opening packets went to, first one first.
    pub tried: Vec<record::Id>,
    /// Target of the flow, known once the client named it.
    pub target: Option<record::Id>,
    opened_at: Duration,
    last_at: Duration,
    /// End of the data that the client has sent, in its stream.
    sent_end: Option<u32>,
    acknowledged: u32,
    /// When data went out that nothing was acknowledged after.
    unanswered_since: Option<Duration>,
}

mulberrynotch_macros::value! {
    /// What a packet shows of its flow's target.
    pub enum Signal {
        /// Nothing.
        None,
        /// The flow opened, or the client received more.
        Progress,
        /// The client sends data again that went out first at `since`.
        Repeat {
            /// When the data went out first.
            since: Duration,
        },
    }

    /// An opening packet that was not followed by another packet in time, or a request whose answer
    /// did not begin in time.
    pub struct Unanswered {
        /// True for an opening packet.
        pub opening: bool,
        /// Target that it went to.
        pub target: record::Id,
        /// The flow.
        pub flow: packet::Flow,
        /// When it went out.
        pub sent_at: Duration,
    }

    /// What a packet other than an opening one tells.
    pub struct Observation {
        /// What it shows of the target.
        pub signal: Signal,
        /// True when a request starts with it.
        pub starts_request: bool,
        /// Time from the last opening packet, when the flow opened with it.
        pub opened_after: Option<Duration>,
        /// Time from the start of the request, when its answer begins with it.
        pub answered_after: Option<Duration>,
    }
}

/// Flows seen lately.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<packet::Flow, Flow>,
    openings: VecDeque<Unanswered>,
    requests: VecDeque<Unanswered>,
}

impl Table {
    /// Number of flows held.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// True when no flow is held.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Targets that the opening packets of a flow went to, first one first. A flow that opened, or
    /// whose opening packets are over, is another one from the same port.
    pub fn tried(&self, now: Duration, flow: &packet::Flow) -> &[record::Id] {
        let opening = |it: &&Flow| it.is_opening(now);
        let flow = self.flows.get(flow).filter(opening);
        flow.map_or(&[], |it| &it.tried)
    }

    /// Notes an opening packet that goes to `target`.
    pub fn open(&mut self, now: Duration, flow: packet::Flow, target: record::Id) {
        if self.flows.get(&flow).is_some_and(|it| !it.is_opening(now)) {
            self.flows.remove(&flow);
        }
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&flow) {
            return;
        }
        let record = self.flows.entry(flow).or_insert_with(|| Flow::new(now));
        record.last_at = now;
        record.opened_at = now;
        if record.tried.last() != Some(&target) && record.tried.len() < MAX_TRIED {
            record.tried.push(target);
        }
        let sent_at = now;
        self.openings.push_back(Unanswered {
            opening: true,
            target,
            flow,
            sent_at,
        });
    }

    /// Notes a packet of an open flow that goes to `target`.
    pub fn carry(
        &mut self,
        now: Duration,
        packet: &packet::Packet,
        target: record::Id,
    ) -> Observation {
        if packet.flags.reset {
            self.flows.remove(&packet.flow);
            return Observation::none();
        }
        let full = self.flows.len() >= MAX_FLOWS;
        if full && !self.flows.contains_key(&packet.flow) {
            return Observation::none();
        }
        let flow = self
            .flows
            .entry(packet.flow)
            .or_insert_with(|| Flow::new(now));
        let observation = flow.observe(now, packet, target);
        if observation.starts_request {
            self.requests.push_back(Unanswered {
                opening: false,
                target,
                flow: packet.flow,
                sent_at: now,
            });
        }
        if packet.flags.finish {
            // What follows a FIN says nothing of the target's health.
            self.flows.remove(&packet.flow);
        }
        observation
    }

    /// Takes the opening packets and the requests that stayed unanswered.
    pub fn take_unanswered(&mut self, now: Duration) -> Vec<Unanswered> {
        let flows = &self.flows;
        let is_unopened = |it: &Unanswered| {
            let flow = flows.get(&it.flow);
            flow.is_some_and(|flow| flow.target.is_none())
        };
        let mut found = overdue(&mut self.openings, now, OPENING_TIMEOUT, is_unopened);
        let is_unanswered = |it: &Unanswered| {
            let flow = flows.get(&it.flow);
            flow.is_some_and(|flow| flow.unanswered_since == Some(it.sent_at))
        };
        found.extend(overdue(
            &mut self.requests,
            now,
            REQUEST_TIMEOUT,
            is_unanswered,
        ));
        found
    }

    /// True when an open flow of a target is known.
    pub fn has_flows_of(&self, target: record::Id) -> bool {
        self.flows.values().any(|it| it.target == Some(target))
    }

    /// Takes the flows of a target, each with the position up to which its client holds the stream.
    pub fn take_flows_of(&mut self, target: record::Id) -> Vec<(packet::Flow, u32)> {
        let on_target = |_: &packet::Flow, flow: &mut Flow| flow.target == Some(target);
        let taken = self.flows.extract_if(on_target);
        let mut taken: Vec<_> = taken
            .map(|(flow, record)| (flow, record.acknowledged))
            .collect();
        // The order of a map differs from run to run.
        taken.sort_unstable();
        taken
    }

    /// Drops the records of flows that have been silent for longer than `idle`.
    pub fn expire(&mut self, now: Duration, idle: Duration) {
        let limit = idle + IDLE_MARGIN;
        self.flows
            .retain(|_, it| now.saturating_sub(it.last_at) < limit);
    }
}

impl Flow {
    fn new(now: Duration) -> Self {
        Self {
            tried: Vec::new(),
            target: None,
            opened_at: now,
            last_at: now,
            sent_end: None,
            acknowledged: 0,
            unanswered_since: None,
        }
    }

    /// True while copies of the opening packet may come.
    fn is_opening(&self, now: Duration) -> bool {
        self.target.is_none() && now.saturating_sub(self.opened_at) < OPENING_PERIOD
    }

    fn observe(
        &mut self,
        now: Duration,
        packet: &packet::Packet,
        target: record::Id,
    ) -> Observation {
        self.last_at = now;
        let opened_here = self.target.is_none() && !self.tried.is_empty();
        let known = self.target == Some(target);
        self.target = Some(target);
        let advanced = known && is_after(packet.acknowledged, self.acknowledged);
        if advanced || !known {
            self.acknowledged = packet.acknowledged;
        }
        let answered_after = match self.unanswered_since {
            Some(since) if advanced => {
                self.unanswered_since = None;
                Some(now.saturating_sub(since))
            }
            _ => None,
        };
        let starts_request = packet.length > 0 && self.is_new_data(packet);
        let repeats = packet.length > 0 && !starts_request;
        let starts_request = starts_request && self.unanswered_since.is_none();
        if starts_request {
            self.unanswered_since = Some(now);
        }
        let signal = match self.unanswered_since {
            _ if opened_here || advanced => Signal::Progress,
            Some(since) if repeats && now >= since + MIN_RETRANSMIT => Signal::Repeat { since },
            _ => Signal::None,
        };
        let opened_after = opened_here.then(|| now.saturating_sub(self.opened_at));
        Observation {
            signal,
            starts_request,
            opened_after,
            answered_after,
        }
    }

    /// Notes the data of a packet; true when the client has not sent it before.
    fn is_new_data(&mut self, packet: &packet::Packet) -> bool {
        let end = packet.sequence.wrapping_add(packet.length.into());
        let new = self.sent_end.is_none_or(|before| is_after(end, before));
        if new {
            self.sent_end = Some(end);
        }
        new
    }
}

impl Observation {
    fn none() -> Self {
        Self {
            signal: Signal::None,
            starts_request: false,
            opened_after: None,
            answered_after: None,
        }
    }
}

/// Takes the packets that went out `limit` ago or earlier and are still without an answer.
fn overdue(
    queue: &mut VecDeque<Unanswered>,
    now: Duration,
    limit: Duration,
    is_unanswered: impl Fn(&Unanswered) -> bool,
) -> Vec<Unanswered> {
    let due = queue.partition_point(|it| now.saturating_sub(it.sent_at) >= limit);
    queue.drain(..due).filter(is_unanswered).collect()
}

/// Compares positions of a stream, which wrap around.
fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
