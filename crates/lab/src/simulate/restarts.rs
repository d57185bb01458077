//! Restarts.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    pub(super) fn restart(&mut self, b: usize, away: Time) {
        if self.balancers[b].hand.is_none() {
            return;
        }
        self.front.dies(b, self.now + DEALT);
        let epoch = self.balancers[b].epoch;
        self.plan(self.now + MOVES_FROM, What::MoveSome(b, epoch, self.now));
        self.plan(self.now + ENDS, What::Dies(b, epoch, true, away));
    }

    /// Some of the clients of a balancer that is to end are sent away, so that all have gone in time.
    pub(super) fn move_some(&mut self, b: usize, epoch: u32, since: Time) {
        if self.balancers[b].epoch != epoch {
            return;
        }
        let passed = self.now - since;
        let of_it: Vec<FlowId> =
            self.flows.iter().filter(|f| f.1.balancer == b && !f.1.moving).map(|(id, _)| *id).collect();
        let turns = (MOVES_TO.saturating_sub(passed) / STEP).max(1) as usize;
        for flow in of_it.iter().take(of_it.len().div_ceil(turns)) {
            self.send_away(*flow);
        }
        if passed >= LAST_ANSWER {
            let mut acts = Vec::new();
            let owed: BTreeSet<FlowId> = match &mut self.balancers[b].hand {
                Some(hand) => hand.cut_short(self.now, &mut acts).into_iter().collect(),
                None => BTreeSet::new(),
            };
            acts.into_iter().for_each(|act| self.act(b, act));
            for flow in owed {
                match self.flows.get(&flow).and_then(|live| live.at) {
                    Some((number, _)) => self.time_up(flow, number),
                    None => self.ask(b, |hand, now, acts| hand.abort(now, flow, acts)),
                }
            }
        }
        self.plan(self.now + STEP, What::MoveSome(b, epoch, since));
    }

    pub(super) fn dies(&mut self, b: usize, planned: bool, away: Time) {
        if self.balancers[b].hand.take().is_none() {
            return;
        }
        let one = &mut self.balancers[b];
        one.epoch += 1;
        self.see(Seen::BalancerEnded { at: self.now, balancer: b, planned });
        if !planned {
            self.front.dies(b, self.now + seconds(self.world.scenario.balancers.notice));
        }
        let held: Vec<FlowId> = self.flows.iter().filter(|f| f.1.balancer == b).map(|(id, _)| *id).collect();
        for flow in held {
            let live = &self.flows[&flow];
            let (client, phase, at) = (live.client, live.phase, live.at);
            if let Some((_, server)) = at {
                self.gone_from(flow, server);
            }
            self.close(flow);
            match phase {
                Phase::Settled => {}
                Phase::Open => {
                    self.gather.lost += 1;
                    let wait = self.crowd.comes_again(self.now, client, false);
                    self.come_again(client, wait);
                }
                Phase::Owed => {
                    let wait = match self.crowd.kind(client, &self.world.scenario) {
                        // Nobody knows whether it has run.
                        Kind::OnceOnly => self.crowd.aborted(client, &self.world.scenario),
                        _ => self.crowd.rejected(client, None, &self.world.scenario),
                    };
                    self.come_again(client, wait);
                }
            }
        }
        self.plan(self.now + away.max(MS), What::Back(b));
    }
}
