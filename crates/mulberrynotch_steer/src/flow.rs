//! Bounded table of recent flows, from which evidence on targets and their load are derived.
//!
//! Packets are forwarded without it, also those of flows that it does not hold.

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

/// Largest number of flows in the table; further ones are forwarded without a record.
const MAX_FLOWS: usize = 16_384;

/// Time within which the client's next packet follows its opening packet if the target answers.
const OPENING_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after an opening packet in which it may be retransmitted; clients give up after 1.4 s.
const OPENING_PERIOD: Duration = Duration::from_millis(1_600);

/// Time within which the answer to a request starts, unless the target is slow or has ended.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest time after which data is retransmitted; the same data earlier is out of order.
const MIN_RETRANSMIT: Duration = Duration::from_millis(180);

/// Time for which the record of a flow is kept beyond the idle time after which its ends may drop
/// it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Targets for the opening packets of one flow: one for the first and one for each retransmission.
const MAX_TRIED: usize = 4;

/// Record of a flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Targets that got the opening packets, in order.
    pub tried: Vec<record::Id>,
    /// Target of the flow, known once a packet of the client carries its cookie.
    pub target: Option<record::Id>,
    opened_at: Duration,
    last_at: Duration,
    /// End of the data that the client has sent, as a position in its stream.
    sent_end: Option<u32>,
    acknowledged: u32,
    /// Time at which data was sent, while nothing has been acknowledged since.
    unanswered_since: Option<Duration>,
}

mulberrynotch_macros::value! {
    /// Evidence on the target of a flow in one packet.
    pub enum Signal {
        /// No evidence.
        None,
        /// The flow opened, or the client received more data.
        Progress,
        /// The client repeated data.
        Repeat {
            /// Time at which the data was first sent.
            since: Duration,
        },
    }

    /// An opening packet that no other packet followed in time, or a request whose answer did not
    /// start in time.
    pub struct Unanswered {
        /// True for an opening packet.
        pub opening: bool,
        /// Target that it was sent to.
        pub target: record::Id,
        /// The flow.
        pub flow: packet::Flow,
        /// Time at which it was sent.
        pub sent_at: Duration,
    }

    /// Information from a packet of an open flow.
    pub struct Observation {
        /// Evidence on the target.
        pub signal: Signal,
        /// True when the packet starts a request.
        pub starts_request: bool,
        /// Time since the last opening packet, if this packet shows that the flow opened.
        pub opened_after: Option<Duration>,
        /// Time since the start of the request, if this packet shows that its answer started.
        pub answered_after: Option<Duration>,
    }
}

/// Table of recent flows.
#[derive(Debug, Default)]
pub struct Table {
    flows: HashMap<packet::Flow, Flow>,
    openings: VecDeque<Unanswered>,
    requests: VecDeque<Unanswered>,
}

impl Table {
    /// Returns the number of flows in the table.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the table holds no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns the targets that got the opening packets of a flow, in order. Returns none for a
    /// flow that has opened or whose opening has timed out: an opening packet then starts another
    /// flow from the same port.
    pub fn tried(&self, now: Duration, flow: &packet::Flow) -> &[record::Id] {
        let opening = |it: &&Flow| it.is_opening(now);
        let flow = self.flows.get(flow).filter(opening);
        flow.map_or(&[], |it| &it.tried)
    }

    /// Records an opening packet for `target`.
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

    /// Records a packet of an open flow to `target` and returns what it shows.
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
            // Packets after a FIN are no evidence on the target's health.
            self.flows.remove(&packet.flow);
        }
        observation
    }

    /// Removes and returns the opening packets and requests that were not answered in time.
    pub fn take_unanswered(&mut self, now: Duration) -> Vec<Unanswered> {
        let flows = &self.flows;
        let is_unopened = |opening: &Unanswered| {
            let flow = flows.get(&opening.flow);
            flow.is_some_and(|flow| flow.target.is_none())
        };
        let mut found = overdue(&mut self.openings, now, OPENING_TIMEOUT, is_unopened);
        let is_unanswered = |request: &Unanswered| {
            let flow = flows.get(&request.flow);
            flow.is_some_and(|flow| flow.unanswered_since == Some(request.sent_at))
        };
        found.extend(overdue(
            &mut self.requests,
            now,
            REQUEST_TIMEOUT,
            is_unanswered,
        ));
        found
    }

    /// Returns whether the table holds an open flow of a target.
    pub fn has_flows_of(&self, target: record::Id) -> bool {
        self.flows.values().any(|it| it.target == Some(target))
    }

    /// Removes and returns the flows of a target, each with the position up to which its client has
    /// received the stream.
    pub fn take_flows_of(&mut self, target: record::Id) -> Vec<(packet::Flow, u32)> {
        let on_target = |_: &packet::Flow, flow: &mut Flow| flow.target == Some(target);
        let taken = self.flows.extract_if(on_target);
        let mut taken: Vec<_> = taken
            .map(|(flow, record)| (flow, record.acknowledged))
            .collect();
        // The iteration order of the map is random.
        taken.sort_unstable();
        taken
    }

    /// Drops the records of flows without a packet for `idle` and a margin.
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

    /// Returns whether the opening packet may still be retransmitted.
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
        let same_target = self.target == Some(target);
        self.target = Some(target);
        let advanced = same_target && is_after(packet.acknowledged, self.acknowledged);
        if advanced || !same_target {
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

    /// Records the data of a packet; returns whether the client sends it for the first time.
    fn is_new_data(&mut self, packet: &packet::Packet) -> bool {
        let end = packet.sequence.wrapping_add(packet.length.into());
        let is_new = self.sent_end.is_none_or(|before| is_after(end, before));
        if is_new {
            self.sent_end = Some(end);
        }
        is_new
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

/// Removes the packets that were sent at least `limit` ago, and returns those that are unanswered.
fn overdue(
    queue: &mut VecDeque<Unanswered>,
    now: Duration,
    limit: Duration,
    is_unanswered: impl Fn(&Unanswered) -> bool,
) -> Vec<Unanswered> {
    let due = queue.partition_point(|it| now.saturating_sub(it.sent_at) >= limit);
    queue.drain(..due).filter(is_unanswered).collect()
}

/// Returns whether a position of a stream is after another one; positions wrap around.
fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < 1 << 31
}
