//! Flow machines that hold a given number of flows.

use std::{
    sync::Arc,
    time::Duration, //
};

use mulberrynotch_policy::{
    flow,
    preference,
    view, //
};
use mulberrynotch_register::id;
use mulberrynotch_wire::{
    data,
    flow as wire, //
};

use crate::input;

/// Time at which the machines are filled.
pub const START: Duration = Duration::from_secs(1);

/// Room for the largest run.
const CONFIG: flow::Config = flow::Config {
    max_flows: 1_000_000,
    max_hints: 1_000_000,
};

/// A machine without flows.
pub fn machine(view: &Arc<view::View>) -> flow::Machine {
    flow::Machine::new(CONFIG, view.clone(), 1)
}

/// First target of a flow's chain.
pub fn first(view: &view::View, flow: &wire::Flow) -> id::Target {
    let (service, _) = view.service_at(flow.address).expect("the service exists");
    preference::first(view, service, flow::key(service, flow)).expect("the service has targets")
}

/// Header of a datagram that a peer forwards.
pub fn header(
    view: &view::View,
    flow: &wire::Flow,
    target: id::Target,
    choice: data::Choice,
) -> data::Header {
    let (service, _) = view.service_at(flow.address).expect("the service exists");
    data::Header {
        revision: view.register.revision,
        service,
        target,
        choice,
        hops_left: flow::MAX_HOPS,
        caller: flow.caller,
        address: flow.address,
    }
}

/// Lets the machine serve those of the flows whose first target it owns; returns them.
pub fn serve(
    machine: &mut flow::Machine,
    view: &view::View,
    flows: impl Iterator<Item = wire::Flow>,
) -> Vec<wire::Flow> {
    let mut served = Vec::new();
    for flow in flows {
        let target = first(view, &flow);
        if view.owns(target) {
            let header = header(view, &flow, target, data::Choice::Hint);
            machine.forwarded(START, "vm-1", &header);
            served.push(flow);
        }
    }
    drain(machine);
    served
}

/// Teaches the machine the first targets of flows that others serve; returns the flows.
pub fn teach(
    machine: &mut flow::Machine,
    view: &view::View,
    flows: impl Iterator<Item = wire::Flow>,
) -> Vec<wire::Flow> {
    let mut learnt = Vec::new();
    for flow in flows {
        let target = first(view, &flow);
        if !view.owns(target) {
            let message = wire::Message::Hint {
                flow,
                target,
                revision: view.register.revision,
            };
            machine.receive(START, "vm-1", message);
            learnt.push(flow);
        }
    }
    drain(machine);
    learnt
}

/// Stores redirects of flows whose first target the machine owns; returns the flows.
pub fn redirect(
    machine: &mut flow::Machine,
    view: &view::View,
    flows: impl Iterator<Item = wire::Flow>,
) -> Vec<wire::Flow> {
    let mut stored = Vec::new();
    for flow in flows {
        let target = first(view, &flow);
        let (service, _) = view.service_at(flow.address).expect("the service exists");
        let ranked = view.candidates(service).iter().map(|(other, _)| *other);
        let other = ranked.clone().find(|other| !view.owns(*other));
        if let Some(to) = other.filter(|_| view.owns(target)) {
            let message = wire::Message::Redirects {
                target,
                redirects: vec![wire::Redirect { flow, to }],
                sequence: 1,
                revision: view.register.revision,
            };
            machine.receive(START, "vm-1", message);
            // Acknowledgements that wait would count as memory of the redirects.
            drain(machine);
            stored.push(flow);
        }
    }
    stored
}

/// Opens a flow and lets its target answer; true when it was delivered here.
pub fn open(machine: &mut flow::Machine, now: Duration, flow: &wire::Flow) -> Option<id::Target> {
    match machine.arrive(now, flow.caller, flow.address) {
        flow::Decision::Deliver { target } => {
            machine.answered(now, target, flow);
            Some(target)
        }
        _ => None,
    }
}

/// Drops the actions; returns how many there were.
pub fn drain(machine: &mut flow::Machine) -> usize {
    std::iter::from_fn(|| machine.poll()).count()
}

/// Flows spread evenly over the services of a register.
pub fn spread(services: usize, count: usize) -> impl Iterator<Item = wire::Flow> {
    (0..count).map(move |index| input::flow(index % services, index / services))
}
