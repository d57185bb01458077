//! The list.

use super::event::*;
use super::run::Run;
use super::*;

impl Run<'_> {
    pub(super) fn spread_list(&mut self) {
        for b in 0..self.balancers.len() {
            if self.balancers[b].hand.is_some()
                && let Some(delay) = self.world.discovery()
            {
                let epoch = self.balancers[b].epoch;
                self.plan(self.now + delay, What::Told(b, epoch));
            }
        }
    }

    /// A balancer is told what has changed since it was told last.
    pub(super) fn tell(&mut self, b: usize) {
        let version = self.balancers[b].version;
        let entries = self.world.since(version);
        if self.balancers[b].hand.is_none() || version > 0 && entries.is_empty() {
            return;
        }
        self.balancers[b].version = self.world.version();
        for entry in &entries {
            let (server, ready) = (entry.rs as usize, entry.state == State::Ready);
            self.see(Seen::Told { at: self.now, balancer: b, server, ready });
        }
        self.ask(b, |hand, now, _| hand.list(now, &entries, version == 0));
    }
}
