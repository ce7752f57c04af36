//! Users: their requests, attempts and timers.

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
        End,
        Request, //
    },
};

impl World {
    pub(super) fn user_begins(&mut self, index: usize) {
        let now = self.now;
        let user = &mut self.users[index];
        user.began = now;
        user.attempts = 1;
        if user.open {
            user.number += 1;
            user.phase = Phase::Waiting(0);
        } else {
            user.renew();
            user.phase = Phase::Opening(0);
        }
        self.send_step(index);
    }

    /// Sends the packet of the user's phase, and sets the timer for the next step.
    fn send_step(&mut self, index: usize) {
        let limit = Duration::from_millis(self.plan.limit_ms);
        let user = &mut self.users[index];
        user.turn += 1;
        let (turn, zone) = (user.turn, user.zone);
        let Some((packet, wait)) = user.packet() else {
            return;
        };
        let left = (user.began + limit).saturating_sub(self.now);
        self.send_packet(zone, packet);
        self.at(wait.min(left), Event::UserTimer(index, turn));
    }

    fn send_packet(&mut self, zone: usize, packet: packet::Packet) {
        let rotation = self.rotation(zone);
        let key = rendezvous::hash_address(packet.flow.client.into(), 1);
        let chosen = if self.plan.steady {
            let weight = |it: &usize| rendezvous::weight(key, u64::try_from(*it).unwrap_or(0));
            rotation.into_iter().max_by_key(weight)
        } else {
            let count = u64::try_from(rotation.len()).unwrap_or(0);
            let place = key
                .checked_rem(count)
                .and_then(|it| usize::try_from(it).ok());
            place.and_then(|it| rotation.get(it).copied())
        };
        let delay = self.links.client();
        if let (Some(balancer), Some(delay)) = (chosen, delay) {
            self.at(delay, Event::Packet(balancer, packet));
        }
    }

    pub(super) fn user_timer(&mut self, index: usize, turn: u64) {
        let limit = Duration::from_millis(self.plan.limit_ms);
        let user = &mut self.users[index];
        if user.turn != turn {
            return;
        }
        if self.now >= user.began + limit {
            user.open = false;
            return self.end_request(index, End::Failed);
        }
        match user.phase {
            Phase::Opening(2) => return self.end_attempt(index),
            Phase::Opening(copies) => user.phase = Phase::Opening(copies + 1),
            Phase::Waiting(sent) => user.phase = Phase::Waiting(sent + 1),
            Phase::Idle => return,
        }
        self.send_step(index);
    }

    /// The attempt failed; there may be another one, on a new flow.
    fn end_attempt(&mut self, index: usize) {
        let limit = Duration::from_millis(self.plan.limit_ms);
        let user = &mut self.users[index];
        user.renew();
        if user.attempts >= ATTEMPTS || self.now >= user.began + limit {
            return self.end_request(index, End::Failed);
        }
        user.attempts += 1;
        user.phase = Phase::Opening(0);
        self.send_step(index);
    }

    fn end_request(&mut self, index: usize, end: End) {
        let user = &mut self.users[index];
        user.phase = Phase::Idle;
        user.turn += 1;
        let (began, took) = (user.began, self.now - user.began);
        self.report.requests.push(Request { began, took, end });
        let mean = self.plan.pause_ms / self.pause_factor.max(1);
        let pause = Duration::from_millis(mean / 2 + self.random.below(mean + 1));
        self.at(pause, Event::UserBegins(index));
    }

    pub(super) fn take_reply(&mut self, index: usize, flow: packet::Flow, reply: Reply) {
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
                self.send_step(index);
            }
            (Reply::Answer(number), Phase::Waiting(_)) if number == user.number => {
                self.take_answer(index);
            }
            (Reply::Shed(number), Phase::Waiting(_)) if number == user.number => {
                self.end_attempt(index);
            }
            (Reply::Reset | Reply::Closed, Phase::Idle) => user.open = false,
            (Reply::Reset, _) => self.end_attempt(index),
            _ => {}
        }
    }

    fn take_answer(&mut self, index: usize) {
        let aim = Duration::from_millis(self.plan.aim_ms);
        let user = &mut self.users[index];
        let zone = user.zone;
        let acknowledgement = user.acknowledgement(user.number);
        let last = (!user.long).then(|| user.finish());
        user.open = user.long;
        let took = self.now - user.began;
        self.send_packet(zone, acknowledgement);
        if let Some(last) = last {
            self.send_packet(zone, last);
        }
        let end = if took <= aim { End::InAim } else { End::Late };
        self.end_request(index, end);
    }
}
