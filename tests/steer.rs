//! Tests of the commands for the `steer` process: settings checks and log explanations.

use std::{
    fs,
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
};

const SETTINGS: &str = r#"{
    // Comments are allowed.
    "name": "vm-1", "zone": "a",
    "packet_address": "127.0.0.1:7001", "readiness_address": "127.0.0.1:7002",
    "peer_address": "127.0.0.1:7003", "admin_address": "127.0.0.1:7004",
    "store_address": "127.0.0.1:7005", "seeds": ["127.0.0.2:7003"],
}"#;

const LOG_1: &str = "\
time=10.000 level=info event=started name=vm-1
time=10.100 level=info event=flow_opening flow=100.64.0.7:4001>198.18.0.1:443 copy=0 target=a1 version=3
time=10.170 level=info event=opening_unanswered flow=100.64.0.7:4001>198.18.0.1:443 target=a1
time=10.171 level=info event=target_verdict target=a1 verdict=Doubtful failures=1
time=10.172 level=info event=target_verdict target=b2 verdict=Doubtful failures=1
";

const LOG_2: &str = "\
time=10.300 level=info event=flow_opening flow=100.64.0.7:4001>198.18.0.1:443 copy=1 target=c3 version=3
time=10.301 level=info event=flow_opening flow=100.64.0.8:4001>198.18.0.1:443 copy=0 target=c3 version=3
";

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_mulberrynotch");
    Command::new(program).args(arguments).output().unwrap()
}

/// Guards against refusing settings without the position of the error and its remedy.
#[test]
fn bad_settings_are_refused_with_line_and_remedy() {
    let invalid = SETTINGS.replace("127.0.0.1:7002", "nowhere");
    let path = file("wrong.jsonc", &invalid);
    for command in [["steer", "--settings"], ["check", "--steering"]] {
        let output = run(&[command[0], command[1], path.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains("wrong.jsonc:4:"), "{text}");
        assert!(text.contains("write it like"), "{text}");
    }
}

/// Guards against settings that use one address for two purposes, which would fail only at the
/// start.
#[test]
fn settings_with_an_address_used_twice_are_refused() {
    let path = file("twice.jsonc", &SETTINGS.replace("7002", "7001"));
    let output = run(&["check", "--steering", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("also that of \"packet_address\""), "{text}");
}

/// Guards against refusing valid settings.
#[test]
fn valid_settings_are_summarized() {
    let path = file("valid.jsonc", SETTINGS);
    let output = run(&["check", "--steering", path.to_str().unwrap()]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("zone a"));
}

/// Guards against an explanation of a refused flow that omits that the balancers of its zone had
/// withdrawn from the rotation.
#[test]
fn an_explained_flow_shows_the_paths_and_the_rotation() {
    let log = "time=99.0 event=zone_path zone=b state=Cut told_by=- proven_ms=310 cut_ms=120\n\
               time=99.1 event=rotation ready=false isolated=false cut_zones=b excluded_targets=5\n\
               time=99.2 event=flow_refused flow=100.64.0.9:4001>198.18.0.1:443 reason=SteppedAside\n";
    let path = file("vm-3.log", log);
    let output = run(&[
        "explain",
        path.to_str().unwrap(),
        "--flow",
        "100.64.0.9:4001",
    ]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("event=zone_path"), "{text}");
    assert!(text.contains("event=rotation"), "{text}");
}

/// Guards against an explanation of a flow that omits one of the balancers or the verdicts on its
/// target.
#[test]
fn a_flow_is_explained_over_the_logs_of_several_balancers() {
    let (one, two) = (file("vm-1.log", LOG_1), file("vm-2.log", LOG_2));
    let logs = [one.to_str().unwrap(), two.to_str().unwrap()];
    let output = run(&["explain", logs[0], logs[1], "--flow", "100.64.0.7:4001"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let events: Vec<_> = text
        .lines()
        .filter_map(|it| it.split("event=").nth(1))
        .collect();
    let names: Vec<_> = events
        .iter()
        .filter_map(|it| it.split(' ').next())
        .collect();
    let expected = [
        "started",
        "flow_opening",
        "opening_unanswered",
        "target_verdict",
    ];
    assert_eq!(names, [&expected[..], &["flow_opening"]].concat(), "{text}");
    let json = run(&[
        "explain",
        logs[0],
        "--json",
        "--flow",
        "100.64.0.7:4001>198.18.0.1:443",
    ]);
    let json = String::from_utf8(json.stdout).unwrap();
    assert!(
        json.lines()
            .all(|it| serde_json::from_str::<serde_json::Value>(it).is_ok())
    );
    assert_eq!(
        run(&["explain", logs[0], "--flow", "192.0.2.1:1"])
            .status
            .code(),
        Some(1)
    );
}
