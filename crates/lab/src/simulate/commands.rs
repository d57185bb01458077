//! Acts.

use super::event::*;
use super::run::Run;
use super::*;

impl Run<'_> {
    /// Asks a balancer's hand and carries out what it says.
    pub(super) fn ask(&mut self, b: usize, ask: impl FnOnce(&mut Hand<Box<dyn Brain>>, Time, &mut Vec<Act>)) {
        let now = self.now;
        let Some(hand) = &mut self.balancers[b].hand else { return };
        let mut acts = Vec::new();
        ask(hand, now, &mut acts);
        for act in acts {
            self.act(b, act);
        }
        let one = &mut self.balancers[b];
        let Some(wait) = one.hand.as_ref().and_then(|hand| hand.wait(now)) else { return };
        let at = now + wait.max(MS);
        if one.due.is_none_or(|due| at < due) {
            one.due = Some(at);
            let epoch = one.epoch;
            self.plan(at, What::Due(b, epoch));
        }
    }

    pub(super) fn act(&mut self, b: usize, act: Act) {
        match act {
            Act::Connect { flow, rs, number, limit, .. } => self.connect(flow, (number, rs as usize), limit),
            Act::Reject { flow, come_back } => self.say(flow, Final::Rejected, come_back),
            Act::Abort { flow } => self.say(flow, Final::Aborted, None),
            Act::Move { flow } => self.send_away(flow),
            Act::CallOff { flow, .. } => self.call_off(flow),
            Act::Probe { rs } => {
                let server = rs as usize;
                let (hall, epoch) = (self.balancers[b].hall, self.balancers[b].epoch);
                self.gather.probes += 1;
                let way = self.world.way(hall, self.world.servers[server].hall);
                self.plan(self.now + way, What::Probe(b, epoch, server));
            }
            // The list is told whenever it changes.
            Act::AskList | Act::Tell(_) => {}
        }
    }
}
