//! One control machine whose peers answer at once with the same view.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::control::{
    Action,
    Config,
    Machine,
    Response, //
};
use mulberrynotch_register::model;
use mulberrynotch_wire::control::{
    Member,
    Message,
    Summary, //
};

/// Interval between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// A machine and its peers.
pub struct Peers {
    /// The machine.
    pub machine: Machine,
    /// Time that the machine was last given.
    pub now: Duration,
    members: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    register: Arc<model::Register>,
    summary: Option<Summary>,
}

impl Peers {
    /// Starts a machine that knows all members, and runs it for `time`.
    pub fn new(members: Vec<Member>, register: Arc<model::Register>, time: Duration) -> Self {
        let me = members[0].clone();
        let seeds = members.iter().skip(1).take(3).map(|member| member.peer);
        let config = Config {
            me: me.clone(),
            seeds: seeds.collect(),
        };
        let by_address = members.iter().enumerate();
        let mut peers = Self {
            machine: Machine::new(config, 1),
            now: Duration::ZERO,
            by_address: by_address.map(|(index, m)| (m.peer, index)).collect(),
            members,
            register,
            summary: None,
        };
        let entries = Message::Entries {
            members: peers.members.clone(),
        };
        let (name, address) = (peers.members[1].name.clone(), peers.members[1].peer);
        peers.machine.receive(peers.now, &name, address, entries);
        let register = Response::Register(peers.register.clone());
        peers.machine.handle_response(peers.now, register);
        while peers.now < time {
            peers.step();
        }
        peers
    }

    /// Runs one tick and what the peers answer to it.
    pub fn step(&mut self) {
        self.now += TICK;
        self.machine.tick(self.now);
        self.answer();
    }

    /// Heartbeat of the peer with this number.
    pub fn ping(&self, index: usize) -> Message {
        Message::Ping {
            sequence: 7,
            sender: self.members[index].clone(),
            summary: self.summary.expect("the machine has sent a heartbeat"),
            updates: Vec::new(),
        }
    }

    /// Hands the machine a message of the peer with this number, and drops the answers.
    pub fn receive(&mut self, index: usize, message: Message) {
        let (name, address) = (self.members[index].name.clone(), self.members[index].peer);
        self.machine.receive(self.now, &name, address, message);
        while self.machine.poll().is_some() {}
    }

    /// Carries out all actions.
    pub fn answer(&mut self) {
        while let Some(action) = self.machine.poll() {
            match action {
                Action::Send { to, message, .. } => self.deliver(to, message),
                Action::ReadRegister => {
                    let answer = Response::Register(self.register.clone());
                    self.machine.handle_response(self.now, answer);
                }
                Action::ReadMembers => {
                    let answer = Response::Members(self.members.clone());
                    self.machine.handle_response(self.now, answer);
                }
                Action::FetchSnapshot { .. } => {
                    let answer = Response::Snapshot(self.register.clone());
                    self.machine.handle_response(self.now, answer);
                }
                Action::WatchRegister { .. } | Action::FetchMembers { .. } | Action::Log(_) => {}
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: Message) {
        let Some(peer) = self.by_address.get(&to).map(|&index| &self.members[index]) else {
            return;
        };
        let answer = match message {
            Message::Ping {
                sequence, summary, ..
            } => {
                self.summary = Some(summary);
                Message::Ack {
                    sequence,
                    sender: peer.clone(),
                    summary,
                    updates: Vec::new(),
                }
            }
            Message::Confirm { nonce, have } => Message::Confirmed {
                nonce,
                version: have,
            },
            _ => return,
        };
        let name = peer.name.clone();
        self.machine.receive(self.now, &name, to, answer);
    }
}
