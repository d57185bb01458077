//! The start and the end of each kind of fault.

use nettlemux_policy::{SEC, Time};

use super::lifecycle::{CRASH_DETECTION_DELAY, UNRESPONSIVE_DETECTION_DELAY};
use super::schedule::Task;
use super::{FleetEvent, FleetModel};
use crate::fault::{Fault, FaultKind};
use crate::server::{Server, ServerStatus};
use crate::time::seconds;

/// How long a server is down between its stop and its restart in a roll.
const ROLL_DOWNTIME: Time = SEC;
/// The time from the start of a server's drain until it stops, if the fault has no `amount`.
const DEFAULT_DRAIN_SECONDS: f64 = 4.0;
/// The lowest factor on a server's capacity that is reverted. Prevents a division by zero.
const CAPACITY_FACTOR_MIN: f64 = 1e-3;

/// A fault of the scenario and its state.
pub(super) struct ActiveFault {
    pub(super) fault: Fault,
    /// The servers or balancers that it acts on, chosen when it starts.
    pub(super) targets: Vec<usize>,
    /// Whether it has an effect now. A periodic fault has pauses.
    pub(super) in_effect: bool,
}

impl FleetModel {
    /// Schedules the start and the end of all faults.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.scenario.faults.clone().into_iter().enumerate() {
            self.schedule
                .add(fault.start(), Task::BeginFault { fault: index });
            self.schedule
                .add(fault.end(), Task::EndFault { fault: index });
            self.faults.push(ActiveFault {
                fault,
                targets: Vec::new(),
                in_effect: false,
            });
        }
    }

    /// Applies a change to every server that a fault acts on.
    pub(super) fn change_targets(&mut self, fault: usize, change: impl Fn(&mut Server)) {
        for target in &self.faults[fault].targets {
            change(&mut self.servers[*target]);
        }
    }

    /// Starts a fault.
    pub(super) fn begin_fault(&mut self, now: Time, index: usize) {
        let fault = self.faults[index].fault.clone();
        self.faults[index].targets = self.choose_targets(now, &fault);
        self.faults[index].in_effect = true;
        let amount = fault.amount;
        match fault.kind {
            FaultKind::Crash => {
                self.kill_targets(now, index, ServerStatus::Down, CRASH_DETECTION_DELAY)
            }
            FaultKind::Vanish => self.kill_targets(
                now,
                index,
                ServerStatus::Unresponsive,
                UNRESPONSIVE_DETECTION_DELAY,
            ),
            FaultKind::Slow => self.change_targets(index, |server| server.speed *= amount),
            FaultKind::Decay => self.decay_step(now, index, 1),
            FaultKind::Neighbour => self.set_neighbour(now, index, true),
            FaultKind::StuckReports => {
                self.change_targets(index, |server| server.reports_stuck = true)
            }
            FaultKind::AbsurdReports => {
                self.change_targets(index, |server| server.reported_utilization = Some(amount))
            }
            FaultKind::FastErrors => self.change_targets(index, |server| server.fast_errors = true),
            FaultKind::ProbesFail => {
                self.change_targets(index, |server| server.health_checks_fail = true)
            }
            FaultKind::ZoneCut => self.set_zone_cut(fault.zone, true),
            FaultKind::ZoneFlaps => self.toggle_zone_cut(now, index, true),
            FaultKind::StoreSlow => self.store.rate_factor *= amount,
            FaultKind::ListSilent => self.list.outages += 1,
            FaultKind::ListLate => self.list.extra_delay += amount,
            FaultKind::ListWrong => self.hide_targets(index),
            FaultKind::Grow => {}
            FaultKind::Shrink | FaultKind::Roll => self.schedule_drains(now, index),
            FaultKind::RestartInTurn => self.restart_targets(index),
            FaultKind::BalancersDie => self.kill_balancers(index),
            FaultKind::Surge => self.surge *= amount,
            FaultKind::TenantSurge => self.tenant_surge *= amount,
        }
    }

    /// Ends a fault: reverts its effect, unless the effect ends without that.
    pub(super) fn end_fault(&mut self, now: Time, index: usize) {
        let fault = self.faults[index].fault.clone();
        let was_in_effect = std::mem::take(&mut self.faults[index].in_effect);
        let amount = fault.amount;
        match fault.kind {
            FaultKind::Crash | FaultKind::Vanish => self.start_targets(now, index),
            FaultKind::Slow | FaultKind::Decay => {
                self.change_targets(index, |server| {
                    server.speed /= amount.max(CAPACITY_FACTOR_MIN)
                });
            }
            FaultKind::Neighbour => {
                self.change_targets(index, |server| server.neighbour_share = 0.0)
            }
            FaultKind::StuckReports => {
                self.change_targets(index, |server| server.reports_stuck = false)
            }
            FaultKind::AbsurdReports => {
                self.change_targets(index, |server| server.reported_utilization = None)
            }
            FaultKind::FastErrors => {
                self.change_targets(index, |server| server.fast_errors = false)
            }
            FaultKind::ProbesFail => {
                self.change_targets(index, |server| server.health_checks_fail = false)
            }
            FaultKind::ZoneCut => self.set_zone_cut(fault.zone, false),
            FaultKind::ZoneFlaps if was_in_effect => self.set_zone_cut(fault.zone, false),
            FaultKind::StoreSlow => self.store.rate_factor /= amount,
            FaultKind::ListSilent => self.end_discovery_outage(),
            FaultKind::ListLate => self.list.extra_delay -= amount,
            FaultKind::ListWrong => self.unhide_targets(index),
            FaultKind::Surge => self.surge /= amount,
            FaultKind::TenantSurge => self.tenant_surge /= amount,
            FaultKind::ZoneFlaps
            | FaultKind::Grow
            | FaultKind::Shrink
            | FaultKind::Roll
            | FaultKind::RestartInTurn
            | FaultKind::BalancersDie => {}
        }
    }

    /// Chooses the servers or balancers that a fault acts on. For [`FaultKind::Grow`], adds the new
    /// servers and returns them.
    fn choose_targets(&mut self, now: Time, fault: &Fault) -> Vec<usize> {
        let count = match fault.kind {
            FaultKind::Grow => return self.join(now, fault.share),
            FaultKind::RestartInTurn | FaultKind::BalancersDie => self.scenario.balancers.number,
            _ => self.servers.len(),
        };
        fault.targets(count, &mut self.rng)
    }

    fn kill_targets(
        &mut self,
        now: Time,
        index: usize,
        status: ServerStatus,
        detection_delay: Time,
    ) {
        for server in self.faults[index].targets.clone() {
            self.kill(server, status);
            self.schedule
                .add(now + detection_delay, Task::DelistDead { server });
        }
    }

    fn start_targets(&mut self, now: Time, index: usize) {
        for server in self.faults[index].targets.clone() {
            self.start(now, server);
        }
    }

    fn hide_targets(&mut self, index: usize) {
        for server in self.faults[index].targets.clone() {
            self.list.hide(server);
            self.publish_entry(server);
        }
    }

    fn unhide_targets(&mut self, index: usize) {
        for server in self.faults[index].targets.clone() {
            self.list.unhide(server);
            self.publish_entry(server);
        }
    }

    fn end_discovery_outage(&mut self) {
        self.list.outages -= 1;
        self.events.push(FleetEvent::DiscoveryRecovered);
    }

    /// Schedules the drains of servers one after another over the fault's duration. In a roll, also
    /// schedules their restarts.
    fn schedule_drains(&mut self, now: Time, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let drain_time = seconds(if fault.amount > 0.0 {
            fault.amount
        } else {
            DEFAULT_DRAIN_SECONDS
        });
        for (position, server) in targets.iter().copied().enumerate() {
            let at = now + seconds(fault.duration) * position as u64 / targets.len() as u64;
            let until = at + drain_time;
            self.schedule.add(
                at,
                Task::Drain {
                    server,
                    drain_behavior: fault.drain_behavior,
                    until,
                },
            );
            if fault.kind == FaultKind::Roll {
                self.schedule
                    .add(until + ROLL_DOWNTIME, Task::Start { server });
            }
        }
    }

    /// Requests the restarts of all targeted balancers at once. The driver performs them one after
    /// another, since only the driver knows when a balancer is running again.
    fn restart_targets(&mut self, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let downtime = seconds(fault.amount);
        self.events.extend(
            targets
                .iter()
                .map(|balancer| FleetEvent::BalancerRestartRequested {
                    balancer: *balancer,
                    downtime,
                }),
        );
    }

    fn kill_balancers(&mut self, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let downtime = seconds(fault.duration);
        self.events
            .extend(targets.iter().map(|balancer| FleetEvent::BalancerKilled {
                balancer: *balancer,
                downtime,
            }));
    }
}
