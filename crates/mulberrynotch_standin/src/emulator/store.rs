//! The store of the simulated platform: versioned records, watches and outages.

use std::time::Duration;

use mulberrynotch_steer::{
    reader,
    record,
    revision, //
};

/// A pending watch of a balancer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) balancer: usize,
    pub(super) incarnation: u64,
    pub(super) after: u64,
    pub(super) deadline: Duration,
}

/// Records of the store and the watches on them.
#[derive(Debug, Default)]
pub(super) struct Store {
    records: Vec<record::Record>,
    revision: u64,
    pub(super) down: bool,
    pub(super) watches: Vec<Watch>,
    pub(super) calls: u64,
}

impl Store {
    /// Writes a record, or a removal when `body` is `None`.
    pub(super) fn put(&mut self, key: record::Key, body: Option<record::Body>) {
        self.revision += 1;
        self.records.retain(|it| it.key != key);
        let removed_ms = body.is_none().then_some(0);
        self.records.push(record::Record {
            key,
            revision: self.revision,
            body,
            removed_ms,
        });
    }

    fn as_of(&self) -> revision::Revision {
        revision::Revision {
            era: 0,
            number: self.revision,
        }
    }

    /// Returns the present records, or `TooMany` when they exceed the limit of a short read.
    pub(super) fn list(&self, short: bool) -> reader::Answer {
        if short && self.records.len() > reader::SHORT_LIST {
            return reader::Answer::TooMany;
        }
        let present = self.records.iter().filter(|it| it.removed_ms.is_none());
        reader::Answer::Listed {
            as_of: self.as_of(),
            records: present.cloned().collect(),
        }
    }

    /// Removes the watches that are due and returns them with their answers.
    pub(super) fn take_finished_watches(&mut self, now: Duration) -> Vec<(Watch, reader::Answer)> {
        if self.down {
            return Vec::new();
        }
        let revision = self.revision;
        let is_finished = |it: &mut Watch| revision > it.after || now >= it.deadline;
        let finished: Vec<_> = self.watches.extract_if(.., is_finished).collect();
        let answer = |watch: &Watch| reader::Answer::Changed {
            as_of: self.as_of(),
            records: self
                .records
                .iter()
                .filter(|it| it.revision > watch.after)
                .cloned()
                .collect(),
        };
        finished.iter().map(|it| (*it, answer(it))).collect()
    }
}
