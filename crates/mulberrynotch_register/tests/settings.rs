//! Tests the parsing and validation of settings.

use mulberrynotch_register::{
    parse,
    settings, //
};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";

const VALID: &str = r#"{
  "name": "vm-1",
  "zone": "zone-a",
  "ingress": { "mode": "proxy", "address": "192.0.2.1:80", "return_address": "192.0.2.2:81" },
  "peer_address": "192.0.2.1:7000",
  "platform_address": "192.0.2.3:80",
  "admin_address": "127.0.0.1:7001",
  "seeds": ["192.0.2.1:7000", "192.0.2.4:7000"],
  "secrets": [{ "id": 1, "key_hex": "KEY" }],
  "limits": { "drain_seconds": 5 },
}"#;

fn valid() -> String {
    VALID.replace("KEY", KEY)
}

#[test]
fn valid_settings_are_read_completely() {
    let settings = parse::settings(&valid()).expect("valid");
    assert_eq!(settings.limits.drain_seconds, 5);
    assert_eq!(settings.limits.max_requests, 2_048);
    assert_eq!(settings.log_level, settings::Level::Info);
    assert_eq!(settings.seeds.len(), 2);
    let key = settings.secrets[0].key().expect("hexadecimal");
    assert_eq!((key[0], key[1], key[31]), (0x00, 0x11, 0xff));
}

/// Guards against rules that are not checked, or whose violations are reported at a wrong position
/// or without a remedy.
#[test]
fn each_fault_has_position_and_remedy() {
    let cases = [
        (
            "\"zone-a\"",
            "\"zone a\"",
            "3:11: name contains ' '; use the characters",
        ),
        (
            "\"proxy\"",
            "\"tunnel\"",
            "4:24: \"tunnel\" is not known here; use one of: direct, proxy",
        ),
        (
            "\"proxy\"",
            "\"direct\"",
            "4:34: unknown key \"address\"; remove it",
        ),
        (
            "\"192.0.2.1:80\"",
            "\"192.0.2.1:7000\"",
            "4:44: address 192.0.2.1:7000 is also that of \"peer_address\"; use a different",
        ),
        (
            "\"192.0.2.1:80\"",
            "\"0.0.0.0:80\"",
            "4:44: 0.0.0.0:80 stands for every address and overlaps others; use",
        ),
        (
            "127.0.0.1:7001",
            "192.0.2.1:7001",
            "7:20: admin address 192.0.2.1:7001 is outside loopback; use a loopback address, or set",
        ),
        (
            "\"192.0.2.4:7000\"",
            "\"192.0.2.1:7000\"",
            "8:31: seed 192.0.2.1:7000 is listed twice; keep",
        ),
        (
            "\"192.0.2.4:7000\"",
            "\"127.0.0.1:7001\"",
            "8:31: seed 127.0.0.1:7001 is also the address of \"admin_address\"; list",
        ),
        (
            "[{ \"id\": 1, \"key_hex\": \"KEY\" }]",
            "[]",
            "9:14: no secret is given; add a secret",
        ),
        (
            "\"id\": 1",
            "\"id\": 256",
            "9:23: 256 is not a whole number in range; use a whole number from 0 to 255",
        ),
        (
            "[{ \"id\": 1,",
            "[{ \"id\": 1, \"key_hex\": \"KEY\" }, { \"id\": 1,",
            "9:115: secret id 1 is used twice; give",
        ),
        (
            "\"KEY\"",
            "\"0123\"",
            "9:37: secret is not 64 hexadecimal digits; generate",
        ),
        (
            "KEY",
            "éKEY",
            "9:37: secret is not 64 hexadecimal digits; generate",
        ),
        (
            "\"drain_seconds\": 5",
            "\"drain_seconds\": 0",
            "10:32: value is zero; use a value from 1 to 3600",
        ),
        (
            "\"drain_seconds\": 5",
            "\"control_bytes_per_second\": 9",
            "10:43: 9 is below the range; use a value from 512",
        ),
        (
            "\"drain_seconds\": 5",
            "\"max_flows\": 99999999",
            "10:28: 99999999 is over the range; use",
        ),
    ];
    for (from, to, expected) in cases {
        assert!(VALID.contains(from), "{from} is not part of the document");
        let text = VALID.replacen(from, to, 1).replace("KEY", KEY);
        let error = parse::settings(&text).expect_err("is refused");
        assert!(
            error
                .problems
                .iter()
                .any(|problem| problem.to_string().starts_with(expected)),
            "{from} -> {to}: {error}"
        );
    }
}

#[test]
fn public_admin_address_is_allowed_on_request() {
    let text = valid().replace(
        "127.0.0.1:7001\"",
        "192.0.2.1:7001\", \"admin_public\": true",
    );
    assert!(parse::settings(&text).is_ok());
}

/// Guards against secrets in logs, dumps and error messages.
#[test]
fn secrets_are_not_shown() {
    let settings = parse::settings(&valid()).expect("valid");
    let shown = format!(
        "{settings:?} {}",
        serde_json::to_string(&settings).expect("JSON")
    );
    assert!(!shown.contains(KEY));
    for broken in [
        "\"key_hex\": KEY",
        "\"key_hex\": \"KEYx\"",
        "\"key_hex\": \"KEY",
        "\"KEY\" \"\"",
    ] {
        let text = VALID
            .replace("\"key_hex\": \"KEY\"", broken)
            .replace("KEY", KEY);
        let error = parse::settings(&text).expect_err("is refused");
        assert!(!format!("{error} {error:?}").contains(&KEY[8..]), "{error}");
    }
}
