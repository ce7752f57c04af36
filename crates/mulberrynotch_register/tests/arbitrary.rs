//! Property tests of the parsers with arbitrary and corrupted documents.

use mulberrynotch_register::parse;
use quickcheck::{
    Gen,
    QuickCheck, //
};

const REGISTER: &str = include_str!("../../../examples/register.jsonc");
const SETTINGS: &str = include_str!("../../../examples/settings.jsonc");

fn parse_both(text: &str) {
    for error in [parse::register(text).err(), parse::settings(text).err()]
        .into_iter()
        .flatten()
    {
        assert!(!error.problems.is_empty(), "rejected without a problem");
    }
}

/// Guards against a panic on bytes that are not JSON.
#[test]
fn arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        parse_both(&String::from_utf8_lossy(&bytes));
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

/// Guards against a panic on a valid document with one corrupted span, which the tokenizer may
/// still accept.
#[test]
fn damaged_documents_never_panic() {
    fn property(position: usize, length: u8, insert: String) -> bool {
        for document in [REGISTER, SETTINGS] {
            let mut bytes = document.as_bytes().to_vec();
            let start = position % bytes.len();
            let end = (start + usize::from(length)).min(bytes.len());
            bytes.splice(start..end, insert.bytes());
            parse_both(&String::from_utf8_lossy(&bytes));
        }
        true
    }
    check(property as fn(usize, u8, String) -> bool);
}

/// Guards against a stack overflow on deeply nested documents.
#[test]
fn deep_nesting_is_refused() {
    for open in ["[", "{\"a\":"] {
        parse_both(&open.repeat(200_000));
    }
}

fn check<A: quickcheck::Testable>(property: A) {
    const SEED: u64 = 0x6d75_6c62;
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(256, SEED))
        .tests(2_000)
        .quickcheck(property);
}
