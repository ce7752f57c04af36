//! Packets of clients: in, and on to targets or back as a reset.

use std::{
    collections::VecDeque,
    io,
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    sync::{
        Arc,
        PoisonError,
        atomic::Ordering, //
    },
    time::Duration, //
};

use mulberrynotch_steer::{
    machine,
    packet, //
};

use super::Node;
use crate::{
    core,
    event, //
};

/// Bytes in front of a packet to a target that name the target.
const PREFIX: usize = 8;

/// Packets handled before the actions that they cause are carried out.
const BATCH: usize = 32;

/// Pause after an error of the socket.
const ERROR_WAIT: Duration = Duration::from_millis(5);

/// Packets that wait for the register at most; further ones are dropped, oldest first.
const MAX_HELD: usize = 1_024;

/// Longest wait of a packet for the register; its sender has sent it again by then.
const LONGEST_HOLD: Duration = Duration::from_millis(400);

/// Packets that wait for the register, with the times of their arrival.
#[derive(Debug, Default)]
pub(super) struct Held(VecDeque<(Duration, Vec<u8>)>);

static MALFORMED: event::Limiter = event::Limiter::new();
static SEND_FAILED: event::Limiter = event::Limiter::new();

impl Node {
    /// Handles packets as long as the process runs.
    pub(super) async fn forward(self: Arc<Self>) {
        // One byte more than the longest packet, so that a longer one is noticed.
        let mut buffer = vec![0; PREFIX + self.platform.max_datagram_bytes + 1];
        loop {
            match self.packets.recv_from(&mut buffer[PREFIX..]).await {
                Ok((length, _)) => self.forward_batch(&mut buffer, length),
                Err(error) => {
                    event::warn("packet_receive_failed", &[("error", &error)]);
                    tokio::time::sleep(ERROR_WAIT).await;
                }
            }
        }
    }

    fn forward_batch(self: &Arc<Self>, buffer: &mut [u8], first: usize) {
        let now = self.now();
        self.last_packet_ms
            .store(core::millis(now), Ordering::Relaxed);
        let actions = {
            let mut machine = self.lock();
            self.forward_one(&mut machine, now, &mut buffer[..PREFIX + first]);
            for _ in 1..BATCH {
                let Ok((length, _)) = self.packets.try_recv_from(&mut buffer[PREFIX..]) else {
                    break;
                };
                self.forward_one(&mut machine, now, &mut buffer[..PREFIX + length]);
            }
            machine.take_actions()
        };
        self.carry_out(now, actions);
    }

    fn forward_one(&self, machine: &mut machine::Machine, now: Duration, buffer: &mut [u8]) {
        let packet = match (self.platform.decode)(&buffer[PREFIX..]) {
            Ok(packet) => packet,
            Err(error) => {
                metrics::counter!("mulberrynotch_undecodable_packets_total").increment(1);
                let length = buffer.len() - PREFIX;
                let fields: [event::Field<'_>; 2] = [("length", &length), ("error", &error)];
                MALFORMED.warn(now, "packet_refused", &fields);
                return;
            }
        };
        match machine.packet(now, &packet) {
            machine::Verdict::Forward { to, target, cookie } => {
                if let Some(cookie) = cookie {
                    (self.platform.write_cookie)(&mut buffer[PREFIX..], cookie);
                }
                buffer[..PREFIX].copy_from_slice(&target.0.to_be_bytes());
                self.send_packet(now, buffer, to);
            }
            machine::Verdict::Reset => {
                self.send_reset(now, &packet.flow, packet.acknowledged);
            }
            machine::Verdict::Hold => self.hold(now, buffer),
            machine::Verdict::Drop => {}
        }
    }

    fn hold(&self, now: Duration, buffer: &[u8]) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.0.len() == MAX_HELD {
            held.0.pop_front();
        }
        held.0.push_back((now, buffer.to_vec()));
    }

    /// Forwards the packets that waited for the register, once it is known.
    pub(super) fn release(&self, machine: &mut machine::Machine, now: Duration) {
        if machine.is_holding() {
            return;
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let waiting = std::mem::take(&mut held.0);
        drop(held);
        for (arrived, mut buffer) in waiting {
            if now.saturating_sub(arrived) < LONGEST_HOLD {
                self.forward_one(machine, now, &mut buffer);
            }
        }
    }

    pub(super) fn send_reset(&self, now: Duration, flow: &packet::Flow, acknowledged: u32) {
        let port = self.settings.packet_address.port();
        let to = SocketAddrV4::new(*flow.client.ip(), port);
        self.send_packet(now, &(self.platform.encode_reset)(flow, acknowledged), to);
    }

    fn send_packet(&self, now: Duration, datagram: &[u8], to: SocketAddrV4) {
        let sent = self.packets.try_send_to(datagram, SocketAddr::V4(to));
        if let Err(error) = sent {
            metrics::counter!("mulberrynotch_unsent_packets_total").increment(1);
            self.log_unsent(now, to, &error);
        }
    }

    fn log_unsent(&self, now: Duration, to: SocketAddrV4, error: &io::Error) {
        let fields: [event::Field<'_>; 2] = [("to", &to), ("error", error)];
        SEND_FAILED.warn(now, "packet_unsent", &fields);
    }
}
