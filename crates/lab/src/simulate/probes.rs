//! Probes.

use super::run::Run;
use super::*;

impl Run<'_> {
    pub(super) fn probe(&mut self, b: usize, epoch: u32, server: usize) {
        let hall = self.balancers[b].hall;
        if self.balancers[b].epoch != epoch || self.balancers[b].hand.is_none() {
            return;
        }
        let to = self.world.servers[server].hall;
        let report = match self.world.reaches(hall, to) {
            true => self.report(server),
            false => None,
        };
        // What a probe brings is there a way later, or not within its time: told at once, since figures are old by
        // more than that anyhow.
        self.ask(b, |hand, now, acts| {
            let (passed, report) = (report.is_some(), report.unwrap_or_default());
            hand.probed(now, server as u64, passed, report, acts);
        });
    }

    pub(super) fn report(&mut self, server: usize) -> Option<Report> {
        let fleet = &self.world.scenario.fleet;
        let one = &mut self.world.servers[server];
        // One that takes longer than a probe waits doesn't pass it.
        let slow = one.life == Life::Up && seconds(one.message(fleet, self.now)) > 3 * PROBE;
        if slow { None } else { one.report(fleet, self.now, &mut self.dice) }
    }
}
