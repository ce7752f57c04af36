//! Forwarding of client packets to targets, and resets back to clients.

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

/// Length of the target identifier in front of each packet to a target, in bytes.
const PREFIX_BYTES: usize = 8;

/// Packets handled in one batch; the actions that they cause are carried out after the batch.
const BATCH_PACKETS: usize = 32;

/// Delay before reading again after a socket error.
const ERROR_WAIT: Duration = Duration::from_millis(5);

/// Capacity of the hold queue in packets; when it is full, the oldest packet is dropped.
const MAX_HELD_PACKETS: usize = 1_024;

/// Longest time for which a packet is held; its sender has retransmitted it by then.
const MAX_HOLD_TIME: Duration = Duration::from_millis(400);

/// Packets held until the register is known, with their arrival times.
#[derive(Debug, Default)]
pub(super) struct HoldQueue(VecDeque<(Duration, Vec<u8>)>);

static PACKET_REFUSED: event::Limiter = event::Limiter::new();
static PACKET_UNSENT: event::Limiter = event::Limiter::new();

impl Node {
    /// Receives and forwards client packets for the lifetime of the process.
    pub(super) async fn forward(self: Arc<Self>) {
        // One byte larger than the largest packet, so that longer datagrams are detected.
        let mut buffer = vec![0; PREFIX_BYTES + self.platform.max_datagram_bytes + 1];
        loop {
            match self
                .packet_socket
                .recv_from(&mut buffer[PREFIX_BYTES..])
                .await
            {
                Ok((length, _)) => self.forward_batch(&mut buffer, length),
                Err(error) => {
                    event::warn("packet_receive_failed", &[("error", &error)]);
                    tokio::time::sleep(ERROR_WAIT).await;
                }
            }
        }
    }

    fn forward_batch(self: &Arc<Self>, buffer: &mut [u8], first_length: usize) {
        let now = self.now();
        self.last_packet_ms
            .store(core::millis(now), Ordering::Relaxed);
        let actions = {
            let mut machine = self.lock();
            self.handle_packet(
                &mut machine,
                now,
                &mut buffer[..PREFIX_BYTES + first_length],
            );
            for _ in 1..BATCH_PACKETS {
                let Ok((length, _)) = self
                    .packet_socket
                    .try_recv_from(&mut buffer[PREFIX_BYTES..])
                else {
                    break;
                };
                self.handle_packet(&mut machine, now, &mut buffer[..PREFIX_BYTES + length]);
            }
            machine.take_actions()
        };
        self.carry_out(now, actions);
    }

    fn handle_packet(&self, machine: &mut machine::Machine, now: Duration, buffer: &mut [u8]) {
        let packet = match (self.platform.decode)(&buffer[PREFIX_BYTES..]) {
            Ok(packet) => packet,
            Err(error) => {
                metrics::counter!("mulberrynotch_undecodable_packets_total").increment(1);
                let length = buffer.len() - PREFIX_BYTES;
                let fields: [event::Field<'_>; 2] = [("length", &length), ("error", &error)];
                PACKET_REFUSED.warn(now, "packet_refused", &fields);
                return;
            }
        };
        match machine.packet(now, &packet) {
            machine::Verdict::Forward { to, target, cookie } => {
                if let Some(cookie) = cookie {
                    (self.platform.write_cookie)(&mut buffer[PREFIX_BYTES..], cookie);
                }
                buffer[..PREFIX_BYTES].copy_from_slice(&target.0.to_be_bytes());
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
        let mut queue = self
            .hold_queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if queue.0.len() == MAX_HELD_PACKETS {
            queue.0.pop_front();
        }
        queue.0.push_back((now, buffer.to_vec()));
    }

    /// Forwards the held packets once the register is known.
    pub(super) fn release_held(&self, machine: &mut machine::Machine, now: Duration) {
        if machine.is_holding() {
            return;
        }
        let mut queue = self
            .hold_queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let waiting = std::mem::take(&mut queue.0);
        drop(queue);
        for (arrived, mut buffer) in waiting {
            if now.saturating_sub(arrived) < MAX_HOLD_TIME {
                self.handle_packet(machine, now, &mut buffer);
            }
        }
    }

    pub(super) fn send_reset(&self, now: Duration, flow: &packet::Flow, acknowledged: u32) {
        let port = self.settings.packet_address.port();
        let to = SocketAddrV4::new(*flow.client.ip(), port);
        self.send_packet(now, &(self.platform.encode_reset)(flow, acknowledged), to);
    }

    fn send_packet(&self, now: Duration, datagram: &[u8], to: SocketAddrV4) {
        let sent = self.packet_socket.try_send_to(datagram, SocketAddr::V4(to));
        if let Err(error) = sent {
            metrics::counter!("mulberrynotch_unsent_packets_total").increment(1);
            self.log_unsent(now, to, &error);
        }
    }

    fn log_unsent(&self, now: Duration, to: SocketAddrV4, error: &io::Error) {
        let fields: [event::Field<'_>; 2] = [("to", &to), ("error", error)];
        PACKET_UNSENT.warn(now, "packet_unsent", &fields);
    }
}
