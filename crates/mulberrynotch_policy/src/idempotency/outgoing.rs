//! Messages that are resent until they are acknowledged.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::id;
use mulberrynotch_wire::key;

/// Time between the first `FAST_COPIES` copies of a message.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between later copies of a message.
const SLOW_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Copies after which a message is resent less often, and after which it is dropped. Messages of a
/// sync are never dropped.
const FAST_COPIES: u32 = 10;
const MAX_COPIES: u32 = 40;

/// Action to take on an acknowledgement.
#[derive(Clone, Debug)]
pub(super) enum OnAck {
    Nothing,
    /// Send the request of this ticket.
    Ready(u64),
    /// Send these remaining records of a target, then `Synced`.
    Sync(id::Target, Vec<key::Key>),
    /// Nothing further: the backup knows that it has all records of this target.
    SyncDone(id::Target),
}

impl OnAck {
    /// Returns the target of a sync to the backup.
    pub(super) fn sync_target(&self) -> Option<id::Target> {
        match self {
            Self::Sync(target, _) | Self::SyncDone(target) => Some(*target),
            Self::Nothing | Self::Ready(_) => None,
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) to: Arc<str>,
    pub(super) message: key::Message,
    pub(super) on_ack: OnAck,
    since: Duration,
    sent_at: Duration,
    copies: u32,
}

/// Messages that have not been acknowledged.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    sent: BTreeMap<u32, Sent>,
    sequence: u32,
}

impl Outgoing {
    pub(super) fn len(&self) -> usize {
        self.sent.len()
    }

    /// Adds the message that `build` creates for its sequence number, and returns it.
    pub(super) fn add(
        &mut self,
        now: Duration,
        to: &Arc<str>,
        on_ack: OnAck,
        build: impl FnOnce(u32) -> key::Message,
    ) -> key::Message {
        self.sequence += 1;
        let message = build(self.sequence);
        let sent = Sent {
            to: to.clone(),
            message: message.clone(),
            on_ack,
            since: now,
            sent_at: now,
            copies: 1,
        };
        self.sent.insert(self.sequence, sent);
        message
    }

    /// Removes the message acknowledged by `from`, and returns the action to take.
    pub(super) fn acknowledge(&mut self, from: &str, sequence: u32) -> Option<OnAck> {
        self.sent
            .get(&sequence)
            .filter(|sent| *sent.to == *from)
            .map(|sent| sent.on_ack.clone())
            .inspect(|_| {
                self.sent.remove(&sequence);
            })
    }

    /// Removes the messages for which `remove` returns true, and returns their actions.
    pub(super) fn remove(&mut self, remove: impl Fn(&Sent) -> bool) -> Vec<OnAck> {
        let removed: Vec<u32> = (self.sent.iter())
            .filter(|(_, sent)| remove(sent))
            .map(|(sequence, _)| *sequence)
            .collect();
        (removed.iter())
            .filter_map(|sequence| self.sent.remove(sequence))
            .map(|sent| sent.on_ack)
            .collect()
    }

    /// Removes the messages of tickets that have waited for `limit`, and returns the tickets.
    pub(super) fn expire_tickets(&mut self, now: Duration, limit: Duration) -> Vec<u64> {
        let late =
            |sent: &Sent| matches!(sent.on_ack, OnAck::Ready(_)) && now >= sent.since + limit;
        (self.remove(late).into_iter())
            .filter_map(|on_ack| match on_ack {
                OnAck::Ready(ticket) => Some(ticket),
                OnAck::Nothing | OnAck::Sync(..) | OnAck::SyncDone(_) => None,
            })
            .collect()
    }

    /// Returns the messages that are due to be resent.
    pub(super) fn due(&mut self, now: Duration) -> Vec<(Arc<str>, key::Message)> {
        self.sent
            .retain(|_, sent| sent.copies < MAX_COPIES || sent.on_ack.sync_target().is_some());
        let due = self.sent.values_mut().filter_map(|sent| {
            let fast = sent.copies < FAST_COPIES;
            let wait = if fast {
                RESEND_INTERVAL
            } else {
                SLOW_RESEND_INTERVAL
            };
            (now >= sent.sent_at + wait).then(|| {
                sent.sent_at = now;
                sent.copies += 1;
                (sent.to.clone(), sent.message.clone())
            })
        });
        due.collect()
    }
}
