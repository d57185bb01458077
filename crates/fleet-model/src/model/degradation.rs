//! Faults that act step by step, or on and off, and the regular refresh of live weights.

use nettlemux_policy::{SEC, Time};

use super::schedule::Task;
use super::{FleetEvent, FleetModel};
use crate::time::seconds;

/// How long a neighbour stays, and stays away.
const NEIGHBOUR_PERIOD: Time = 2 * SEC;
/// The most capacity that a neighbour takes.
const NEIGHBOUR_SHARE_MAX: f64 = 0.95;
/// Steps in which a decaying server loses its capacity.
const DECAY_STEPS: u64 = 5;
/// How often live weights are listed anew.
pub(super) const WEIGHT_INTERVAL: Time = SEC;

impl FleetModel {
    /// Takes the next step of a decay and schedules the one after it.
    pub(super) fn decay(&mut self, now: Time, fault: usize, step: u64) {
        let active = &self.faults[fault];
        if !active.acting {
            return;
        }
        let (lowest, lasts) = (active.fault.amount, active.fault.lasts);
        // Each step takes its part of what the steps before it have left.
        let factor = decayed(lowest, step) / decayed(lowest, step - 1);
        self.change_targets(fault, |server| server.speed *= factor);
        if step < DECAY_STEPS {
            let interval = seconds(lasts) / (DECAY_STEPS + 1);
            self.schedule.add(
                now + interval,
                Task::Decay {
                    fault,
                    step: step + 1,
                },
            );
        }
    }

    /// A neighbour begins or stops to take its part of the capacity; the opposite is scheduled.
    pub(super) fn set_neighbour(&mut self, now: Time, fault: usize, present: bool) {
        let active = &mut self.faults[fault];
        if now >= active.fault.ends() {
            return;
        }
        active.acting = present;
        let taken = if present {
            active.fault.amount.min(NEIGHBOUR_SHARE_MAX)
        } else {
            0.0
        };
        self.change_targets(fault, |server| server.neighbour = taken);
        let next = Task::Neighbour {
            fault,
            present: !present,
        };
        self.schedule.add(now + NEIGHBOUR_PERIOD, next);
    }

    /// A flapping zone is cut off or reachable again; the opposite is scheduled.
    pub(super) fn flap_zone(&mut self, now: Time, fault: usize, cut: bool) {
        let active = &mut self.faults[fault];
        if now >= active.fault.ends() {
            return;
        }
        active.acting = cut;
        let (zone, period) = (active.fault.zone, seconds(active.fault.amount));
        self.set_zone_cut(zone, cut);
        self.schedule
            .add(now + period, Task::FlapZone { fault, cut: !cut });
    }

    /// Lists all servers anew with their weights as they are now.
    pub(super) fn refresh_weights(&mut self, now: Time) {
        self.list.touch_all();
        self.events.push(FleetEvent::EndpointsChanged);
        self.schedule
            .add(now + WEIGHT_INTERVAL, Task::RefreshWeights);
    }
}

/// The part of its capacity that a server has left after so many steps of a decay.
fn decayed(lowest: f64, step: u64) -> f64 {
    1.0 - (1.0 - lowest) * step as f64 / DECAY_STEPS as f64
}
