//! Checks that the annotated example documents are valid.

use mulberrynotch_register::{
    model,
    parse,
    settings, //
};

#[test]
fn example_register_is_valid() {
    let text = include_str!("../../../examples/register.jsonc");
    let register = parse::register(text).expect("valid");
    let names: Vec<&str> = register.services.iter().map(|s| &*s.name).collect();
    assert_eq!(names, ["orders", "gallery"]);
    let offered: Vec<model::Protocol> = register.services[0]
        .addresses
        .iter()
        .map(|address| address.protocol)
        .collect();
    let all = [
        model::Protocol::Udp,
        model::Protocol::Tcp,
        model::Protocol::Http,
    ];
    assert_eq!(offered, all);
}

#[test]
fn example_settings_are_valid_and_state_the_defaults() {
    let text = include_str!("../../../examples/settings.jsonc");
    let settings = parse::settings(text).expect("valid");
    assert_eq!(settings.limits, settings::Limits::default());
}
