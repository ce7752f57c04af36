//! Capacity of a process, with shares reserved for the higher priority classes.

use mulberrynotch_register::model;

pub(super) const CLASSES: usize = 3;

/// Share of the capacity reserved for each class, in percent, `High` first. `Low` has no reserve
/// and uses what the other classes leave.
const RESERVED_PERCENT: [usize; CLASSES] = [30, 15, 0];

/// Capacity in use by one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ClassStatus {
    /// Priority class.
    pub class: model::Class,
    /// Share of the capacity reserved for this class, in requests.
    pub reserved: usize,
    /// Requests in progress.
    pub used: usize,
    /// Requests waiting at the ingress balancer.
    pub waiting: usize,
    /// Requests refused for lack of capacity.
    pub refused: u64,
}

#[derive(Debug)]
pub(super) struct Capacity {
    total: usize,
    used: [usize; CLASSES],
    refused: [u64; CLASSES],
}

impl Capacity {
    pub(super) fn new(total: usize) -> Self {
        Self {
            total,
            used: [0; CLASSES],
            refused: [0; CLASSES],
        }
    }

    /// Takes a place for a request, unless the free places are reserved for higher classes.
    pub(super) fn try_acquire(&mut self, class: model::Class) -> bool {
        let index = class as usize;
        let free = self.total.saturating_sub(self.used.iter().sum());
        let reserved_for_higher: usize = (0..index).map(|higher| self.unused_reserve(higher)).sum();
        let allowed = free > reserved_for_higher;
        if allowed {
            self.used[index] += 1;
        } else {
            self.refused[index] += 1;
        }
        allowed
    }

    pub(super) fn release(&mut self, class: model::Class) {
        let used = &mut self.used[class as usize];
        *used = used.saturating_sub(1);
    }

    pub(super) fn status(&self, waiting: [usize; CLASSES]) -> Vec<ClassStatus> {
        [
            model::Class::High,
            model::Class::Normal,
            model::Class::Low, //
        ]
        .into_iter()
        .map(|class| ClassStatus {
            class,
            reserved: self.reserved(class as usize),
            used: self.used[class as usize],
            waiting: waiting[class as usize],
            refused: self.refused[class as usize],
        })
        .collect()
    }

    fn reserved(&self, index: usize) -> usize {
        (self.total * RESERVED_PERCENT[index]).div_ceil(100)
    }

    fn unused_reserve(&self, index: usize) -> usize {
        self.reserved(index).saturating_sub(self.used[index])
    }
}
