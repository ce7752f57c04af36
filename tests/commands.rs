//! Tests of the output and exit status of the commands that need no running process.

use std::{
    fs,
    path::PathBuf,
    process::ExitCode, //
};

use clap::Parser;
use mulberrynotch::cli::{
    check,
    diff,
    dump,
    route, //
};
use mulberrynotch_register::parse;
use mulberrynotch_standin::http as standin;
use mulberrynotch_wire::control;

const REGISTER: &str = include_str!("../examples/register.jsonc");

#[derive(clap::Parser)]
enum Command {
    Check(check::Args),
    Diff(diff::Args),
    Dump(dump::Args),
}

fn run(arguments: &[&str]) -> ExitCode {
    let arguments = ["test"].iter().chain(arguments);
    match Command::try_parse_from(arguments).expect("valid arguments") {
        Command::Check(args) => check::execute(&args),
        Command::Diff(args) => diff::execute(&args),
        Command::Dump(args) => dump::execute(&args),
    }
}

/// Writes a file into cargo's folder for this test and returns its path.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("writes");
    path.to_str().expect("UTF-8").into()
}

/// Guards against an exit status by which a script would treat a refused document as valid.
#[test]
fn check_reports_refused_documents_by_exit_status() {
    let valid = file("valid.jsonc", REGISTER);
    let invalid = file(
        "invalid.jsonc",
        &REGISTER.replace("\"slots\": 2", "\"slots\": 0"),
    );
    let settings = file("settings.jsonc", include_str!("../examples/settings.jsonc"));
    let refused = ExitCode::from(2);
    assert_eq!(run(&["check", "--register", &valid]), ExitCode::SUCCESS);
    assert_eq!(run(&["check", "--settings", &settings]), ExitCode::SUCCESS);
    assert_eq!(run(&["check", "--register", &invalid]), refused);
    assert_eq!(run(&["check", "--settings", &valid]), refused);
    assert_eq!(run(&["check", "--register", "/nonexistent"]), refused);
}

/// Guards against publishing a register that balancers ignore because its revision is not higher.
#[test]
fn diff_refuses_a_revision_that_is_not_higher() {
    let old = file("old.jsonc", REGISTER);
    let changed = REGISTER.replace("\"leaving\": true", "\"leaving\": false");
    let same = file("same.jsonc", &changed);
    let raised = file(
        "raised.jsonc",
        &changed.replace("\"revision\": 1", "\"revision\": 2"),
    );
    assert_eq!(run(&["diff", &old, &same]), ExitCode::from(2));
    assert_eq!(run(&["diff", &old, &raised]), ExitCode::SUCCESS);
}

#[test]
fn diff_names_each_change() {
    let new = REGISTER
        .replace("\"revision\": 1", "\"revision\": 2")
        .replace(
            "{ \"name\": \"zone-b\" }",
            "{ \"name\": \"zone-b\", \"out\": true }",
        )
        .replace("\"leaving\": true", "\"leaving\": false")
        .replace("\"gallery-2\"", "\"gallery-3\"")
        .replace("127.1.1.1:5001", "127.1.1.1:5009");
    let old = parse::register(REGISTER).expect("valid");
    let text = diff::describe(&old, &parse::register(&new).expect("valid"));
    for line in [
        "revision 1 -> 2\n",
        "zone zone-b: goes out of service: flows there are abandoned\n",
        "target orders/orders-3: no longer leaves\n",
        "target gallery/gallery-2: is removed: its flows end\n",
        "target gallery/gallery-3: joins: takes no flow that is already placed\n",
        "address 127.1.1.1:5001: is removed from service orders\n",
        "address 127.1.1.1:5009: joins service orders\n",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
}

/// Guards against a placement that moves flows between two targets that both stay.
#[test]
fn diff_moves_only_the_share_of_the_target_that_leaves() {
    let without = REGISTER.replace("\"leaving\": true", "\"leaving\": false");
    let old = parse::register(&without).expect("valid");
    let new = parse::register(&REGISTER.replace("\"revision\": 1", "\"revision\": 2"));
    let text = diff::describe(&old, &new.expect("valid"));
    let percent: f64 = text
        .lines()
        .find_map(|line| line.strip_prefix("address 127.1.1.1:5000 of service orders: "))
        .and_then(|rest| rest.split(' ').next()?.parse().ok())
        .expect("a share");
    // One of three targets; the sample of 10,000 is within three standard deviations.
    assert!((31.9..34.8).contains(&percent), "{text}");
}

#[test]
fn route_names_target_owner_and_reason() {
    let register = parse::register(REGISTER).expect("valid");
    let caller = "192.0.2.1:4000".parse().expect("address");
    let member = |name: &str, zone: &str| control::Member {
        name: name.into(),
        zone: zone.into(),
        peer: "192.0.2.9:1".parse().expect("address"),
        incarnation: 0,
        state: control::State::Alive,
    };
    let members = [member("vm-1", "zone-a"), member("vm-2", "zone-b")];
    let text =
        route::register::explain(register.clone(), "orders", caller, &members).expect("known");
    assert!(
        text.contains("orders-1 in zone-a; owner vm-1 (highest"),
        "{text}"
    );
    assert!(text.contains("zone-c has no live balancer"), "{text}");
    assert!(text.contains("orders-3 in zone-c, leaving"), "{text}");
    let error = route::register::explain(register, "order", caller, &[]).expect_err("unknown");
    assert!(error.contains("use one of: orders, gallery"), "{error}");
}

/// Guards against a dump that omits values or prints terminal escape sequences from names.
#[test]
fn dump_renders_text() {
    let dump = serde_json::json!({"a": {"b": [1, {"c": "x\u{1b}[2J"}], "d": []}});
    let text = dump::render(&dump, dump::Format::Text);
    assert_eq!(
        text,
        "a:\n  b:\n    - 1\n    -\n      c: x?[2J\n  d: none\n"
    );
    assert_eq!(run(&["dump", "--admin", "127.0.0.1:1"]), ExitCode::FAILURE);
}

/// Guards against a dump command that cannot fetch the dump over HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn dump_reads_the_admin_endpoint() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binds");
    let admin = listener.local_addr().expect("bound").to_string();
    tokio::spawn(standin::serve(listener, |request| async move {
        match request.uri().path() {
            "/dump" => standin::json(&serde_json::json!({"name": "vm-1"})),
            _ => standin::status(http::StatusCode::NOT_FOUND),
        }
    }));
    let dump = move || run(&["dump", "--admin", &admin, "--format", "json"]);
    let code = tokio::task::spawn_blocking(dump).await.expect("returns");
    assert_eq!(code, ExitCode::SUCCESS);
}
