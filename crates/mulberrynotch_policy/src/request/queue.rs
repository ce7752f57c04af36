//! Priority queue of the requests for one target.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use mulberrynotch_register::model;

use super::capacity::CLASSES;

/// Maximum number of waiting requests per class and slot of the target.
const MAX_WAITING_PER_SLOT: usize = 4;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: u64,
    pub(super) deadline: Duration,
}

/// Queue with a separate bound for each class, so that a low class cannot displace a higher one.
#[derive(Debug, Default)]
pub(super) struct Queue {
    classes: [VecDeque<Waiting>; CLASSES],
}

impl Queue {
    /// Returns the number of requests that are served before a new one of `class`.
    pub(super) fn len_ahead(&self, class: model::Class) -> usize {
        self.classes[..=class as usize]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    pub(super) fn has_room(&self, class: model::Class, slots: u32) -> bool {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        self.classes[class as usize].len() < slots.saturating_mul(MAX_WAITING_PER_SLOT)
    }

    pub(super) fn push(&mut self, class: model::Class, waiting: Waiting) {
        self.classes[class as usize].push_back(waiting);
    }

    /// Takes the next request, the highest class first.
    pub(super) fn pop(&mut self) -> Option<Waiting> {
        self.classes.iter_mut().find_map(VecDeque::pop_front)
    }

    pub(super) fn remove(&mut self, ticket: u64) {
        for queue in &mut self.classes {
            queue.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Removes the requests whose deadline has passed, and returns their tickets.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<u64> {
        let mut expired = Vec::new();
        for queue in &mut self.classes {
            queue.retain(|waiting| {
                let keep = waiting.deadline > now;
                if !keep {
                    expired.push(waiting.ticket);
                }
                keep
            });
        }
        expired
    }
}
