//! Creation time of idempotency keys that are UUIDs of version 7.

use std::time::Duration;

/// Returns the creation time of the key in an `Idempotency-Key` header, on the clock of the
/// process.
///
/// `unix_now` is the time since the Unix epoch at `now`. Returns `None` if the key is not a UUID of
/// version 7 or is older than the process.
pub fn created_at(header: &str, now: Duration, unix_now: Duration) -> Option<Duration> {
    let text = header.trim().trim_matches('"');
    let created = Duration::from_millis(unix_ms(text.as_bytes())?);
    (now + created).checked_sub(unix_now)
}

/// Returns the milliseconds since the Unix epoch in a UUID of version 7.
fn unix_ms(text: &[u8]) -> Option<u64> {
    let is_uuid = text.len() == 36
        && text.iter().enumerate().all(|(index, byte)| match index {
            8 | 13 | 18 | 23 => *byte == b'-',
            14 => *byte == b'7',
            19 => matches!(byte, b'8' | b'9' | b'a' | b'b' | b'A' | b'B'),
            _ => byte.is_ascii_hexdigit(),
        });
    let digits = text.iter().filter(|byte| **byte != b'-').take(12);
    is_uuid.then(|| {
        digits.fold(0, |value, digit| {
            let digit = char::from(*digit).to_digit(16).unwrap_or(0);
            value << 4 | u64::from(digit)
        })
    })
}
