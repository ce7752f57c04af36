//! Requests of the users: connection attempts, retransmission timers and replies.

use std::time::Duration;

use mulberrynotch_policy::rendezvous;
use mulberrynotch_steer::packet;

use super::{
    Event,
    Reply,
    World, //
};
use crate::emulator::{
    client::{
        ATTEMPTS,
        Phase, //
    },
    report::{
        Outcome,
        Request, //
    },
};

impl World {
    pub(super) fn start_request(&mut self, index: usize) {
        let now = self.now;
        let user = &mut self.users[index];
        user.started_at = now;
        user.attempts = 1;
        if user.open {
            user.number += 1;
            user.phase = Phase::Waiting(0);
        } else {
            user.replace_flow();
            user.phase = Phase::Opening(0);
        }
        self.send_current_packet(index);
    }

    /// Sends the packet for the user's state and schedules the next timer.
    fn send_current_packet(&mut self, index: usize) {
        let limit = Duration::from_millis(self.plan.limit_ms);
        let user = &mut self.users[index];
        user.timer_generation += 1;
        let (generation, zone) = (user.timer_generation, user.zone);
        let Some((packet, wait)) = user.next_packet() else {
            return;
        };
        let remaining = (user.started_at + limit).saturating_sub(self.now);
        self.send_packet(zone, packet);
        self.schedule(wait.min(remaining), Event::UserTimer(index, generation));
    }

    fn send_packet(&mut self, zone: usize, packet: packet::Packet) {
        let rotation = self.rotation(zone);
        let key = rendezvous::hash_address(packet.flow.client.into(), 1);
        let balancer = if self.plan.steady {
            let weight = |it: &usize| rendezvous::weight(key, u64::try_from(*it).unwrap_or(0));
            rotation.into_iter().max_by_key(weight)
        } else {
            let count = u64::try_from(rotation.len()).unwrap_or(0);
            let position = key
                .checked_rem(count)
                .and_then(|it| usize::try_from(it).ok());
            position.and_then(|it| rotation.get(it).copied())
        };
        let delay = self.links.client_delay();
        if let (Some(balancer), Some(delay)) = (balancer, delay) {
            self.schedule(delay, Event::Packet(balancer, packet));
        }
    }

    pub(super) fn handle_user_timer(&mut self, index: usize, generation: u64) {
        let limit = Duration::from_millis(self.plan.limit_ms);
        let user = &mut self.users[index];
        if user.timer_generation != generation {
            return;
        }
        if self.now >= user.started_at + limit {
            user.open = false;
            return self.finish_request(index, Outcome::Failed);
        }
        match user.phase {
            Phase::Opening(2) => return self.retry_request(index),
            Phase::Opening(copies) => user.phase = Phase::Opening(copies + 1),
            Phase::Waiting(retransmissions) => user.phase = Phase::Waiting(retransmissions + 1),
            Phase::Idle => return,
        }
        self.send_current_packet(index);
    }

    /// Starts another attempt on a new flow, or fails the request when attempts or time run out.
    fn retry_request(&mut self, index: usize) {
        let limit = Duration::from_millis(self.plan.limit_ms);
        let user = &mut self.users[index];
        user.replace_flow();
        if user.attempts >= ATTEMPTS || self.now >= user.started_at + limit {
            return self.finish_request(index, Outcome::Failed);
        }
        user.attempts += 1;
        user.phase = Phase::Opening(0);
        self.send_current_packet(index);
    }

    fn finish_request(&mut self, index: usize, outcome: Outcome) {
        let user = &mut self.users[index];
        user.phase = Phase::Idle;
        user.timer_generation += 1;
        let (started_at, latency) = (user.started_at, self.now - user.started_at);
        self.report.requests.push(Request {
            started_at,
            latency,
            outcome,
        });
        let mean = self.plan.pause_ms / self.pause_factor.max(1);
        let pause = Duration::from_millis(mean / 2 + self.random.below(mean + 1));
        self.schedule(pause, Event::StartRequest(index));
    }

    pub(super) fn handle_reply(&mut self, index: usize, flow: packet::Flow, reply: Reply) {
        let user = &mut self.users[index];
        if user.flow != flow {
            return;
        }
        match (reply, user.phase) {
            (Reply::Opened(cookie), Phase::Opening(_)) => {
                user.open = true;
                user.cookie = cookie;
                user.number = 1;
                user.phase = Phase::Waiting(0);
                self.send_current_packet(index);
            }
            (Reply::Answer(number), Phase::Waiting(_)) if number == user.number => {
                self.handle_answer(index);
            }
            (Reply::Shed(number), Phase::Waiting(_)) if number == user.number => {
                self.retry_request(index);
            }
            (Reply::Reset | Reply::Closed, Phase::Idle) => user.open = false,
            (Reply::Reset, _) => self.retry_request(index),
            _ => {}
        }
    }

    fn handle_answer(&mut self, index: usize) {
        let aim = Duration::from_millis(self.plan.aim_ms);
        let user = &mut self.users[index];
        let zone = user.zone;
        let acknowledgement = user.acknowledgement_packet(user.number);
        let finish = (!user.long_lived).then(|| user.finish_packet());
        user.open = user.long_lived;
        let latency = self.now - user.started_at;
        self.send_packet(zone, acknowledgement);
        if let Some(finish) = finish {
            self.send_packet(zone, finish);
        }
        let outcome = if latency <= aim {
            Outcome::InAim
        } else {
            Outcome::Late
        };
        self.finish_request(index, outcome);
    }
}
