//! Faults that act in steps or periodically, and the periodic refresh of live weights.

use nettlemux_policy::{SEC, Time};

use super::schedule::Task;
use super::{FleetEvent, FleetModel};
use crate::time::seconds;

/// How long a noisy neighbour takes capacity, and how long it pauses.
const NEIGHBOUR_PHASE: Time = 2 * SEC;
/// The largest fraction of a server's capacity that a neighbour takes.
const NEIGHBOUR_SHARE_MAX: f64 = 0.95;
/// The number of steps in which a decaying server loses capacity.
const DECAY_STEPS: u64 = 5;
/// How often live weights are refreshed in the endpoint list.
pub(super) const WEIGHT_REFRESH_INTERVAL: Time = SEC;

impl FleetModel {
    /// Performs a step of a decay and schedules the next one.
    pub(super) fn decay_step(&mut self, now: Time, fault: usize, step: u64) {
        let active = &self.faults[fault];
        if !active.in_effect {
            return;
        }
        let (lowest, lasts) = (active.fault.amount, active.fault.duration);
        // The factor applies to the capacity that the earlier steps have left.
        let factor = decayed_fraction(lowest, step) / decayed_fraction(lowest, step - 1);
        self.change_targets(fault, |server| server.speed *= factor);
        if step < DECAY_STEPS {
            let interval = seconds(lasts) / (DECAY_STEPS + 1);
            self.schedule.add(
                now + interval,
                Task::DecayStep {
                    fault,
                    step: step + 1,
                },
            );
        }
    }

    /// Starts (`present`) or stops a neighbour that takes capacity, and schedules the opposite.
    pub(super) fn set_neighbour(&mut self, now: Time, fault: usize, present: bool) {
        let active = &mut self.faults[fault];
        if now >= active.fault.end() {
            return;
        }
        active.in_effect = present;
        let taken = if present {
            active.fault.amount.min(NEIGHBOUR_SHARE_MAX)
        } else {
            0.0
        };
        self.change_targets(fault, |server| server.neighbour_share = taken);
        let next = Task::ToggleNeighbour {
            fault,
            present: !present,
        };
        self.schedule.add(now + NEIGHBOUR_PHASE, next);
    }

    /// Partitions a flapping zone (`cut`) or makes it reachable again, and schedules the opposite.
    pub(super) fn toggle_zone_cut(&mut self, now: Time, fault: usize, cut: bool) {
        let active = &mut self.faults[fault];
        if now >= active.fault.end() {
            return;
        }
        active.in_effect = cut;
        let (zone, period) = (active.fault.zone, seconds(active.fault.amount));
        self.set_zone_cut(zone, cut);
        self.schedule
            .add(now + period, Task::ToggleZoneCut { fault, cut: !cut });
    }

    /// Publishes the entries of all servers with their current weights.
    pub(super) fn refresh_weights(&mut self, now: Time) {
        self.list.bump_all_versions();
        self.events.push(FleetEvent::EndpointsChanged);
        self.schedule
            .add(now + WEIGHT_REFRESH_INTERVAL, Task::RefreshWeights);
    }
}

/// The fraction of its capacity that a server has left after `step` steps of a decay that ends at
/// `lowest`.
fn decayed_fraction(lowest: f64, step: u64) -> f64 {
    1.0 - (1.0 - lowest) * step as f64 / DECAY_STEPS as f64
}
