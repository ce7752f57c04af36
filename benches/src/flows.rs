//! Flow machines filled with a given number of flows.

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

/// Machine time at which the machines are filled.
pub const START: Duration = Duration::from_secs(1);

/// Limits above the size of the largest run.
const CONFIG: flow::Config = flow::Config {
    max_flows: 1_000_000,
    max_hints: 1_000_000,
};

/// Returns a machine without flows.
pub fn machine(view: &Arc<view::View>) -> flow::Machine {
    flow::Machine::new(CONFIG, view.clone(), 1)
}

/// Returns the first target in the preference list of a flow.
pub fn first(view: &view::View, flow: &wire::Flow) -> id::Target {
    let (service, _) = view.service_at(flow.address).expect("the service exists");
    preference::first(view, service, flow::key(service, flow)).expect("the service has targets")
}

/// Returns the header of a datagram forwarded by a peer.
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

/// Makes the machine serve the flows whose first target it owns; returns these flows.
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
    discard_actions(machine);
    served
}

/// Adds hints for the flows whose first target other balancers own; returns these flows.
pub fn add_hints(
    machine: &mut flow::Machine,
    view: &view::View,
    flows: impl Iterator<Item = wire::Flow>,
) -> Vec<wire::Flow> {
    let mut hinted = Vec::new();
    for flow in flows {
        let target = first(view, &flow);
        if !view.owns(target) {
            let message = wire::Message::Hint {
                flow,
                target,
                revision: view.register.revision,
            };
            machine.receive(START, "vm-1", message);
            hinted.push(flow);
        }
    }
    discard_actions(machine);
    hinted
}

/// Adds redirects to targets of other balancers for flows whose first target the machine owns;
/// returns these flows.
pub fn add_redirects(
    machine: &mut flow::Machine,
    view: &view::View,
    flows: impl Iterator<Item = wire::Flow>,
) -> Vec<wire::Flow> {
    let mut redirected = Vec::new();
    for flow in flows {
        let target = first(view, &flow);
        let (service, _) = view.service_at(flow.address).expect("the service exists");
        let ranked = view.candidates(service).iter().map(|(other, _)| *other);
        let destination = ranked.clone().find(|other| !view.owns(*other));
        if let Some(to) = destination.filter(|_| view.owns(target)) {
            let message = wire::Message::Redirects {
                target,
                redirects: vec![wire::Redirect { flow, to }],
                sequence: 1,
                revision: view.register.revision,
            };
            machine.receive(START, "vm-1", message);
            // Pending acknowledgements would be counted as memory of the redirects.
            discard_actions(machine);
            redirected.push(flow);
        }
    }
    redirected
}

/// Opens a flow and records an answer of its target. Returns the target when the flow was delivered
/// by this machine.
pub fn open(machine: &mut flow::Machine, now: Duration, flow: &wire::Flow) -> Option<id::Target> {
    match machine.arrive(now, flow.caller, flow.address) {
        flow::Decision::Deliver { target } => {
            machine.answered(now, target, flow);
            Some(target)
        }
        _ => None,
    }
}

/// Discards all pending actions and returns their number.
pub fn discard_actions(machine: &mut flow::Machine) -> usize {
    std::iter::from_fn(|| machine.poll()).count()
}

/// Returns flows distributed evenly over the services of a register.
pub fn distributed(services: usize, count: usize) -> impl Iterator<Item = wire::Flow> {
    (0..count).map(move |index| input::flow(index % services, index / services))
}
