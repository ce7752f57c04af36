//! Detection of suspensions of the VM.

use std::time::Duration;

/// Shortest pause after which the register must be confirmed; shorter ones are scheduling delays.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Detects suspensions by comparing a clock that stops during them with one that does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    offset: Option<Duration>,
}

impl Detector {
    /// Returns the length of a pause since the last call. `steady` stops while the VM is suspended,
    /// `elapsed` does not; both have an arbitrary origin.
    pub fn observe(&mut self, steady: Duration, elapsed: Duration) -> Option<Duration> {
        let offset = elapsed.saturating_sub(steady);
        let pause = offset.saturating_sub(self.offset.unwrap_or(offset));
        self.offset = Some(offset);
        (pause >= MIN_PAUSE).then_some(pause)
    }
}
