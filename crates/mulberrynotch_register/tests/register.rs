//! Tests the parsing and validation of registers.

use std::fmt::Write;

use mulberrynotch_register::{
    model,
    parse,
    validate, //
};

const VALID: &str = r#"{
  // Comments and trailing commas are part of the format.
  "revision": 7,
  "zones": [{ "name": "zone-a" }, { "name": "zone-b", "out": true }],
  "services": [
    {
      "name": "orders",
      "class": "high",
      "addresses": [
        { "address": "192.0.2.1:80", "protocol": "http" },
        { "address": "192.0.2.1:90", "protocol": "udp" }
      ],
      "targets": [
        { "name": "t1", "zone": "zone-a", "http": "192.0.2.9:80", "udp": "192.0.2.9:80", "slots": 2, "connections": 9 },
        { "name": "t2", "zone": "zone-b", "http": "192.0.2.8:80", "udp": "192.0.2.8:81", "slots": 2, "connections": 9 },
      ],
    },
    { "name": "gallery", "addresses": [{ "address": "192.0.2.2:80", "protocol": "tcp" }], "targets": [] }
  ],
  "rules": [{ "service": "orders", "method": "POST", "path_prefix": "/o", "non_idempotent": true }],
}"#;

/// Returns the problems of the valid document with `from` replaced by `to`, each as
/// `line:column: text`.
fn problems(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from} is not part of the document");
    let error = parse::register(&VALID.replacen(from, to, 1)).expect_err("is refused");
    error.problems.iter().map(ToString::to_string).collect()
}

#[test]
fn valid_register_is_read_completely() {
    let register = parse::register(VALID).expect("valid");
    assert_eq!(register.revision, 7);
    assert!(register.zones[1].out);
    assert_eq!(register.services[0].class, model::Class::High);
    assert_eq!(register.services[0].targets[1].connections, 9);
    assert_eq!(register.rules[0].non_idempotent, Some(true));
    let json = serde_json::to_string(&register).expect("serialises");
    assert_eq!(parse::register(&json).expect("round trip"), register);
    let by_serde: model::Register = serde_json::from_str(&json).expect("same keys");
    assert_eq!(by_serde, register);
}

/// Guards against rules that are not checked, or whose violations are reported at a wrong position
/// or without a remedy.
#[test]
fn each_fault_has_position_and_remedy() {
    let cases = [
        (
            "\"revision\": 7",
            "\"revision\": 0",
            "3:15: revision is zero; number revisions",
        ),
        (
            "\"revision\": 7",
            "\"revision\": -1",
            "3:15: -1 is not a whole number in range; use",
        ),
        (
            "\"revision\": 7,",
            "",
            "1:1: key \"revision\" is missing; add \"revision\"",
        ),
        (
            "\"revision\": 7",
            "\"revision\": 7, \"revision\": 8",
            "3:18: key \"revision\" is given twice; keep one",
        ),
        (
            "\"revision\": 7",
            "\"version\": 1, \"revision\": 7",
            "3:3: unknown key \"version\"; remove it or use one of: revision",
        ),
        (
            "\"revision\": 7",
            "\"revision\": [7]",
            "3:15: expected a whole number, found a list; write",
        ),
        (
            "\"revision\": 7,",
            "\"revision\": 7",
            "3:16: expected comma; write JSON",
        ),
        (
            "{ \"name\": \"zone-b\"",
            "{ \"name\": \"zone-a\"",
            "4:45: zone name \"zone-a\" is used twice; give",
        ),
        (
            "{ \"name\": \"zone-b\"",
            "{ \"name\": \"Zone\"",
            "4:45: name contains 'Z'; use the characters",
        ),
        (
            "\"name\": \"orders\"",
            "\"name\": \"\"",
            "7:15: name is empty; give it a name",
        ),
        (
            "\"class\": \"high\"",
            "\"class\": \"top\"",
            "8:16: \"top\" is not known here; use one of: high, normal, low",
        ),
        (
            "192.0.2.1:90",
            "192.0.2.1:80",
            "11:22: address 192.0.2.1:80 is used twice by service \"orders\"; keep",
        ),
        (
            "192.0.2.1:90",
            "::ffff:192.0.2.1",
            "11:22: \"::ffff:192.0.2.1\" is not an IP address with a port; write",
        ),
        (
            "192.0.2.2:80",
            "[::ffff:192.0.2.1]:80",
            "18:53: address [::ffff:192.0.2.1]:80 is used by services \"orders\" and \"gallery\"; give",
        ),
        (
            "192.0.2.2:80",
            "0.0.0.0:80",
            "18:53: 0.0.0.0:80 stands for every address and overlaps others; use",
        ),
        (
            "192.0.2.2:80",
            "192.0.2.2:0",
            "18:53: port is zero; use a port",
        ),
        (
            "192.0.2.2:80",
            "192.0.2.8:81",
            "15:74: address 192.0.2.8:81 of target \"t2\" is also an address of service \"gallery\"; use",
        ),
        (
            "192.0.2.8:80",
            "192.0.2.9:80",
            "15:51: address 192.0.2.9:80 is shared by targets \"t1\" and \"t2\"; give",
        ),
        (
            "\"udp\": \"192.0.2.8:81\"",
            "\"tcp\": \"192.0.2.8:81\"",
            "15:9: target has no udp address, which its service offers; add",
        ),
        (
            "\"zone\": \"zone-a\"",
            "\"zone\": \"zone-c\"",
            "14:33: availability zone \"zone-c\" is unknown; add",
        ),
        (
            "\"name\": \"t2\"",
            "\"name\": \"t1\"",
            "15:19: target name \"t1\" is used twice; give",
        ),
        (
            "\"slots\": 2",
            "\"slots\": 0",
            "14:99: value is zero; use a value from 1",
        ),
        (
            "\"slots\": 2",
            "\"slots\": 65536",
            "14:99: 65536 is over the range; use a value from 1 to 65535",
        ),
        (
            "\"slots\": 2",
            "\"slots\": 4294967296",
            "14:99: 4294967296 is not a whole number in range; use",
        ),
        (
            "\"connections\": 9",
            "\"connections\": 0",
            "14:117: value is zero; use a value from 1",
        ),
        (
            "\"class\": \"high\"",
            "\"flow_idle_seconds\": 0",
            "8:28: value is zero; use a value from 1",
        ),
        (
            "\"class\": \"high\"",
            "\"request_deadline_ms\": 600001",
            "8:30: 600001 is over the range; use",
        ),
        (
            "\"name\": \"gallery\"",
            "\"name\": \"orders\"",
            "18:15: service name \"orders\" is used twice; give",
        ),
        (
            "\"service\": \"orders\"",
            "\"service\": \"order\"",
            "20:26: service \"order\" of the rule is unknown; add",
        ),
        (
            "\"POST\"",
            "\"post\"",
            "20:46: not an HTTP method; write it in capital",
        ),
        (
            "\"/o\"",
            "\"o\"",
            "20:69: path prefix does not start with \"/\"; start",
        ),
    ];
    for (from, to, expected) in cases {
        let found = problems(from, to);
        assert!(
            found.iter().any(|problem| problem.starts_with(expected)),
            "{from} -> {to}: {found:#?}"
        );
    }
}

#[test]
fn name_length_is_bounded() {
    let name = |bytes| format!("\"name\": \"{}\"", "g".repeat(bytes));
    let valid = VALID.replace("\"name\": \"gallery\"", &name(63));
    assert!(parse::register(&valid).is_ok());
    let found = problems("\"name\": \"gallery\"", &name(64));
    assert_eq!(found, ["18:15: name has 64 bytes; use 63 bytes or less"]);
}

/// Guards against a reader that stops at the first problem.
#[test]
fn all_problems_are_reported_in_order() {
    let text = VALID
        .replace("\"slots\": 2", "\"slots\": 0")
        .replace("\"revision\": 7", "\"revison\": 1, \"revision\": 0");
    let error = parse::register(&text).expect_err("is refused");
    let lines: Vec<usize> = error.problems.iter().map(|problem| problem.line).collect();
    assert_eq!(lines, [3, 3, 14, 15]);
}

/// Guards against undetected names with the same identifier. The search is tested directly, because
/// no two names with the same hash are known.
#[test]
fn collisions_are_found() {
    let mut found = Vec::new();
    validate::for_each_collision([(1, "a"), (2, "b"), (1, "c")], |new, old| {
        found.push((new, old))
    });
    assert_eq!(found, [("c", "a")]);
}

/// Guards against rejecting a document at the size limit of the platform, and against accepting one
/// above it.
#[test]
fn large_register_is_read() {
    let mut text = String::from(r#"{"revision":1,"zones":[{"name":"z"}],"services":["#);
    let mut count = 0u32;
    while text.len() < parse::MAX_BYTES - 512 {
        let (high, low) = (count / 250, count % 250);
        let comma = if count == 0 { "" } else { "," };
        write!(
            text,
            r#"{comma}{{"name":"s{count}","addresses":[{{"address":"10.0.{high}.{low}:80","protocol":"udp"}}],"targets":[{{"name":"t","zone":"z","udp":"10.1.{high}.{low}:80","slots":1,"connections":1}}]}}"#
        )
        .expect("writes to a string");
        count += 1;
    }
    text.push_str("]}");
    let register = parse::register(&text).expect("valid");
    assert_eq!(register.services.len(), count as usize);
    let error = parse::register(&text.replace("\"slots\":1", "\"slots\":0")).expect_err("zero");
    assert_eq!(error.problems.len(), count as usize);
    let too_long = format!("{text}{}", " ".repeat(parse::MAX_BYTES));
    let error = parse::register(&too_long).expect_err("over the limit");
    assert!(error.problems[0].remedy.contains("1048576 bytes"));
}
