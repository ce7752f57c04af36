//! A control machine with simulated peers that answer immediately and agree with its view.

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

/// Interval between two ticks of the machine.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);

/// A control machine and its simulated peers.
pub struct Peers {
    /// The control machine under test.
    pub machine: Machine,
    /// Current machine time.
    pub now: Duration,
    members: Vec<Member>,
    index_by_address: HashMap<SocketAddr, usize>,
    register: Arc<model::Register>,
    summary: Option<Summary>,
}

impl Peers {
    /// Starts a machine that knows all members, and runs it until `time`.
    pub fn new(members: Vec<Member>, register: Arc<model::Register>, time: Duration) -> Self {
        let me = members[0].clone();
        let seeds = members.iter().skip(1).take(3).map(|member| member.peer);
        let config = Config {
            me: me.clone(),
            seeds: seeds.collect(),
        };
        let index_by_address = members.iter().enumerate();
        let mut peers = Self {
            machine: Machine::new(config, 1),
            now: Duration::ZERO,
            index_by_address: index_by_address.map(|(index, m)| (m.peer, index)).collect(),
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

    /// Runs one tick and handles the answers of the peers.
    pub fn step(&mut self) {
        self.now += TICK_PERIOD;
        self.machine.tick(self.now);
        self.execute_actions();
    }

    /// Returns a heartbeat of the peer with this index.
    ///
    /// # Panics
    ///
    /// Panics when the machine has not sent a heartbeat yet.
    pub fn ping(&self, index: usize) -> Message {
        Message::Ping {
            sequence: 7,
            sender: self.members[index].clone(),
            summary: self.summary.expect("the machine has sent a heartbeat"),
            updates: Vec::new(),
        }
    }

    /// Passes a message of the peer with this index to the machine, and discards the actions.
    pub fn receive(&mut self, index: usize, message: Message) {
        let (name, address) = (self.members[index].name.clone(), self.members[index].peer);
        self.machine.receive(self.now, &name, address, message);
        while self.machine.poll().is_some() {}
    }

    /// Executes all pending actions of the machine and passes it the answers.
    pub fn execute_actions(&mut self) {
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
        let Some(peer) = self
            .index_by_address
            .get(&to)
            .map(|&index| &self.members[index])
        else {
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
