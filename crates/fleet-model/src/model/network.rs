//! The network between zones, and the arrival of attempts at servers.

use nettlemux_policy::Time;

use super::lifecycle::CRASH_DETECTION_DELAY;
use super::schedule::Task;
use super::{FleetEvent, FleetModel};
use crate::server::{AttemptResponse, ServerStatus};
use crate::time::seconds;

impl FleetModel {
    /// Returns whether messages from one zone reach the other.
    pub fn can_reach(&self, from: usize, to: usize) -> bool {
        from == to || self.cuts_by_zone[from] == 0 && self.cuts_by_zone[to] == 0
    }

    /// Returns the one-way delay of a message from one zone to another.
    pub fn one_way_latency(&self, from: usize, to: usize) -> Time {
        let zones = &self.scenario.zones;
        seconds(if from == to {
            zones.inside
        } else {
            zones.between
        })
    }

    /// Delivers an attempt from a balancer in `zone` to a server. Returns the server's response and
    /// the events that have not been returned to the driver yet, which include a collapse that the
    /// attempt caused.
    pub fn deliver_attempt(
        &mut self,
        now: Time,
        zone: usize,
        server: usize,
    ) -> (AttemptResponse, Vec<FleetEvent>) {
        if !self.can_reach(zone, self.servers[server].zone) {
            return (AttemptResponse::NoResponse, Vec::new());
        }
        let (response, collapsed) = self.servers[server].receive_attempt(&self.scenario.fleet, now);
        if collapsed {
            self.collapse(now, server);
        }
        let response = match response {
            AttemptResponse::Accepted(seconds) => {
                AttemptResponse::Accepted(seconds + self.store.call(now))
            }
            other => other,
        };
        (response, std::mem::take(&mut self.events))
    }

    /// Crashes a server in slow start that got more attempts than it can handle.
    fn collapse(&mut self, now: Time, server: usize) {
        self.events.push(FleetEvent::ServerCollapsed { server });
        self.kill(server, ServerStatus::Down);
        self.schedule
            .add(now + CRASH_DETECTION_DELAY, Task::DelistDead { server });
    }

    /// Adds (`cut`) or removes a fault that partitions a zone. Emits an event if the connectivity of
    /// the zone changes.
    pub(super) fn set_zone_cut(&mut self, zone: usize, cut: bool) {
        let cuts = &mut self.cuts_by_zone[zone];
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
