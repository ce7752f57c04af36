//! Single flow machines: protocols, address families, limits, expiry and the status snapshot.

mod flow_fixture;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use flow_fixture::inventory;
use mulberrynotch_policy::{
    flow,
    preference,
    view, //
};
use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::{
    control,
    data,
    flow as wire, //
};

const SEED: u64 = 9;

/// The flow machine of `b0`.
struct Node {
    machine: flow::Machine,
    register: model::Register,
    members: Vec<control::Member>,
    now: Duration,
}

impl Node {
    fn new(balancers: usize, max_flows: usize, register: model::Register) -> Self {
        println!("seed {SEED}");
        let members: Vec<_> = (0..balancers).map(inventory::member).collect();
        let config = flow::Config {
            max_flows,
            max_hints: 100,
        };
        let me = members[0].clone();
        let view = view::View::new(&me, Arc::new(register.clone()), members.clone(), true);
        Self {
            machine: flow::Machine::new(config, Arc::new(view), SEED),
            register,
            members,
            now: Duration::from_secs(1),
        }
    }

    fn view(&self) -> view::View {
        let register = Arc::new(self.register.clone());
        view::View::new(&self.members[0], register, self.members.clone(), true)
    }

    fn set_view(&mut self, view: view::View) {
        self.machine.set_view(self.now, Arc::new(view));
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now += flow_fixture::TICK;
            self.machine.tick(self.now);
        }
    }

    fn arrive(&mut self, flow: &wire::Flow) -> flow::Decision {
        self.machine.arrive(self.now, flow.caller, flow.address)
    }

    /// Opens a flow, if needed after waiting for the rate limit of a cold target; returns its
    /// target.
    fn open(&mut self, flow: &wire::Flow) -> id::Target {
        for _ in 0..100 {
            if let flow::Decision::Deliver { target } = self.arrive(flow) {
                self.machine.answered(self.now, target, flow);
                return target;
            }
            self.run(1);
        }
        panic!("{flow:?} is not placed");
    }

    fn actions(&mut self) -> Vec<flow::Action> {
        std::iter::from_fn(|| self.machine.poll()).collect()
    }

    /// Returns the header of a frame from `b1` with the given choice of target.
    fn header(&self, flow: &wire::Flow, target: id::Target, choice: data::Choice) -> data::Header {
        data::Header {
            revision: self.register.revision,
            service: self.register.services[0].id(),
            target,
            choice,
            hops_left: flow::MAX_HOPS,
            caller: flow.caller,
            address: flow.address,
        }
    }
}

fn tcp_register() -> model::Register {
    let mut register = inventory::register(&[2], 1_000);
    register.services[0].addresses[0].protocol = model::Protocol::Tcp;
    register
}

/// Guards against a TCP flow that is handed over to the next owner of its target, expires while
/// idle, or stays in the table after it has ended.
#[test]
fn a_tcp_flow_stays_with_its_owner_until_it_ends() {
    let mut node = Node::new(1, 100, tcp_register());
    let flow = inventory::wire_flow(0, 1);
    let target = node.open(&flow);
    node.run(600);
    assert_eq!(node.machine.status().flows, 1, "no idle time ends it");
    // Another member owns the target now.
    node.members = (0..6).map(inventory::member).collect();
    node.members[0].state = control::State::Leaving;
    node.set_view(node.view());
    let to = node.view().assignment.owner(target).unwrap().clone();
    node.run(1);
    let (mut part, mut carried) = (None, 0);
    for action in node.actions() {
        if let flow::Action::Send {
            message:
                wire::Message::Handover {
                    target: of,
                    part: number,
                    flows,
                    ..
                },
            ..
        } = action
            && of == target
        {
            part = Some(number);
            carried += flows.len();
        }
    }
    assert_eq!(carried, 0, "its bytes cannot move");
    let part = part.expect("a handover of the target");
    let ack = wire::Message::HandoverAck { target, part };
    node.machine.receive(node.now, &to, ack);
    let status = node.machine.status();
    let state = status.targets.iter().find(|status| status.target == target);
    assert_eq!(
        state.map(|status| status.phase),
        Some(flow::Phase::HandedOver)
    );
    assert_eq!(status.flows, 1);
    node.machine.closed(node.now, target, &flow);
    node.run(1);
    let status = node.machine.status();
    assert_eq!(status.flows, 0);
    assert!(status.targets.iter().all(|status| status.target != target));
}

/// Guards against TCP flows that stay open when their zone goes out of service.
#[test]
fn a_tcp_flow_is_closed_with_its_zone() {
    let mut node = Node::new(1, 100, tcp_register());
    let flow = inventory::wire_flow(0, 1);
    let target = node.open(&flow);
    node.actions();
    for zone in &mut node.register.zones {
        zone.out = true;
    }
    node.register.revision += 1;
    node.set_view(node.view());
    assert!(
        node.actions()
            .contains(&flow::Action::Close { target, flow })
    );
    assert_eq!(node.machine.status().flows, 0);
}

/// Guards against IPv6 flows that are confused with others or lose their target in a handover or in
/// the expiry sweep.
#[test]
fn flows_of_ipv6_callers_keep_their_targets() {
    let mut register = inventory::register(&[3], 1_000);
    let address = SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, 1], 80));
    register.services[0].addresses.push(model::Address {
        address,
        protocol: model::Protocol::Udp,
    });
    let mut node = Node::new(1, 1_000, register);
    let flows: Vec<wire::Flow> = (0..60u16)
        .map(|number| wire::Flow {
            caller: SocketAddr::from(([0xfd00, 1, 0, 0, 0, 0, number % 7, number], 4_000)),
            address,
        })
        .collect();
    let targets: Vec<id::Target> = flows.iter().map(|flow| node.open(flow)).collect();
    node.run(10);
    for (flow, target) in flows.iter().zip(&targets) {
        assert_eq!(node.open(flow), *target);
    }
    assert_eq!(node.machine.status().flows, flows.len());
    node.actions();
    node.members = (0..6).map(inventory::member).collect();
    node.members[0].state = control::State::Leaving;
    node.set_view(node.view());
    let mut moved = Vec::new();
    for _ in 0..100 {
        node.run(1);
        for action in node.actions() {
            let flow::Action::Send { to, message, .. } = action else {
                continue;
            };
            let bytes = postcard::to_stdvec(&message).unwrap();
            let decoded = postcard::from_bytes::<wire::Message>(&bytes).unwrap();
            if let wire::Message::Handover {
                target,
                part,
                flows,
                ..
            } = decoded
            {
                moved.extend(flows.into_iter().map(|flow| (flow, target)));
                let ack = wire::Message::HandoverAck { target, part };
                node.machine.receive(node.now, &to, ack);
            }
        }
    }
    moved.sort_unstable();
    moved.dedup();
    let mut expected: Vec<_> = flows.into_iter().zip(targets).collect();
    expected.sort_unstable();
    assert_eq!(moved, expected);
    assert!(node.machine.drained());
}

/// Guards against records of idle flows that do not expire, and against expiring flows in use.
#[test]
fn idle_flows_end_and_active_ones_stay() {
    let mut node = Node::new(1, 100, inventory::register(&[3], 1_000));
    let (idle, active) = (inventory::wire_flow(0, 1), inventory::wire_flow(0, 2));
    let target = node.open(&idle);
    let kept = node.open(&active);
    for _ in 0..5 {
        node.run(20);
        assert_eq!(node.open(&active), kept);
    }
    let ended = node
        .actions()
        .contains(&flow::Action::Close { target, flow: idle });
    assert!(ended, "sockets of the idle flow are closed");
    assert_eq!(node.machine.status().flows, 1);
    // The timestamp of a record, in seconds, wraps around after 18 hours.
    node.now += Duration::from_secs(70_000);
    node.run(10);
    assert_eq!(node.machine.status().flows, 0);
}

/// Guards against a table that grows without bound, and against established flows that break
/// because the table is full.
#[test]
fn a_full_table_refuses_new_flows_only() {
    let mut node = Node::new(1, 20, inventory::register(&[3], 1_000));
    let flows: Vec<wire::Flow> = (0..20).map(|n| inventory::wire_flow(0, n)).collect();
    let targets: Vec<id::Target> = flows.iter().map(|flow| node.open(flow)).collect();
    for number in 100..200 {
        let decision = node.arrive(&inventory::wire_flow(0, number));
        assert_eq!(decision, flow::Decision::Drop(flow::Reason::NoCapacity));
    }
    for (flow, target) in flows.iter().zip(&targets) {
        assert_eq!(node.open(flow), *target);
    }
    let status = node.machine.status();
    assert_eq!(status.flows + status.redirects + status.passed, 20);
    assert!(status.drops.no_capacity >= 100);
    // Redirects of peers and adopted flows are refused too.
    let other = inventory::wire_flow(0, 500);
    let header = node.header(&other, targets[0], data::Choice::Hint);
    let decision = node.machine.forwarded(node.now, "b1", &header);
    assert_eq!(decision, flow::Decision::Drop(flow::Reason::NoCapacity));
}

/// Guards against packets and new flows sent to a zone without contact, and against a zone that is
/// still skipped after contact has returned.
#[test]
fn flows_skip_unreachable_zones() {
    let mut node = Node::new(6, 10_000, inventory::register(&[6], 1_000));
    let service = node.register.services[0].id();
    let mut disconnected = node.view();
    disconnected.unreachable_zones = vec![Arc::from("z1")];
    node.set_view(disconnected);
    let view = node.view();
    let zone = |target| view.target(target).unwrap().zone.clone();
    let mut skipped = 0;
    for number in 0..200 {
        let flow = inventory::wire_flow(0, number);
        let list = preference::targets(&view, service, flow::key(service, &flow));
        let reachable = list.iter().position(|target| &*zone(*target) != "z1");
        match node.arrive(&flow) {
            flow::Decision::Forward { header, .. } => {
                assert_ne!(&*zone(header.target), "z1");
                let rank = u8::try_from(reachable.unwrap()).unwrap();
                skipped += u32::from(rank > 0);
                // A more preferred target of this process may have passed the flow on.
                let is_first = header.target == list[reachable.unwrap()];
                assert!(!is_first || header.choice == data::Choice::Rank(rank));
            }
            flow::Decision::Deliver { target } => assert_ne!(&*zone(target), "z1"),
            flow::Decision::Drop(reason) => panic!("{reason:?}"),
        }
    }
    assert!(skipped > 20);
    node.set_view(node.view());
    let new = (1_000..1_200).map(|n| inventory::wire_flow(0, n));
    let forwards = new.filter_map(|flow| match node.arrive(&flow) {
        flow::Decision::Forward { header, .. } => Some(zone(header.target)),
        _ => None,
    });
    assert!(forwards.into_iter().any(|zone| &*zone == "z1"));
}

/// Guards against packets that loop between owners whose views differ.
#[test]
fn a_packet_without_hops_is_dropped() {
    let mut node = Node::new(6, 100, inventory::register(&[6], 1_000));
    let view = node.view();
    let service = node.register.services[0].id();
    let flow = inventory::wire_flow(0, 1);
    let list = preference::targets(&view, service, flow::key(service, &flow));
    let rank = list.iter().position(|target| !view.owns(*target)).unwrap();
    let not_mine = list[rank];
    for choice in [data::Choice::Hint, data::Choice::Redirect] {
        let mut header = node.header(&flow, not_mine, choice.clone());
        let mut hops = 0;
        while let flow::Decision::Forward { header: next, .. } =
            node.machine.forwarded(node.now, "b1", &header)
        {
            header = next;
            hops += 1;
        }
        assert_eq!(hops, flow::MAX_HOPS, "{choice:?}");
    }
    // A forward with the same rank makes no progress along the preference list.
    let rank = data::Choice::Rank(u8::try_from(rank).unwrap());
    let mut header = node.header(&flow, not_mine, rank);
    header.hops_left = 0;
    let decision = node.machine.forwarded(node.now, "b1", &header);
    assert_eq!(decision, flow::Decision::Drop(flow::Reason::HopLimit));
    assert_eq!(node.machine.status().drops.hop_limit, 3);
}

/// Guards against a status that differs from the state of the machine.
#[test]
fn the_status_matches_the_state_of_the_machine() {
    let mut node = Node::new(1, 1_000, inventory::register(&[3], 40));
    let flows: Vec<wire::Flow> = (0..30).map(|n| inventory::wire_flow(0, n)).collect();
    let placed: Vec<id::Target> = flows.iter().map(|flow| node.open(flow)).collect();
    node.machine
        .arrive(node.now, flows[0].caller, ([127, 9, 9, 9], 1).into());
    let status = node.machine.status();
    assert_eq!(status.flows, 30);
    assert_eq!(status.drops.wrong_service, 1);
    assert_eq!(status.targets.len(), 3);
    for target in &status.targets {
        let flows = placed.iter().filter(|id| **id == target.target).count();
        assert_eq!(target.flows as usize, flows);
        assert_eq!(target.connections, 40);
        assert!(target.ramp >= flow::COLD_FLOWS && !target.dead);
        assert_eq!(target.phase, flow::Phase::Active);
    }
    let json = serde_json::to_value(&status).unwrap();
    assert_eq!(json["targets"][0]["phase"], "active");
    assert_eq!(json["drops"]["wrong_service"], 1);
}
