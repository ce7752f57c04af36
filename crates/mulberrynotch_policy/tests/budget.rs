//! Rate limit of the control traffic of a process over time.

use std::time::Duration;

use mulberrynotch_policy::budget::{
    self,
    Priority, //
};

const RATE_BYTES_PER_SECOND: u32 = 1_000;

const ITEM_BYTES: usize = 100;

/// Returns the bytes sent within `seconds`, polled ten times a second, while items of `priority`
/// are always waiting.
fn sent(queue: &mut budget::Queue<()>, priority: Priority, from: u64, seconds: u64) -> usize {
    let mut bytes = 0;
    for step in from * 10..(from + seconds) * 10 {
        for _ in 0..1_000 {
            queue.push(priority, ITEM_BYTES, ());
        }
        while queue.pop(Duration::from_millis(step * 100)).is_some() {
            bytes += ITEM_BYTES;
        }
    }
    bytes
}

/// Guards against flow records that wait for seconds at a planned stop although the process has
/// used little of its rate before.
#[test]
fn a_handover_may_use_the_reserve_at_once() {
    for priority in [Priority::Handover, Priority::Redirect] {
        let mut queue = budget::Queue::new(RATE_BYTES_PER_SECOND);
        assert_eq!(sent(&mut queue, priority, 0, 1), 32_900);
        // The reserve is empty; after a minute without traffic it is full again.
        assert_eq!(sent(&mut queue, priority, 1, 10), 10_000);
        assert_eq!(sent(&mut queue, priority, 71, 1), 32_900);
    }
}

/// Guards against an average rate above the budget: the reserve is spent only once.
#[test]
fn the_average_stays_within_the_budget() {
    let mut queue = budget::Queue::new(RATE_BYTES_PER_SECOND);
    let bytes = sent(&mut queue, Priority::Handover, 0, 600);
    assert!(bytes <= 632_000, "{bytes} bytes in 600 s");
}

/// Guards against bursts of other traffic, which recurs without end in a large fleet.
#[test]
fn other_traffic_does_not_use_the_reserve() {
    for priority in [
        Priority::ZoneOut,
        Priority::Configuration,
        Priority::Membership,
        Priority::Dissemination,
        Priority::Load,
    ] {
        let mut queue = budget::Queue::new(RATE_BYTES_PER_SECOND);
        assert!(sent(&mut queue, priority, 0, 1) <= 2_900, "{priority:?}");
    }
}

/// Guards against a handover that spends the tokens of heartbeats in addition to the reserve.
#[test]
fn a_handover_leaves_the_burst_to_heartbeats() {
    let mut queue = budget::Queue::new(RATE_BYTES_PER_SECOND);
    for _ in 0..300 {
        queue.push(Priority::Handover, ITEM_BYTES, ());
    }
    while !queue.is_empty() {
        queue.pop(Duration::ZERO).expect("the reserve holds 30 s");
    }
    assert_eq!(sent(&mut queue, Priority::Membership, 0, 1), 2_900);
}
