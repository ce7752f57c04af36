//! The store of the simulated platform: versioned records, watches, outages and returns from a copy.

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
    pub(super) after: revision::Revision,
    pub(super) deadline: Duration,
}

/// Contents of the store at a moment.
#[derive(Clone, Debug, Default)]
struct Contents {
    records: Vec<record::Record>,
    revision: u64,
}

/// Records of the store and the watches on them.
#[derive(Debug)]
pub(super) struct Store {
    contents: Contents,
    copy: Contents,
    era: u64,
    pub(super) down: bool,
    pub(super) watches: Vec<Watch>,
    pub(super) calls: u64,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            contents: Contents::default(),
            copy: Contents::default(),
            era: 1,
            down: false,
            watches: Vec::new(),
            calls: 0,
        }
    }

    /// Writes a record, or a removal when `body` is `None`.
    pub(super) fn put(&mut self, key: record::Key, body: Option<record::Body>) {
        let contents = &mut self.contents;
        contents.revision += 1;
        contents.records.retain(|it| it.key != key);
        let removed_ms = body.is_none().then_some(0);
        let at = revision::Revision {
            era: self.era,
            number: contents.revision,
        };
        contents.records.push(record::Record {
            key,
            write: revision::Write::dated(at),
            body,
            removed_ms,
            unconfirmed_ms: None,
        });
    }

    /// Copies the contents, for a later return from this copy.
    pub(super) fn copy(&mut self) {
        self.copy = self.contents.clone();
    }

    /// Returns from the copy. Returns the records that were written since the copy was made.
    pub(super) fn restore(&mut self) -> Vec<record::Record> {
        let lost = std::mem::replace(&mut self.contents, self.copy.clone());
        self.era += 1;
        let is_lost = |it: &record::Record| it.write.at.number > self.copy.revision;
        lost.records.into_iter().filter(is_lost).collect()
    }

    fn as_of(&self) -> revision::Revision {
        revision::Revision {
            era: self.era,
            number: self.contents.revision,
        }
    }

    /// Returns the present records, or `TooMany` when they exceed the limit of a short read.
    pub(super) fn list(&self, short: bool) -> reader::Answer {
        let records = &self.contents.records;
        if short && records.len() > reader::SHORT_LIST {
            return reader::Answer::TooMany;
        }
        let present = records.iter().filter(|it| it.removed_ms.is_none());
        reader::Answer::Listed {
            as_of: self.as_of(),
            records: present.cloned().map(|it| self.undated(it)).collect(),
        }
    }

    /// Marks a record of a list, which does not show in which era it was written.
    fn undated(&self, record: record::Record) -> record::Record {
        let at = revision::Revision {
            era: self.era,
            ..record.write.at
        };
        record::Record {
            write: revision::Write::undated(at),
            ..record
        }
    }

    /// Removes the watches that are due and returns them with their answers.
    pub(super) fn take_finished_watches(&mut self, now: Duration) -> Vec<(Watch, reader::Answer)> {
        if self.down {
            return Vec::new();
        }
        let revision = self.contents.revision;
        let is_finished = |it: &mut Watch| revision != it.after.number || now >= it.deadline;
        let finished: Vec<_> = self.watches.extract_if(.., is_finished).collect();
        finished
            .iter()
            .map(|it| (*it, self.answer(it.after.number)))
            .collect()
    }

    fn answer(&self, after: u64) -> reader::Answer {
        let era = self.era;
        if after > self.contents.revision {
            return reader::Answer::HistoryLost { era };
        }
        let records = self.contents.records.iter();
        let changed = records.filter(|it| it.write.at.number > after).cloned();
        let era = self.era;
        let dated = changed.map(|it| record::Record {
            write: revision::Write::dated(revision::Revision { era, ..it.write.at }),
            ..it
        });
        reader::Answer::Changed {
            as_of: self.as_of(),
            records: dated.collect(),
        }
    }
}
