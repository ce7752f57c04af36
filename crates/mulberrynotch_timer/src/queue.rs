//! Queue of deadlines, ordered by time.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

/// Identifier of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// Times at which a subscription fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schedule {
    /// Fires periodically, for the first time after one period.
    Every(Duration),
    /// Fires once, after a delay.
    Once(Duration),
}

/// Expired deadline of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fired {
    /// Subscription that fired.
    pub id: Id,
    /// Time between the deadline and the call that found it; large after a pause of the process.
    pub late: Duration,
    /// True when the subscription does not fire again.
    pub last: bool,
}

/// Deadlines of subscriptions, without a clock: each call passes the current time.
#[derive(Debug, Default)]
pub struct Queue {
    next_id: u64,
    due: BTreeSet<(Duration, Id)>,
    entries: HashMap<Id, (Duration, Schedule)>,
}

impl Queue {
    /// Creates a queue without subscriptions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a subscription whose schedule starts at `now`.
    pub fn add(&mut self, now: Duration, schedule: Schedule) -> Id {
        let id = Id(self.next_id);
        self.next_id += 1;
        let (Schedule::Every(delay) | Schedule::Once(delay)) = schedule;
        self.insert(now + delay, id, schedule);
        id
    }

    /// Removes a subscription and returns false if it had already ended.
    pub fn cancel(&mut self, id: Id) -> bool {
        let Some((at, _)) = self.entries.remove(&id) else {
            return false;
        };
        self.due.remove(&(at, id))
    }

    /// Returns the earliest deadline.
    pub fn next(&self) -> Option<Duration> {
        self.due.first().map(|&(at, _)| at)
    }

    /// Removes and returns the deadlines up to `now`, earliest first.
    ///
    /// A periodic subscription fires at most once per call. Further periods that have elapsed are
    /// skipped, so that a process that resumes after a pause does not run a burst of them.
    pub fn expire(&mut self, now: Duration) -> Vec<Fired> {
        let mut fired = Vec::new();
        let mut periodic = Vec::new();
        while let Some(&(at, id)) = self.due.first().filter(|&&(at, _)| at <= now) {
            self.due.remove(&(at, id));
            let schedule = self.entries.remove(&id).map(|(_, schedule)| schedule);
            let late = now - at;
            let last = !matches!(schedule, Some(Schedule::Every(_)));
            fired.push(Fired { id, late, last });
            if let Some(Schedule::Every(period)) = schedule {
                periodic.push((at, id, period));
            }
        }
        for (at, id, period) in periodic {
            let next = if at + period > now {
                at + period
            } else {
                now + period
            };
            self.insert(next, id, Schedule::Every(period));
        }
        fired
    }

    /// Returns the number of subscriptions.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there is no subscription.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, at: Duration, id: Id, schedule: Schedule) {
        self.due.insert((at, id));
        self.entries.insert(id, (at, schedule));
    }
}
