//! Attempts.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    pub(super) fn connect(&mut self, flow: FlowId, (number, server): (usize, usize), limit: Time) {
        let Some(live) = self.flows.get_mut(&flow) else { return };
        live.at = Some((number, server));
        self.gather.connects += 1;
        let way = self.way(flow, server);
        self.plan(self.now + way, What::Reaches(flow, number));
        self.plan(self.now + limit.max(1), What::TimeUp(flow, number));
    }

    pub(super) fn way(&self, flow: FlowId, server: usize) -> Time {
        let hall = self.flows.get(&flow).map_or(0, |live| self.balancers[live.balancer].hall);
        self.world.way(hall, self.world.servers[server].hall)
    }

    pub(super) fn reaches(&mut self, flow: FlowId, number: usize) {
        let Some(live) = self.flows.get(&flow) else { return };
        let Some((_, server)) = live.at.filter(|at| at.0 == number) else { return };
        if live.phase == Phase::Open {
            return;
        }
        let (b, client) = (live.balancer, live.client);
        let hall = self.balancers[b].hall;
        let way = self.way(flow, server);
        let (offer, happened) = self.world.offer(self.now, hall, server);
        let back = match offer {
            // Nothing answers the dial: the balancer finds out by itself.
            Offer::Silence => {
                self.plan(self.now + seconds(file::DIAL), What::ComesBack(flow, number, Back::Unreachable));
                return;
            }
            Offer::Refused => Back::Refused,
            Offer::Busy => Back::Busy,
            Offer::Error => Back::Error,
            Offer::Up(_) => Back::Up,
        };
        if back != Back::Refused {
            self.see(Seen::Connect { at: self.now, balancer: b, flow, number, server });
        }
        self.count += 1;
        if self.who == Who::Mischief(Mischief::ConnectsTwice) && self.count.is_multiple_of(10) {
            let other = (server + 1) % self.world.servers.len();
            self.see(Seen::Connect { at: self.now, balancer: b, flow, number: number + 1, server: other });
        }
        let took = match offer {
            Offer::Up(took) => {
                self.seat(flow, client, server);
                seconds(took)
            }
            _ => 0,
        };
        self.plan(self.now + took + way, What::ComesBack(flow, number, back));
        self.happen(happened);
    }

    pub(super) fn comes_back(&mut self, flow: FlowId, number: usize, back: Back) {
        let Some(live) = self.flows.get(&flow) else { return };
        let Some((_, server)) = live.at.filter(|at| at.0 == number) else { return };
        if live.phase == Phase::Open {
            // Its server has ended the connection.
            return if matches!(back, Back::Cut | Back::SentAway) {
                self.ended_by_server(flow, back)
            };
        }
        // A server that dies while it sets a connection up cuts it; its answer is lost with it.
        if back == Back::Up && !self.world.servers[server].guests.contains_key(&flow) {
            return;
        }
        if !self.world.reaches(self.balancers[live.balancer].hall, self.world.servers[server].hall)
            && back != Back::Unreachable
        {
            return;
        }
        let (end, never_ran) = back.end();
        if back == Back::Up {
            return self.up(flow, server);
        }
        self.connect_ended(flow, (number, server), (end, never_ran));
    }

    pub(super) fn up(&mut self, flow: FlowId, server: usize) {
        let live = self.flows.get_mut(&flow).expect("looked at");
        let (b, client, owed) = (live.balancer, live.client, live.phase == Phase::Owed);
        let number = live.at.map_or(0, |at| at.0);
        if !owed {
            // Nobody is there any more: closed at once.
            return self.connect_ended(flow, (number, server), (End::CalledOff, false));
        }
        live.phase = Phase::Open;
        let (taken, moving) = (live.taken, live.moving);
        self.see(Seen::ConnectEnded { at: self.now, flow, number, never_ran: false });
        self.answered(flow, Final::Established, taken);
        self.crowd.established(client);
        let load = self.crowd.get(client).map(|known| known.load);
        self.ask(b, |hand, now, acts| {
            hand.established(now, flow, now - taken, acts);
            if let Some(load) = load {
                hand.told_load(flow, load);
            }
        });
        self.opened(flow, client);
        if moving {
            self.send_away(flow);
        }
    }

    pub(super) fn time_up(&mut self, flow: FlowId, number: usize) {
        let out = self.flows.get(&flow).filter(|live| live.phase != Phase::Open).and_then(|live| live.at);
        if let Some((_, server)) = out.filter(|at| at.0 == number) {
            self.connect_ended(flow, (number, server), (End::TimedOut, false));
        }
    }

    pub(super) fn call_off(&mut self, flow: FlowId) {
        let out = self.flows.get(&flow).filter(|live| live.phase == Phase::Settled).and_then(|live| live.at);
        if let Some((number, server)) = out {
            self.connect_ended(flow, (number, server), (End::CalledOff, false));
        }
    }

    /// A connect is out no more: its server is let go before the hand is told.
    pub(super) fn connect_ended(
        &mut self,
        flow: FlowId,
        (number, server): (usize, usize),
        (end, never_ran): (End, bool),
    ) {
        let Some(live) = self.flows.get_mut(&flow) else { return };
        live.at = None;
        let (b, settled) = (live.balancer, live.phase == Phase::Settled);
        self.gone_from(flow, server);
        self.see(Seen::ConnectEnded { at: self.now, flow, number, never_ran });
        self.ask(b, |hand, now, acts| {
            let report = Report::default();
            hand.ended(now, (flow, number), server as u64, (end, never_ran), report, acts);
        });
        if settled {
            self.close(flow);
        }
    }
}
