//! Tests of the probe schedule, and of log lines and their limits.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_net::{
    event,
    probe, //
};
use mulberrynotch_policy::view;
use mulberrynotch_register::model;
use mulberrynotch_wire::control;

const TARGETS: usize = 40;

fn owner_of_all() -> view::View {
    let target = |index| {
        serde_json::json!({
            "name": format!("t{index}"), "zone": "a", "load": "127.0.0.1:9",
            "slots": 2, "connections": 10,
        })
    };
    let register: model::Register = serde_json::from_value(serde_json::json!({
        "revision": 1,
        "zones": [{ "name": "a" }],
        "services": [{
            "name": "s", "addresses": [],
            "targets": (0..TARGETS).map(target).collect::<Vec<_>>(),
        }],
    }))
    .unwrap();
    let me = control::Member {
        name: Arc::from("me"),
        zone: Arc::from("a"),
        peer: ([127, 0, 0, 1], 9).into(),
        incarnation: 1,
        state: control::State::Alive,
    };
    view::View::new(&me, Arc::new(register), Vec::new(), true)
}

/// Guards against a burst of probes at the start, against a target that is never probed because
/// others come first, and against a target that is probed more than once per second.
#[test]
fn probes_are_staggered_and_bounded() {
    let view = owner_of_all();
    let mut schedule = probe::Schedule::default();
    let mut probed = std::collections::HashMap::new();
    for tick in 0..100 {
        let due = schedule.due(Duration::from_millis(100 * tick), &view);
        assert!(due.len() <= 16);
        for (target, _) in due {
            *probed.entry(target).or_insert(0) += 1;
        }
    }
    assert_eq!(probed.len(), TARGETS);
    assert!(probed.values().all(|&count| (9..=10).contains(&count)));
}

/// Guards against a value with spaces or line breaks that splits a log line or forges a field.
#[test]
fn values_stay_inside_their_field() {
    let line = event::format_line("refused", &[("from", &"a b\nevent=x"), ("port", &7)]);
    assert_eq!(line, r#"event=refused from="a b\nevent=x" port=7"#);
}

/// Guards against a caller that fills the log by repeating an event.
#[test]
fn repeated_events_are_suppressed_and_counted() {
    let limiter = event::Limiter::new();
    let logged = (0..1_000)
        .filter(|_| limiter.admit(Duration::from_secs(1)).is_some())
        .count();
    assert_eq!(logged, 5);
    assert_eq!(limiter.admit(Duration::from_secs(20)), Some(995));
}
