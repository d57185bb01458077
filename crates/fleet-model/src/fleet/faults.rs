//! The beginning and the end of each kind of fault.

use nettlemux_policy::{SEC, Time};

use super::lifecycle::{CRASH_NOTICE, SILENCE_NOTICE};
use super::schedule::Task;
use super::{Happening, World};
use crate::fault::{Fault, What};
use crate::scenario::seconds;
use crate::server::{Life, Server};

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

impl World {
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
            What::Crash => self.kill_targets(now, index, Life::Down, CRASH_NOTICE),
            What::Vanish => self.kill_targets(now, index, Life::Silent, SILENCE_NOTICE),
            What::Slow => self.change_targets(index, |server| server.speed *= amount),
            What::Decay => self.decay(now, index, 1),
            What::Neighbour => self.set_neighbour(now, index, true),
            What::StuckReports => self.change_targets(index, |server| server.stuck = true),
            What::AbsurdReports => {
                self.change_targets(index, |server| server.absurd = Some(amount))
            }
            What::FastErrors => self.change_targets(index, |server| server.fast_errors = true),
            What::ProbesFail => self.change_targets(index, |server| server.probes_fail = true),
            What::ZoneCut => self.set_zone_cut(fault.zone, true),
            What::ZoneFlaps => self.flap_zone(now, index, true),
            What::StoreSlow => self.store.health *= amount,
            What::ListSilent => self.list.outages += 1,
            What::ListLate => self.list.extra_delay += amount,
            What::ListWrong => self.hide_targets(index),
            What::Grow => {}
            What::Shrink | What::Roll => self.schedule_drains(now, index),
            What::RestartInTurn => self.restart_targets(index),
            What::BalancersDie => self.kill_balancers(index),
            What::Surge => self.surge *= amount,
            What::TenantSurge => self.tenant_surge *= amount,
        }
    }

    /// Ends a fault: takes back what it has done and is not over by itself.
    pub(super) fn end_fault(&mut self, now: Time, index: usize) {
        let fault = self.faults[index].fault.clone();
        let was_acting = std::mem::take(&mut self.faults[index].acting);
        let amount = fault.amount;
        match fault.what {
            What::Crash | What::Vanish => self.start_targets(now, index),
            What::Slow | What::Decay => {
                self.change_targets(index, |server| server.speed /= amount.max(FACTOR_MIN));
            }
            What::Neighbour => self.change_targets(index, |server| server.neighbour = 0.0),
            What::StuckReports => self.change_targets(index, |server| server.stuck = false),
            What::AbsurdReports => self.change_targets(index, |server| server.absurd = None),
            What::FastErrors => self.change_targets(index, |server| server.fast_errors = false),
            What::ProbesFail => self.change_targets(index, |server| server.probes_fail = false),
            What::ZoneCut => self.set_zone_cut(fault.zone, false),
            What::ZoneFlaps if was_acting => self.set_zone_cut(fault.zone, false),
            What::StoreSlow => self.store.health /= amount,
            What::ListSilent => self.end_discovery_outage(),
            What::ListLate => self.list.extra_delay -= amount,
            What::ListWrong => self.unhide_targets(index),
            What::Surge => self.surge /= amount,
            What::TenantSurge => self.tenant_surge /= amount,
            What::ZoneFlaps
            | What::Grow
            | What::Shrink
            | What::Roll
            | What::RestartInTurn
            | What::BalancersDie => {}
        }
    }

    /// The servers or balancers that a fault acts on; for growth, the servers that join.
    fn choose_targets(&mut self, now: Time, fault: &Fault) -> Vec<usize> {
        let count = match fault.what {
            What::Grow => return self.join(now, fault.share),
            What::RestartInTurn | What::BalancersDie => self.scenario.balancers.number,
            _ => self.servers.len(),
        };
        fault.meets(count, &mut self.rng)
    }

    fn kill_targets(&mut self, now: Time, index: usize, life: Life, notice: Time) {
        for server in self.faults[index].targets.clone() {
            self.kill(server, life);
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
        self.happened.push(Happening::Heard);
    }

    /// Schedules the drains of servers one after another over the fault's time, with their return where they are rolled.
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
                    leaving: fault.leaving,
                    until,
                },
            );
            if fault.what == What::Roll {
                self.schedule
                    .add(until + ROLL_DOWNTIME, Task::Start { server });
            }
        }
    }

    /// Asks for the restart of balancers, all now: the driver does them one after another, since only it knows when one
    /// is back.
    fn restart_targets(&mut self, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let away = seconds(fault.amount);
        self.happened
            .extend(targets.iter().map(|balancer| Happening::Restart {
                balancer: *balancer,
                away,
            }));
    }

    fn kill_balancers(&mut self, index: usize) {
        let ActiveFault { fault, targets, .. } = &self.faults[index];
        let away = seconds(fault.lasts);
        self.happened
            .extend(targets.iter().map(|balancer| Happening::Kill {
                balancer: *balancer,
                away,
            }));
    }
}
