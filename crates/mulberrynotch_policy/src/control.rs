//! State machine for the membership and configuration of one process.
//!
//! The driver passes in messages, platform responses and ticks, and carries out the actions that
//! [`Machine::poll`] returns.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_register::model;
use mulberrynotch_wire::control;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};

use crate::{
    budget,
    view, //
};

mod calls;
mod configuration;
mod contact;
mod dissemination;
mod heartbeat;
mod join;
mod refresh;
mod sample;
mod status;
mod table;
mod transfer;
mod vacancy;

pub use calls::WATCH_WAIT;
pub use status::{
    Counters,
    Refusal,
    Status, //
};

mulberrynotch_macros::data! {
    /// Settings of a [`Machine`].
    pub struct Config {
        /// Member entry of the local process.
        pub me: control::Member,
        /// Peer addresses that are contacted first.
        pub seeds: Vec<SocketAddr>,
    }

    /// Work for the driver.
    pub enum Action {
        /// Sends a message to a peer.
        Send {
            /// Address of the peer.
            to: SocketAddr,
            /// Priority in the control budget.
            priority: budget::Priority,
            /// Message to send.
            message: control::Message,
        },
        /// Reads the register from the platform once.
        ReadRegister,
        /// Waits up to [`WATCH_WAIT`] for the platform to return a register above a revision.
        WatchRegister {
            /// Highest revision held, or refused as invalid.
            above: u64,
        },
        /// Reads the list of VMs from the platform.
        ReadMembers,
        /// Fetches the whole register from a peer over TCP.
        FetchSnapshot {
            /// Address of the peer.
            from: SocketAddr,
        },
        /// Fetches the member entries that this process lacks from a peer over TCP.
        FetchMembers {
            /// Address of the peer.
            from: SocketAddr,
            /// Member entry of the local process.
            sender: control::Member,
            /// Hashes of the entries already held.
            held: Vec<[u8; 4]>,
        },
        /// Writes an event to the log.
        Log(Event),
    }

    /// Event for the log and the counters.
    pub enum Event {
        /// A register came into effect.
        Accepted {
            /// Revision of the register.
            revision: u64,
        },
        /// A register was refused.
        Rejected {
            /// Revision of the register.
            revision: u64,
            /// Reason for the refusal and how to resolve it.
            reason: String,
        },
        /// A member changed its state.
        Member {
            /// Name of the member.
            name: Arc<str>,
            /// New state of the member.
            state: control::State,
        },
        /// A zone became unreachable or reachable again.
        Zone {
            /// Name of the zone.
            name: Arc<str>,
            /// True when the zone is reachable again and accepts new work.
            reachable: bool,
        },
        /// The process resumed after a pause.
        Paused {
            /// Length of the pause.
            length: Duration,
        },
    }

    /// Result of a platform call or of a fetch from a peer.
    pub enum Response {
        /// Parsed and validated register of the platform.
        Register(Arc<model::Register>),
        /// Register that failed validation.
        Invalid {
            /// Revision of the register; 0 when unknown.
            revision: u64,
            /// Reason for the refusal and how to resolve it.
            reason: String,
        },
        /// The watch ended without a change.
        Unchanged {
            /// Revision that the platform has; `None` if it does not say.
            published: Option<u64>,
        },
        /// Live and leaving VMs in the platform's list.
        Members(Vec<control::Member>),
        /// A read or watch of the register failed.
        RegisterFailed,
        /// A read of the list of VMs failed.
        MembersFailed,
        /// Validated register of a peer, for [`Action::FetchSnapshot`].
        Snapshot(Arc<model::Register>),
        /// [`Action::FetchSnapshot`] failed.
        SnapshotFailed,
        /// Member entries of a peer, for [`Action::FetchMembers`].
        Entries(Vec<control::Member>),
        /// [`Action::FetchMembers`] failed.
        EntriesFailed,
    }
}

/// State machine for the membership and configuration of one process.
#[derive(Debug)]
pub struct Machine {
    config: Config,
    rng: ChaCha8Rng,
    actions: VecDeque<Action>,
    table: table::Table,
    updates: dissemination::Updates,
    transfer: transfer::Transfer,
    heartbeat: heartbeat::Heartbeat,
    configuration: configuration::Configuration,
    calls: calls::Calls,
    contact: contact::Contact,
    counters: Counters,
    view: Arc<view::View>,
    /// The members or the register changed, so the view has to be rebuilt.
    view_stale: bool,
    /// Only the confirmation, reachability or vacancy flags of the view changed.
    flags_stale: bool,
    started_at: Duration,
    running: bool,
    last_run: Duration,
    /// False until this process has caught up with the revision and members of its peers.
    joined: bool,
    /// True once this process has introduced itself to other joining processes, which count it as a
    /// member from then on.
    introduced: bool,
    next_introduction: Duration,
    /// True once this process has announced its own end.
    has_left: bool,
    /// Version and register that the next push starts from.
    unpushed: Option<(control::Version, Arc<model::Register>)>,
    /// The last heartbeat carried a member digest other than the local one.
    digest_differs: bool,
    /// This process is a reader of its zone.
    is_reader: bool,
    /// Zones of live members, without the local zone.
    other_zones: BTreeSet<Arc<str>>,
}

impl Machine {
    /// Creates a machine with an empty register and no peers; `seed` drives all random choices.
    pub fn new(config: Config, seed: u64) -> Self {
        let register = Arc::new(model::Register::empty());
        let view = view::View::new(&config.me, register, Vec::new(), false);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            actions: VecDeque::new(),
            table: table::Table::new(&config.me),
            updates: dissemination::Updates::default(),
            transfer: transfer::Transfer::default(),
            heartbeat: heartbeat::Heartbeat::default(),
            configuration: configuration::Configuration::new(),
            calls: calls::Calls::default(),
            contact: contact::Contact::default(),
            counters: Counters::default(),
            view: Arc::new(view),
            view_stale: false,
            flags_stale: false,
            started_at: Duration::ZERO,
            running: false,
            last_run: Duration::ZERO,
            joined: false,
            introduced: false,
            next_introduction: Duration::ZERO,
            has_left: false,
            unpushed: None,
            digest_differs: true,
            is_reader: true,
            other_zones: BTreeSet::new(),
            config,
        }
    }

    /// Returns the current view. A new view is a new `Arc`, so `Arc::ptr_eq` detects a change.
    pub fn view(&self) -> &Arc<view::View> {
        &self.view
    }

    /// Handles a message of the authenticated peer `from`, received from `address`.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &str,
        address: SocketAddr,
        message: control::Message,
    ) {
        self.advance_clock(now);
        self.counters.messages_received += 1;
        if from != &*self.config.me.name {
            self.dispatch(now, from, address, message);
        }
        self.refresh_view();
    }

    fn dispatch(
        &mut self,
        now: Duration,
        from: &str,
        address: SocketAddr,
        message: control::Message,
    ) {
        use control::Message;
        match &message {
            Message::Ping {
                sequence,
                sender,
                summary,
                updates,
            } if *sender.name == *from => {
                self.handle_heartbeat(now, sender, summary, updates, address);
                if (self.joined || self.introduced) && !self.has_left {
                    self.send_ack(now, sender, address, *sequence);
                }
            }
            Message::Ack {
                sequence,
                sender,
                summary,
                updates,
            } => {
                self.handle_ack(*sequence, &message);
                if *sender.name == *from {
                    self.handle_heartbeat(now, sender, summary, updates, address);
                } else {
                    self.merge_and_queue(now, sender);
                }
            }
            Message::PingRequest { sequence, subject } => {
                self.probe_for(now, address, *sequence, subject);
            }
            Message::Leave { sender } if *sender.name == *from => self.merge_and_queue(now, sender),
            Message::PullMembers { buckets } => self.answer_member_pull(now, address, buckets),
            Message::Members { members } => self.handle_members(now, from, address, members),
            Message::Entries { members } => {
                for member in members {
                    self.merge(now, member);
                }
            }
            Message::Revision { version } => self.handle_version(now, address, *version),
            Message::Delta(delta) => self.apply_delta(now, address, delta),
            Message::Pull { have } => {
                self.answer_register_pull(address, *have);
                self.handle_version(now, address, *have);
            }
            Message::Offer { version } => self.handle_offer(now, address, *version),
            Message::Confirm { nonce, have } => self.answer_confirm(now, address, *nonce, *have),
            Message::Confirmed { nonce, version } => {
                self.handle_confirmed(now, from, address, *nonce, *version);
            }
            Message::Delegate => self.handle_delegation(now, from),
            Message::Ping { .. } | Message::Leave { .. } => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Duration,
        sender: &control::Member,
        summary: &control::Summary,
        updates: &[control::Member],
        address: SocketAddr,
    ) {
        self.merge_and_queue(now, sender);
        for member in updates {
            self.merge_and_queue(now, member);
        }
        self.record_heartbeat(now, &sender.zone);
        self.update_platform_age(now, summary.platform_age_seconds);
        self.handle_version(now, address, summary.version);
        let differs = summary.members_digest != self.table.digest();
        self.record_difference(now, differs);
        self.request_repair(now, address, summary.members_digest);
    }

    /// Handles the result of a platform call or of a fetch from a peer.
    pub fn handle_response(&mut self, now: Duration, response: Response) {
        self.advance_clock(now);
        self.apply_response(now, response);
        self.refresh_view();
    }

    /// Handles a timer that fired `late`; a delay above the pause threshold counts as a pause.
    pub fn handle_late_timer(&mut self, now: Duration, late: Duration) {
        let already_handled = now.saturating_sub(self.last_run) > contact::PAUSE_THRESHOLD;
        self.advance_clock(now);
        if late > contact::PAUSE_THRESHOLD && !already_handled {
            self.handle_pause(now, late);
        }
        self.refresh_view();
    }

    /// Starts the graceful shutdown and announces it to peers.
    pub fn leave(&mut self, now: Duration) {
        self.advance_clock(now);
        self.announce_leave(now, control::State::Leaving);
        self.refresh_view();
    }

    /// Completes the graceful shutdown and announces the end of this process. The driver sends the
    /// remaining actions and exits.
    pub fn finish(&mut self, now: Duration) {
        self.advance_clock(now);
        self.announce_leave(now, control::State::Dead);
    }

    /// Runs all work that is due; called every 100 ms.
    pub fn tick(&mut self, now: Duration) {
        self.advance_clock(now);
        if self.has_left {
            return;
        }
        self.check_contact(now);
        if !self.joined {
            self.start_due_transfer(now);
        }
        if self.joined {
            self.check_probes(now);
            self.send_heartbeats(now);
            self.push_register(now);
            self.push_updates(now);
            self.repair_after_join(now);
            self.start_due_transfer(now);
        }
        self.start_due_calls(now);
        self.table.purge(now);
        self.refresh_view();
    }

    /// Returns the next action, if any.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Initializes the machine at the first input and detects pauses; called for every input.
    fn advance_clock(&mut self, now: Duration) {
        if !self.running {
            self.running = true;
            self.started_at = now;
            self.last_run = now;
            self.contact.nonce = self.random_u64() >> 1;
            self.contact.valid_from = self.contact.nonce;
        }
        self.detect_pause(now);
    }

    fn summary(&self, now: Duration) -> control::Summary {
        control::Summary {
            version: self.configuration.version,
            members_digest: self.table.digest(),
            platform_age_seconds: self.platform_age(now),
        }
    }

    fn send(&mut self, to: SocketAddr, message: control::Message) {
        self.send_with(to, budget::Priority::Membership, message);
    }

    fn send_with(&mut self, to: SocketAddr, priority: budget::Priority, message: control::Message) {
        self.counters.messages_sent += 1;
        self.actions.push_back(Action::Send {
            to,
            priority,
            message,
        });
    }

    fn log(&mut self, event: Event) {
        self.actions.push_back(Action::Log(event));
    }
}
