//! Connections.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    pub(super) fn seat(&mut self, flow: FlowId, client: u64, server: usize) {
        let Some(known) = self.crowd.get(client) else { return };
        self.world.servers[server].seat(flow, known.guest());
    }

    /// A connection is up: it lasts until its client has had what it wanted, and its load changes.
    pub(super) fn opened(&mut self, flow: FlowId, client: u64) {
        let first_time = self.crowd.get(client).is_some_and(|c| !c.returning && c.tries == 0);
        if first_time && self.now == 0 {
            let ends = self.crowd.get(client).expect("there").ends;
            self.plan(ends, What::LifeOver(client));
        }
        if let Some(wait) = self.crowd.first_change(&self.world.scenario) {
            self.plan(self.now + wait, What::LoadChange(flow));
        }
    }

    pub(super) fn gone_from(&mut self, flow: FlowId, server: usize) {
        self.world.servers[server].rise(flow);
    }

    pub(super) fn ended_by_server(&mut self, flow: FlowId, back: Back) {
        let live = &self.flows[&flow];
        let (b, client, Some((number, server))) = (live.balancer, live.client, live.at) else { return };
        let moved = back == Back::SentAway;
        self.see(Seen::Ended { at: self.now, flow, by: Ender::Server, told: moved, sound: false });
        self.gone_from(flow, server);
        let end = back.end();
        self.ask(b, |hand, now, acts| {
            hand.ended(now, (flow, number), server as u64, end, Report::default(), acts);
        });
        self.close(flow);
        self.gather.lost += u64::from(!moved);
        let wait = self.crowd.comes_again(self.now, client, moved);
        self.come_again(client, wait);
    }

    /// A balancer's word to a client: it goes to another server by way of the front.
    pub(super) fn send_away(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get_mut(&flow) else { return };
        if live.phase != Phase::Open {
            live.moving = true;
            return;
        }
        let told = self.who != Who::Mischief(Mischief::CutsWithoutMove);
        self.ended_by_balancer(flow, told, true, End::CalledOff);
        self.gather.moves += 1;
    }

    pub(super) fn silent(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Open) else { return };
        let Some((_, server)) = live.at else { return };
        let (hall, to) = (self.balancers[live.balancer].hall, &self.world.servers[server]);
        // It may have come back meanwhile: a cut that is over, not a machine that was lost.
        if to.guests.contains_key(&flow) && self.world.reaches(hall, to.hall) {
            return;
        }
        self.ended_by_balancer(flow, true, false, End::Cut);
        self.gather.lost += 1;
    }

    pub(super) fn ended_by_balancer(&mut self, flow: FlowId, told: bool, sound: bool, end: End) {
        let live = &self.flows[&flow];
        let (b, client, Some((number, server))) = (live.balancer, live.client, live.at) else { return };
        self.see(Seen::Ended { at: self.now, flow, by: Ender::Balancer, told, sound });
        self.gone_from(flow, server);
        self.ask(b, |hand, now, acts| {
            hand.ended(now, (flow, number), server as u64, (end, false), Report::default(), acts);
        });
        self.close(flow);
        let wait = self.crowd.comes_again(self.now, client, true);
        self.come_again(client, wait);
    }
}
