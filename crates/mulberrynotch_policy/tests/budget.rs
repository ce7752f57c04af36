//! Control traffic of a process, over time.

use std::time::Duration;

use mulberrynotch_policy::budget::{
    self,
    Priority, //
};

/// Bytes per second of the queues.
const RATE: u32 = 1_000;

/// Bytes of an item.
const ITEM: usize = 100;

/// Bytes that leave within `seconds`, looked at ten times a second, while `priority` never runs
/// dry.
fn sent(queue: &mut budget::Queue<()>, priority: Priority, from: u64, seconds: u64) -> usize {
    let mut bytes = 0;
    for step in from * 10..(from + seconds) * 10 {
        for _ in 0..1_000 {
            queue.push(priority, ITEM, ());
        }
        while queue.pop(Duration::from_millis(step * 100)).is_some() {
            bytes += ITEM;
        }
    }
    bytes
}

/// Guards against records of flows that wait for seconds at a planned stop, while the process has
/// sent far less than its budget before.
#[test]
fn what_was_saved_goes_to_a_handover_at_once() {
    for priority in [Priority::Handover, Priority::Redirect] {
        let mut queue = budget::Queue::new(RATE);
        assert_eq!(sent(&mut queue, priority, 0, 1), 32_900);
        // The reserve is empty; after a minute without traffic it is full again.
        assert_eq!(sent(&mut queue, priority, 1, 10), 10_000);
        assert_eq!(sent(&mut queue, priority, 71, 1), 32_900);
    }
}

/// Guards against control traffic above the budget: over any time, what was saved is spent once.
#[test]
fn the_average_stays_within_the_budget() {
    let mut queue = budget::Queue::new(RATE);
    let bytes = sent(&mut queue, Priority::Handover, 0, 600);
    assert!(bytes <= 632_000, "{bytes} bytes in 600 s");
}

/// Guards against bursts of the other traffic, which recurs without end in a large fleet.
#[test]
fn other_traffic_does_not_use_what_was_saved() {
    for priority in [
        Priority::ZoneOut,
        Priority::Configuration,
        Priority::Membership,
        Priority::Dissemination,
        Priority::Load,
    ] {
        let mut queue = budget::Queue::new(RATE);
        assert!(sent(&mut queue, priority, 0, 1) <= 2_900, "{priority:?}");
    }
}

/// Guards against heartbeats that wait because a handover has spent the rate as well.
#[test]
fn a_handover_leaves_the_burst_to_heartbeats() {
    let mut queue = budget::Queue::new(RATE);
    for _ in 0..300 {
        queue.push(Priority::Handover, ITEM, ());
    }
    while !queue.is_empty() {
        queue.pop(Duration::ZERO).expect("the reserve holds 30 s");
    }
    assert_eq!(sent(&mut queue, Priority::Membership, 0, 1), 2_900);
}
