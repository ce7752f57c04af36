//! Rebuilds the view when its content has changed.

use std::sync::Arc;

use super::{
    Event,
    Machine, //
};
use crate::view;

impl Machine {
    /// Replaces the view when it is stale.
    pub(super) fn refresh_view(&mut self) {
        if self.view_stale {
            self.update_absences(self.last_run);
            self.is_reader = self.is_zone_reader();
            self.other_zones = self.find_other_zones();
            let members = self.table.live().cloned().collect();
            let register = self.configuration.register.clone();
            let mut view = view::View::new(&self.config.me, register, members, false);
            self.set_flags(&mut view);
            self.view = Arc::new(view);
            self.update_owned_targets();
            self.counters.views += 1;
        } else if self.flags_stale {
            let mut view = view::View::clone(&self.view);
            self.set_flags(&mut view);
            self.view = Arc::new(view);
        }
        self.view_stale = false;
        self.flags_stale = false;
    }

    /// Logs each zone lost or regained since the last view.
    fn log_zones(&mut self) {
        let (old, new) = (self.view.unreachable_zones.clone(), self.lost_zones());
        for name in new.iter().filter(|name| !old.contains(name)) {
            let (name, reachable) = (name.clone(), false);
            self.log(Event::Zone { name, reachable });
        }
        for name in old.iter().filter(|name| !new.contains(name)) {
            let (name, reachable) = (name.clone(), true);
            self.log(Event::Zone { name, reachable });
        }
    }

    fn set_flags(&mut self, view: &mut view::View) {
        self.log_zones();
        view.confirmed = self.contact.confirmed;
        view.own_zone_ready = self.contact.own_zone_ready;
        view.unreachable_zones = self.lost_zones();
        view.vacant_zones = self.calls.vacancy.zones();
    }
}
