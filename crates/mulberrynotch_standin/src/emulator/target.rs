//! A simulated target with request slots, a bounded queue and a table of open flows.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use mulberrynotch_steer::packet;

/// Factor by which a cold target is slower than a warm one.
const COLD_FACTOR: u32 = 2;

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) flow: packet::Flow,
    pub(super) number: u32,
    pub(super) work: Duration,
}

/// State of a target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) id: u64,
    pub(super) zone: usize,
    pub(super) unresponsive: bool,
    pub(super) draining_since: Option<Duration>,
    pub(super) slowdown: u32,
    pub(super) cold_until: Duration,
    slots: usize,
    queue_limit: usize,
    running: usize,
    queue: VecDeque<Job>,
    /// Open flows with the number of the last accepted request.
    flows: HashMap<packet::Flow, u32>,
    pub(super) completed: u64,
}

/// Result of offering a request to a target.
pub(super) enum Admission {
    /// The request started and runs for this long.
    Started(Duration),
    /// The request waits for a slot.
    Queued,
    /// The queue is full; the request was refused and did not run.
    Shed,
    /// The request is a retransmission of an accepted one.
    Duplicate,
}

impl Target {
    pub(super) fn new(id: u64, zone: usize, slots: usize, queue_limit: usize) -> Self {
        Self {
            id,
            zone,
            unresponsive: false,
            draining_since: None,
            slowdown: 1,
            cold_until: Duration::ZERO,
            slots,
            queue_limit,
            running: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
            completed: 0,
        }
    }

    pub(super) fn open(&mut self, flow: packet::Flow) {
        self.flows.entry(flow).or_insert(0);
    }

    pub(super) fn has_flow(&self, flow: &packet::Flow) -> bool {
        self.flows.contains_key(flow)
    }

    pub(super) fn close(&mut self, flow: &packet::Flow) {
        self.flows.remove(flow);
    }

    pub(super) fn admit(&mut self, now: Duration, job: Job) -> Admission {
        let last = self.flows.entry(job.flow).or_insert(0);
        if *last >= job.number {
            return Admission::Duplicate;
        }
        if self.running < self.slots {
            *last = job.number;
            self.running += 1;
            return Admission::Started(self.service_time(now, job));
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Shed;
        }
        *last = job.number;
        self.queue.push_back(job);
        Admission::Queued
    }

    /// Completes a request and returns the next one from the queue with its service time.
    pub(super) fn finish(&mut self, now: Duration) -> Option<(Job, Duration)> {
        self.completed += 1;
        let Some(next) = self.queue.pop_front() else {
            self.running = self.running.saturating_sub(1);
            return None;
        };
        Some((next, self.service_time(now, next)))
    }

    fn service_time(&self, now: Duration, job: Job) -> Duration {
        let cold_factor = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1
        };
        job.work * self.slowdown * cold_factor
    }
}
