//! A simulated user: sends one request at a time, on a long-lived flow or on a new flow for each
//! request.

use std::time::Duration;

use mulberrynotch_steer::{
    cookie,
    packet, //
};

/// Waits after the opening packet and after each of its copies, in milliseconds; the attempt fails
/// after the last one.
const OPENING_TIMEOUTS_MS: [u64; 3] = [200, 400, 800];

/// Wait before the first retransmission of a request; each further wait doubles, up to 1.6 s.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Connection attempts for each request, including the first.
pub(super) const ATTEMPTS: u32 = 3;

/// State of a user's current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request is in progress.
    Idle,
    /// The flow is being opened; the value counts the copies of the opening packet.
    Opening(u32),
    /// A request awaits its answer; the value counts its retransmissions.
    Waiting(u32),
}

/// A user and its current flow.
#[derive(Debug)]
pub(super) struct User {
    pub(super) zone: usize,
    pub(super) long_lived: bool,
    pub(super) phase: Phase,
    pub(super) flow: packet::Flow,
    pub(super) open: bool,
    pub(super) cookie: u32,
    /// Number of the request on the flow, from which its sequence number is computed.
    pub(super) number: u32,
    pub(super) started_at: Duration,
    pub(super) attempts: u32,
    /// Incremented when the state changes, so that timers of earlier states are ignored.
    pub(super) timer_generation: u64,
}

/// Length of a request and of its answer.
const MESSAGE_BYTES: u16 = 500;

impl User {
    pub(super) fn new(zone: usize, long_lived: bool, flow: packet::Flow) -> Self {
        Self {
            zone,
            long_lived,
            phase: Phase::Idle,
            flow,
            open: false,
            cookie: cookie::NONE,
            number: 0,
            started_at: Duration::ZERO,
            attempts: 0,
            timer_generation: 0,
        }
    }

    /// Replaces the flow by one from the next client port.
    pub(super) fn replace_flow(&mut self) {
        let port = self.flow.client.port();
        let next = if port >= 60_000 { 1_024 } else { port + 1 };
        self.flow.client.set_port(next);
        self.open = false;
        self.cookie = cookie::NONE;
        self.number = 0;
    }

    /// Returns the packet to send in the current state, and the time until the next timer.
    pub(super) fn next_packet(&self) -> Option<(packet::Packet, Duration)> {
        match self.phase {
            Phase::Idle => None,
            Phase::Opening(copies) => {
                let index = usize::try_from(copies).unwrap_or(usize::MAX);
                let wait = *OPENING_TIMEOUTS_MS.get(index)?;
                Some((self.opening_packet(copies), Duration::from_millis(wait)))
            }
            Phase::Waiting(retransmissions) => Some((
                self.request_packet(),
                RETRANSMIT_TIMEOUT * (1 << retransmissions.min(3)),
            )),
        }
    }

    fn opening_packet(&self, copies: u32) -> packet::Packet {
        packet::Packet {
            flags: packet::Flags {
                open: true,
                ..no_flags()
            },
            cookie: cookie::NONE,
            acknowledged: copies,
            ..self.acknowledgement_packet(0)
        }
    }

    fn request_packet(&self) -> packet::Packet {
        packet::Packet {
            length: MESSAGE_BYTES,
            ..self.acknowledgement_packet(self.number.saturating_sub(1))
        }
    }

    /// Returns a packet without data that acknowledges `answers` answers.
    pub(super) fn acknowledgement_packet(&self, answers: u32) -> packet::Packet {
        packet::Packet {
            flow: self.flow,
            flags: packet::Flags {
                ack: true,
                ..no_flags()
            },
            cookie: self.cookie,
            sequence: self.number.saturating_sub(1) * u32::from(MESSAGE_BYTES),
            acknowledged: 1 + answers * u32::from(MESSAGE_BYTES),
            length: 0,
        }
    }

    /// Returns the packet that closes the flow.
    pub(super) fn finish_packet(&self) -> packet::Packet {
        let mut packet = self.acknowledgement_packet(self.number);
        packet.flags.finish = true;
        packet
    }
}

fn no_flags() -> packet::Flags {
    packet::Flags {
        open: false,
        ack: false,
        finish: false,
        reset: false,
    }
}
