//! Withdrawals of a balancer from the rotation, and its return.

mod fixture;

use fixture::at;
use mulberrynotch_steer::rotation::Rotation;

/// Guards against clients that are sent to a balancer which cannot serve them.
#[test]
fn a_balancer_withdraws_at_once() {
    let mut rotation = Rotation::default();
    assert_eq!(rotation.update(at(0), true), None);
    assert_eq!(rotation.update(at(100), false), Some(false));
    assert!(rotation.is_withdrawn() && rotation.is_withdrawal_recent(at(1_300)));
    assert_eq!(rotation.update(at(200), false), None);
    assert!(
        !rotation.is_withdrawal_recent(at(1_500)),
        "the routers have noticed by then"
    );
}

/// Guards against clients that are moved each time a path flaps.
#[test]
fn a_balancer_returns_after_it_can_serve_for_a_while() {
    let mut rotation = Rotation::default();
    rotation.update(at(0), false);
    for now in [1_000, 1_200, 1_400] {
        assert_eq!(rotation.update(at(now), true), None);
        assert_eq!(rotation.update(at(now + 100), false), None);
    }
    assert_eq!(rotation.update(at(2_000), true), None);
    assert_eq!(rotation.update(at(2_300), true), Some(true));
    assert!(!rotation.is_withdrawn());
}

/// Guards against a zone that withdrew wrongly and that an operator cannot return to the rotation.
#[test]
fn an_operator_keeps_a_balancer_in_rotation() {
    let mut rotation = Rotation::default();
    rotation.update(at(0), false);
    rotation.set_withdrawal_allowed(false);
    assert_eq!(rotation.update(at(100), false), Some(true));
    assert_eq!(rotation.update(at(200), false), None);
    rotation.set_withdrawal_allowed(true);
    assert_eq!(rotation.update(at(300), false), Some(false));
}
