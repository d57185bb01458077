//! The beginning and the end of each kind of fault.

use nettlemux_policy::{SEC, Time};

use super::lifecycle::{CRASH_NOTICE, SILENCE_NOTICE};
use super::schedule::Task;
use super::{FleetEvent, FleetModel};
use crate::fault::{Fault, FaultKind};
use crate::server::{Server, ServerStatus};
use crate::time::seconds;

/// How long a rolled server is away between its end and its cold start.
const ROLL_DOWNTIME: Time = SEC;
/// Seconds from the beginning of a drain to the end of a server, where the fault does not say.
const DRAIN_SECONDS: f64 = 4.0;
/// The least factor on a server's capacity that is taken back; guards against a division by zero.
const FACTOR_MIN: f64 = 1e-3;

/// A fault of the scenario with its state.
pub(super) struct ActiveFault {
    pub(super) fault: Fault,
    /// The servers or balancers that it acts on, chosen when it begins.
    pub(super) targets: Vec<usize>,
    /// It acts now; faults that come and go do not always.
    pub(super) acting: bool,
}

impl FleetModel {
    /// Schedules the beginning and the end of all faults.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.scenario.faults.clone().into_iter().enumerate() {
            self.schedule
                .add(fault.begins(), Task::BeginFault { fault: index });
            self.schedule
                .add(fault.ends(), Task::EndFault { fault: index });
            self.faults.push(ActiveFault {
                fault,
                targets: Vec::new(),
                acting: false,
            });
        }
    }

    /// Applies a change to every server that a fault acts on.
    pub(super) fn change_targets(&mut self, fault: usize, change: impl Fn(&mut Server)) {
        for target in &self.faults[fault].targets {
            change(&mut self.servers[*target]);
        }
    }

    /// Begins a fault.
    pub(super) fn begin_fault(&mut self, now: Time, index: usize) {
        let fault = self.faults[index].fault.clone();
        self.faults[index].targets = self.choose_targets(now, &fault);
        self.faults[index].acting = true;
        let amount = fault.amount;
        match fault.what {
            FaultKind::Crash => self.kill_targets(now, index, ServerStatus::Down, CRASH_NOTICE),
            FaultKind::Vanish => {
                self.kill_targets(now, index, ServerStatus::Unresponsive, SILENCE_NOTICE)
            }
            FaultKind::Slow => self.change_targets(index, |server| server.speed *= amount),
            FaultKind::Decay => self.decay(now, index, 1),
            FaultKind::Neighbour => self.set_neighbour(now, index, true),
            FaultKind::StuckReports => self.change_targets(index, |server| server.stuck = true),
            FaultKind::AbsurdReports => {
                self.change_targets(index, |server| server.absurd = Some(amount))
            }
            FaultKind::FastErrors => self.change_targets(index, |server| server.fast_errors = true),
            FaultKind::ProbesFail => self.change_targets(index, |server| server.probes_fail = true),
            FaultKind::ZoneCut => self.set_zone_cut(fault.zone, true),
            FaultKind::ZoneFlaps => self.flap_zone(now, index, true),
            FaultKind::StoreSlow => self.store.health *= amount,
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

    /// Ends a fault: takes back what it has done and is not over by itself.
    pub(super) fn end_fault(&mut self, now: Time, index: usize) {
        let fault = self.faults[index].fault.clone();
        let was_acting = std::mem::take(&mut self.faults[index].acting);
        let amount = fault.amount;
        match fault.what {
            FaultKind::Crash | FaultKind::Vanish => self.start_targets(now, index),
            FaultKind::Slow | FaultKind::Decay => {
                self.change_targets(index, |server| server.speed /= amount.max(FACTOR_MIN));
            }
            FaultKind::Neighbour => self.change_targets(index, |server| server.neighbour = 0.0),
            FaultKind::StuckReports => self.change_targets(index, |server| server.stuck = false),
            FaultKind::AbsurdReports => self.change_targets(index, |server| server.absurd = None),
            FaultKind::FastErrors => {
                self.change_targets(index, |server| server.fast_errors = false)
            }
            FaultKind::ProbesFail => {
                self.change_targets(index, |server| server.probes_fail = false)
            }
            FaultKind::ZoneCut => self.set_zone_cut(fault.zone, false),
            FaultKind::ZoneFlaps if was_acting => self.set_zone_cut(fault.zone, false),
            FaultKind::StoreSlow => self.store.health /= amount,
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

    /// The servers or balancers that a fault acts on; for growth, the servers that join.
    fn choose_targets(&mut self, now: Time, fault: &Fault) -> Vec<usize> {
        let count = match fault.what {
            FaultKind::Grow => return self.join(now, fault.share),
            FaultKind::RestartInTurn | FaultKind::BalancersDie => self.scenario.balancers.number,
            _ => self.servers.len(),
        };
        fault.targets(count, &mut self.rng)
    }

    fn kill_targets(&mut self, now: Time, index: usize, status: ServerStatus, notice: Time) {
        for server in self.faults[index].targets.clone() {
            self.kill(server, status);
            self.schedule.add(now + notice, Task::ListDeath { server });
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
            self.relist(server);
        }
    }

    fn unhide_targets(&mut self, index: usize) {
        for server in self.faults[index].targets.clone() {
            self.list.unhide(server);
            self.relist(server);
        }
    }

    fn end_discovery_outage(&mut self) {
        self.list.outages -= 1;
        self.events.push(FleetEvent::DiscoveryRecovered);
    }

    /// Schedules the drains of servers one after another over the fault's time, with their return
    /// where they are rolled.
    fn schedule_drains(&mut self, now: Time, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let drain_time = seconds(if fault.amount > 0.0 {
            fault.amount
        } else {
            DRAIN_SECONDS
        });
        for (position, server) in targets.iter().copied().enumerate() {
            let at = now + seconds(fault.lasts) * position as u64 / targets.len() as u64;
            let until = at + drain_time;
            self.schedule.add(
                at,
                Task::Drain {
                    server,
                    drain_behavior: fault.drain_behavior,
                    until,
                },
            );
            if fault.what == FaultKind::Roll {
                self.schedule
                    .add(until + ROLL_DOWNTIME, Task::Start { server });
            }
        }
    }

    /// Asks for the restart of balancers, all now: the driver does them one after another, since
    /// only it knows when one is back.
    fn restart_targets(&mut self, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let away = seconds(fault.amount);
        self.events.extend(
            targets
                .iter()
                .map(|balancer| FleetEvent::BalancerRestartRequested {
                    balancer: *balancer,
                    away,
                }),
        );
    }

    fn kill_balancers(&mut self, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let away = seconds(fault.lasts);
        self.events
            .extend(targets.iter().map(|balancer| FleetEvent::BalancerKilled {
                balancer: *balancer,
                away,
            }));
    }
}
