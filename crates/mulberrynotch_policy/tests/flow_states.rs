//! Single machines: protocols, address families, limits, expiry and the status snapshot.

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

/// Drives the machine of member `b0`.
struct Driver {
    machine: flow::Machine,
    register: model::Register,
    members: Vec<control::Member>,
    now: Duration,
}

impl Driver {
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

    /// Sends packets of a flow until its target admits it, and returns the target; cold targets
    /// admit few flows per second.
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

    /// Returns the header of a forwarded packet with the given choice of target.
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

/// Guards against a TCP flow that moves to the next owner of its target, ends while idle, or stays
/// in the table after its end.
#[test]
fn a_tcp_flow_stays_with_its_owner_until_it_ends() {
    let mut driver = Driver::new(1, 100, tcp_register());
    let flow = inventory::wire_flow(0, 1);
    let target = driver.open(&flow);
    driver.run(600);
    assert_eq!(driver.machine.status().flows, 1, "no idle time ends it");
    // Other members now own the target of the flow.
    driver.members = (0..6).map(inventory::member).collect();
    driver.members[0].state = control::State::Leaving;
    driver.set_view(driver.view());
    let to = driver.view().assignment.owner(target).unwrap().clone();
    driver.run(1);
    let (mut part, mut carried) = (None, 0);
    for action in driver.actions() {
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
    driver.machine.receive(driver.now, &to, ack);
    let status = driver.machine.status();
    let state = status.targets.iter().find(|it| it.target == target);
    assert_eq!(state.map(|it| it.phase), Some(flow::Phase::HandedOver));
    assert_eq!(status.flows, 1);
    driver.machine.closed(driver.now, target, &flow);
    driver.run(1);
    let status = driver.machine.status();
    assert_eq!(status.flows, 0);
    assert!(status.targets.iter().all(|it| it.target != target));
}

/// Guards against TCP flows that stay open after their zone went out of service.
#[test]
fn a_tcp_flow_is_closed_with_its_zone() {
    let mut driver = Driver::new(1, 100, tcp_register());
    let flow = inventory::wire_flow(0, 1);
    let target = driver.open(&flow);
    driver.actions();
    for zone in &mut driver.register.zones {
        zone.out = true;
    }
    driver.register.revision += 1;
    driver.set_view(driver.view());
    assert!(
        driver
            .actions()
            .contains(&flow::Action::Close { target, flow })
    );
    assert_eq!(driver.machine.status().flows, 0);
}

/// Guards against flows of IPv6 callers that are confused with each other, or lose their target in
/// a handover or the sweep.
#[test]
fn flows_of_ipv6_callers_keep_their_targets() {
    let mut register = inventory::register(&[3], 1_000);
    let address = SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, 1], 80));
    register.services[0].addresses.push(model::Address {
        address,
        protocol: model::Protocol::Udp,
    });
    let mut driver = Driver::new(1, 1_000, register);
    let flows: Vec<wire::Flow> = (0..60u16)
        .map(|number| wire::Flow {
            caller: SocketAddr::from(([0xfd00, 1, 0, 0, 0, 0, number % 7, number], 4_000)),
            address,
        })
        .collect();
    let targets: Vec<id::Target> = flows.iter().map(|flow| driver.open(flow)).collect();
    driver.run(10);
    for (flow, target) in flows.iter().zip(&targets) {
        assert_eq!(driver.open(flow), *target);
    }
    assert_eq!(driver.machine.status().flows, flows.len());
    driver.actions();
    driver.members = (0..6).map(inventory::member).collect();
    driver.members[0].state = control::State::Leaving;
    driver.set_view(driver.view());
    let mut moved = Vec::new();
    for _ in 0..100 {
        driver.run(1);
        for action in driver.actions() {
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
                driver.machine.receive(driver.now, &to, ack);
            }
        }
    }
    moved.sort_unstable();
    moved.dedup();
    let mut expected: Vec<_> = flows.into_iter().zip(targets).collect();
    expected.sort_unstable();
    assert_eq!(moved, expected);
    assert!(driver.machine.is_drained());
}

/// Guards against records that outlive their flow, and against ending a flow that is in use.
#[test]
fn idle_flows_end_and_active_ones_stay() {
    let mut driver = Driver::new(1, 100, inventory::register(&[3], 1_000));
    let (idle, active) = (inventory::wire_flow(0, 1), inventory::wire_flow(0, 2));
    let target = driver.open(&idle);
    let kept = driver.open(&active);
    for _ in 0..5 {
        driver.run(20);
        assert_eq!(driver.open(&active), kept);
    }
    let ended = driver
        .actions()
        .contains(&flow::Action::Close { target, flow: idle });
    assert!(ended, "sockets of the idle flow are closed");
    assert_eq!(driver.machine.status().flows, 1);
    // The 16-bit time stamp of a record wraps around after 18 hours.
    driver.now += Duration::from_secs(70_000);
    driver.run(10);
    assert_eq!(driver.machine.status().flows, 0);
}

/// Guards against unbounded growth of the table, and against established flows that break because
/// it is full.
#[test]
fn a_full_table_refuses_new_flows_only() {
    let mut driver = Driver::new(1, 20, inventory::register(&[3], 1_000));
    let flows: Vec<wire::Flow> = (0..20).map(|n| inventory::wire_flow(0, n)).collect();
    let targets: Vec<id::Target> = flows.iter().map(|flow| driver.open(flow)).collect();
    for number in 100..200 {
        let decision = driver.arrive(&inventory::wire_flow(0, number));
        assert_eq!(decision, flow::Decision::Drop(flow::Reason::NoCapacity));
    }
    for (flow, target) in flows.iter().zip(&targets) {
        assert_eq!(driver.open(flow), *target);
    }
    let status = driver.machine.status();
    assert_eq!(status.flows + status.redirects + status.passed, 20);
    assert!(status.drops.no_capacity >= 100);
    // A flow that a peer reports as established does not fit either.
    let other = inventory::wire_flow(0, 500);
    let header = driver.header(&other, targets[0], data::Choice::Hint);
    let decision = driver.machine.forwarded(driver.now, "b1", &header);
    assert_eq!(decision, flow::Decision::Drop(flow::Reason::NoCapacity));
}

/// Guards against packets and new flows that are sent into an unreachable zone, and against a
/// preference list that does not return to its order when the zone is reachable again.
#[test]
fn flows_skip_unreachable_zones() {
    let mut driver = Driver::new(6, 10_000, inventory::register(&[6], 1_000));
    let service = driver.register.services[0].id();
    let mut isolated = driver.view();
    isolated.unreachable_zones = vec![Arc::from("z1")];
    driver.set_view(isolated);
    let view = driver.view();
    let zone = |target| view.target(target).unwrap().zone.clone();
    let mut skipped = 0;
    for number in 0..200 {
        let flow = inventory::wire_flow(0, number);
        let preferences = preference::targets(&view, service, flow::key(service, &flow));
        let reachable = preferences
            .iter()
            .position(|target| &*zone(*target) != "z1");
        match driver.arrive(&flow) {
            flow::Decision::Forward { header, .. } => {
                assert_ne!(&*zone(header.target), "z1");
                let rank = u8::try_from(reachable.unwrap()).unwrap();
                skipped += u32::from(rank > 0);
                // A target of this process may have passed the flow on.
                let is_first = header.target == preferences[reachable.unwrap()];
                assert!(!is_first || header.choice == data::Choice::Rank(rank));
            }
            flow::Decision::Deliver { target } => assert_ne!(&*zone(target), "z1"),
            flow::Decision::Drop(reason) => panic!("{reason:?}"),
        }
    }
    assert!(skipped > 20);
    driver.set_view(driver.view());
    let new = (1_000..1_200).map(|n| inventory::wire_flow(0, n));
    let forwards = new.filter_map(|flow| match driver.arrive(&flow) {
        flow::Decision::Forward { header, .. } => Some(zone(header.target)),
        _ => None,
    });
    assert!(forwards.into_iter().any(|zone| &*zone == "z1"));
}

/// Guards against packets that loop between owners whose views differ.
#[test]
fn a_packet_without_hops_is_dropped() {
    let mut driver = Driver::new(6, 100, inventory::register(&[6], 1_000));
    let view = driver.view();
    let service = driver.register.services[0].id();
    let flow = inventory::wire_flow(0, 1);
    let preferences = preference::targets(&view, service, flow::key(service, &flow));
    let rank = preferences
        .iter()
        .position(|target| !view.owns(*target))
        .unwrap();
    let remote = preferences[rank];
    for choice in [data::Choice::Hint, data::Choice::Redirect] {
        let mut header = driver.header(&flow, remote, choice.clone());
        let mut hops = 0;
        while let flow::Decision::Forward { header: next, .. } =
            driver.machine.forwarded(driver.now, "b1", &header)
        {
            header = next;
            hops += 1;
        }
        assert_eq!(hops, flow::MAX_HOPS, "{choice:?}");
    }
    // The same rank again does not advance along the preference list.
    let rank = data::Choice::Rank(u8::try_from(rank).unwrap());
    let mut header = driver.header(&flow, remote, rank);
    header.hops_left = 0;
    let decision = driver.machine.forwarded(driver.now, "b1", &header);
    assert_eq!(decision, flow::Decision::Drop(flow::Reason::HopLimit));
    assert_eq!(driver.machine.status().drops.hop_limit, 3);
}

/// Guards against a status that differs from the state of the machine.
#[test]
fn the_status_matches_the_state_of_the_machine() {
    let mut driver = Driver::new(1, 1_000, inventory::register(&[3], 40));
    let flows: Vec<wire::Flow> = (0..30).map(|n| inventory::wire_flow(0, n)).collect();
    let placed: Vec<id::Target> = flows.iter().map(|flow| driver.open(flow)).collect();
    driver
        .machine
        .arrive(driver.now, flows[0].caller, ([127, 9, 9, 9], 1).into());
    let status = driver.machine.status();
    assert_eq!(status.flows, 30);
    assert_eq!(status.drops.wrong_service, 1);
    assert_eq!(status.targets.len(), 3);
    for target in &status.targets {
        let flows = placed.iter().filter(|it| **it == target.target).count();
        assert_eq!(target.flows as usize, flows);
        assert_eq!(target.connections, 40);
        assert!(target.ramp >= flow::COLD_FLOWS && !target.dead);
        assert_eq!(target.phase, flow::Phase::Active);
    }
    let json = serde_json::to_value(&status).unwrap();
    assert_eq!(json["targets"][0]["phase"], "active");
    assert_eq!(json["drops"]["wrong_service"], 1);
}
