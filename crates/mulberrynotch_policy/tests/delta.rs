//! Deltas between registers, and priorities of control traffic.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::{
    budget,
    delta, //
};
use mulberrynotch_register::model;
use quickcheck::quickcheck;

fn service(name: u8, deadline: u32) -> model::Service {
    model::Service {
        name: Arc::from(format!("service-{name}")),
        class: model::Class::Normal,
        addresses: Vec::new(),
        proxy_protocol: model::ProxyProtocol::V2,
        flow_idle_seconds: 60,
        request_deadline_ms: deadline,
        targets: Vec::new(),
    }
}

fn register(revision: u64, services: &[(u8, u32)], zones: &[bool]) -> model::Register {
    let mut seen = Vec::new();
    let zone = |(index, out): (usize, &bool)| model::Zone {
        name: Arc::from(format!("zone-{index}")),
        region: Arc::from(""),
        out: *out,
    };
    model::Register {
        revision,
        zones: zones.iter().enumerate().map(zone).collect(),
        services: services
            .iter()
            .filter(|(name, _)| {
                !seen.contains(name) && {
                    seen.push(*name);
                    true
                }
            })
            .map(|(name, deadline)| service(*name, *deadline))
            .collect(),
        rules: Vec::new(),
    }
}

quickcheck! {
    /// Guards against a delta that results in another register than the published one.
    fn delta_results_in_exactly_the_new_register(
        old: Vec<(u8, u32)>,
        new: Vec<(u8, u32)>,
        kept: u8,
        zones: (Vec<bool>, Vec<bool>)
    ) -> bool {
        let mut new = new;
        new.extend(old.iter().take(usize::from(kept)));
        let old = register(1, &old, &zones.0);
        let new = register(2, &new, &zones.1);
        let (base, version) = (delta::version(&old), delta::version(&new));
        let change = delta::diff(&old, base, &new, version);
        delta::apply(&old, base, &change) == Ok(new)
    }
}

/// Guards against a delta applied to content that it was not computed from.
#[test]
fn delta_of_another_base_or_content_is_refused() {
    let old = register(1, &[(1, 1)], &[false]);
    let new = register(2, &[(1, 2)], &[false]);
    let base = delta::version(&old);
    let mut change = delta::diff(&old, base, &new, delta::version(&new));
    let other = register(1, &[(1, 9)], &[false]);
    let refused = delta::apply(&other, delta::version(&other), &change);
    assert_eq!(refused, Err(delta::Error::Base));
    change.services[0].request_deadline_ms += 1;
    assert_eq!(delta::apply(&old, base, &change), Err(delta::Error::Result));
}

/// Guards against a zone going out of service that waits behind other control traffic.
#[test]
fn change_of_a_zone_has_the_highest_priority() {
    let old = register(1, &[(1, 1)], &[false, false]);
    let out = register(2, &[(1, 1)], &[false, true]);
    let other = register(2, &[(1, 2)], &[false, false]);
    assert_eq!(delta::priority(&old, &out), budget::Priority::ZoneOut);
    let configuration = budget::Priority::Configuration;
    assert_eq!(delta::priority(&old, &other), configuration);
    let mut queue = budget::Queue::new(1_000);
    for index in 0..50 {
        queue.push(budget::Priority::Load, 100, index);
    }
    queue.push(configuration, 100, 100);
    queue.push(budget::Priority::ZoneOut, 100, 101);
    assert_eq!(queue.pop(Duration::ZERO), Some(101));
    assert_eq!(queue.pop(Duration::ZERO), Some(100));
}

/// Guards against a burst of configuration that delays heartbeats until members become suspects.
#[test]
fn heartbeats_keep_a_share_next_to_configuration() {
    let mut queue = budget::Queue::new(1_000);
    for index in 0..100 {
        queue.push(budget::Priority::Configuration, 100, index);
    }
    queue.push(budget::Priority::Membership, 100, 1_000);
    let position = (0..100).position(|_| queue.pop(Duration::ZERO) == Some(1_000));
    assert_eq!(position, Some(3));
}

/// Guards against answers to heartbeats that are late because older ones are queued before them.
#[test]
fn old_heartbeats_are_dropped_first() {
    let mut queue = budget::Queue::new(1_000);
    for index in 0..1_000 {
        queue.push(budget::Priority::Membership, 100, index);
    }
    let oldest = queue.pop(Duration::ZERO).unwrap();
    assert!(oldest >= 980 && queue.dropped >= 980, "{oldest}");
}

/// Guards against items larger than the bucket that are charged for less than their size.
#[test]
fn budget_holds_its_rate_for_items_above_the_burst() {
    let mut queue = budget::Queue::new(1_000);
    for index in 0..100 {
        queue.push(budget::Priority::Configuration, 5_000, index);
    }
    let popped = (0..100)
        .filter(|second| queue.pop(Duration::from_secs(*second)).is_some())
        .count();
    assert!(popped <= 21, "{popped} items of 5 s each in 100 s");
    assert!(popped >= 19, "{popped} items of 5 s each in 100 s");
}
