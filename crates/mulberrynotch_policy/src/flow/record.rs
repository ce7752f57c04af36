//! Records of the flows on owned targets.

use std::time::Duration;

use mulberrynotch_register::{
    id,
    model, //
};
use mulberrynotch_wire::flow;

use super::{
    Action,
    Machine,
    owned::Phase,
    seconds,
    table::Kind, //
};
use crate::budget;

impl Machine {
    /// Returns true when the process has a record of the flow on `target`.
    pub(super) fn is_serving(&self, flow: &flow::Flow, target: id::Target) -> bool {
        self.table
            .get(flow)
            .is_some_and(|entry| entry.kind == Kind::Serving && self.table.target(entry) == target)
    }

    /// Adds the record of a flow on an owned target. `is_established` is true when the target is
    /// known to have answered on the flow.
    pub(super) fn add_record(
        &mut self,
        now: Duration,
        flow: &flow::Flow,
        target: id::Target,
        is_established: bool,
    ) {
        if self.is_serving(flow, target) {
            return;
        }
        self.remove_record(flow);
        self.table.put(flow, target, Kind::Serving, seconds(now));
        if let Some(entry) = self.table.touch(flow, seconds(now)) {
            entry.answered = is_established;
        }
        let is_tcp = self.is_tcp(flow);
        if let Some(owned) = self.owned.get_mut(&target) {
            owned.flows += 1;
            if let Phase::HandingOver(handover) = &mut owned.phase
                && !is_tcp
            {
                handover.flows.push(*flow);
            }
        }
    }

    /// Removes the entry of a flow and updates the flow count of its target.
    pub(super) fn remove_record(&mut self, flow: &flow::Flow) -> Option<(id::Target, Kind)> {
        let entry = self.table.remove(flow)?;
        let target = self.table.target(entry);
        if entry.kind == Kind::Serving
            && let Some(owned) = self.owned.get_mut(&target)
        {
            owned.flows = owned.flows.saturating_sub(1);
        }
        Some((target, entry.kind))
    }

    /// Ends a flow that the process serves, and removes any other entry of a flow. With `notify`,
    /// the owners that hold redirects for it are informed.
    pub(super) fn end_flow(&mut self, flow: &flow::Flow, notify: bool) {
        let Some((target, Kind::Serving)) = self.remove_record(flow) else {
            return;
        };
        let flow = *flow;
        self.actions.push_back(Action::Close { target, flow });
        if notify {
            self.queue_flow_end(&flow, target, budget::Priority::Load);
        }
    }

    pub(super) fn is_tcp(&self, flow: &flow::Flow) -> bool {
        self.view
            .service_at(flow.address)
            .is_some_and(|(_, protocol)| protocol == model::Protocol::Tcp)
    }
}
