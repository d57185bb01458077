//! The network between zones, and attempts that arrive at servers over it.

use nettlemux_policy::Time;

use super::lifecycle::CRASH_NOTICE;
use super::schedule::Task;
use super::{FleetEvent, FleetModel};
use crate::server::{AttemptResponse, ServerStatus};
use crate::time::seconds;

impl FleetModel {
    /// Whether messages get from one zone to another.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cuts[from] == 0 && self.cuts[to] == 0
    }

    /// How long a message takes from one zone to another.
    pub fn way(&self, from: usize, to: usize) -> Time {
        let zones = &self.scenario.zones;
        seconds(if from == to {
            zones.inside
        } else {
            zones.between
        })
    }

    /// An attempt arrives at a server, from a balancer in that zone. Returns what the server makes
    /// of it, and what has happened with it.
    pub fn offer(
        &mut self,
        now: Time,
        zone: usize,
        server: usize,
    ) -> (AttemptResponse, Vec<FleetEvent>) {
        if !self.reaches(zone, self.servers[server].zone) {
            return (AttemptResponse::NoResponse, Vec::new());
        }
        let (offer, fell) = self.servers[server].offer(&self.scenario.fleet, now);
        if fell {
            self.fall(now, server);
        }
        let offer = match offer {
            AttemptResponse::Accepted(took) => {
                AttemptResponse::Accepted(took + self.store.call(now))
            }
            other => other,
        };
        (offer, std::mem::take(&mut self.events))
    }

    /// A cold server has been asked for more than it can bear, and crashes.
    fn fall(&mut self, now: Time, server: usize) {
        self.events.push(FleetEvent::ServerCollapsed { server });
        self.kill(server, ServerStatus::Down);
        self.schedule
            .add(now + CRASH_NOTICE, Task::ListDeath { server });
    }

    /// One more fault, or one fault less, cuts a zone off. Drivers are told when that makes a
    /// difference.
    pub(super) fn set_zone_cut(&mut self, zone: usize, cut: bool) {
        let cuts = &mut self.cuts[zone];
        let was_cut = *cuts > 0;
        *cuts = if cut {
            *cuts + 1
        } else {
            cuts.saturating_sub(1)
        };
        if was_cut != (*cuts > 0) {
            self.events
                .push(FleetEvent::ZoneConnectivityChanged { zone, cut });
        }
    }
}
