//! Clients.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    pub(super) fn try_once(&mut self, client: u64) {
        let Some(known) = self.crowd.get(client).cloned() else { return };
        if self.of_client.contains_key(&client) || known.gone {
            return;
        }
        let b = self.front.deal(self.now, known.hall).filter(|b| self.balancers[*b].hand.is_some());
        let Some(b) = b else {
            let wait = self.crowd.refused();
            return self.plan(self.now + wait, What::Try(client));
        };
        if known.returning {
            self.gather.returned(self.now);
        }
        let wait = seconds(self.world.scenario.types[known.service_type].wait);
        let flow = self.flow(client, self.now + wait);
        let (id, give_up) = (flow.id, flow.give_up);
        let kind = self.crowd.kind(client, &self.world.scenario);
        let (phase, at) = (Phase::Owed, None);
        self.flows.insert(id, Live { client, balancer: b, taken: self.now, phase, at, moving: false });
        self.of_client.insert(client, id);
        self.gather.flows += 1;
        self.see(Seen::Taken { at: self.now, balancer: b, flow: id, kind, give_up });
        self.plan(give_up + PATIENCE, What::GivesUp(id));
        if known.told {
            self.gather.came_when_told(self.now);
        }
        let target = self.now + seconds(self.world.scenario.types[known.service_type].target);
        let key = self.key(client, &known);
        let who = nettlemux_hand::Who { key, client, retry: known.tries > 0, target };
        self.ask(b, |hand, now, acts| hand.take(now, flow, who, acts));
    }

    /// Whose turn a client's flow takes at the door.
    pub(super) fn key(&self, id: u64, client: &Client) -> u64 {
        match self.world.scenario.door.as_ref().map(|door| door.by) {
            Some(By::Customer) => client.customer as u64,
            _ => id,
        }
    }

    pub(super) fn flow(&mut self, client: u64, give_up: Time) -> Flow {
        let id = self.next_flow;
        self.next_flow += 1;
        let known = self.crowd.get(client).expect("it wants something");
        Flow {
            id,
            service_type: known.service_type,
            customer: known.customer,
            group: known.group.map(|group| format!("g{group}")),
            returning: known.returning,
            taken: self.now,
            give_up,
            connects: Vec::new(),
        }
    }

    pub(super) fn gives_up(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Owed) else { return };
        let client = live.client;
        self.gather.unanswered += 1;
        self.leaves(flow);
        let again = self.crowd.aborted(client, &self.world.scenario);
        self.come_again(client, again);
    }

    /// The client of a flow that is owed an answer goes away.
    pub(super) fn leaves(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get_mut(&flow) else { return };
        live.phase = Phase::Settled;
        let (b, client, out) = (live.balancer, live.client, live.at.is_some());
        self.of_client.remove(&client);
        self.see(Seen::Left { at: self.now, flow });
        self.ask(b, |hand, now, acts| hand.left(now, flow, acts));
        if !out {
            self.close(flow);
        }
    }

    pub(super) fn life_over(&mut self, client: u64) {
        if let Some(flow) = self.of_client.get(&client).copied() {
            let live = &self.flows[&flow];
            let (phase, b) = (live.phase, live.balancer);
            match (phase, live.at) {
                (Phase::Open, Some((number, server))) => {
                    self.see(Seen::Ended { at: self.now, flow, by: Ender::Client, told: false, sound: true });
                    self.gone_from(flow, server);
                    let end = (End::Done, false);
                    self.ask(b, |hand, now, acts| {
                        let report = Report::default();
                        hand.ended(now, (flow, number), server as u64, end, report, acts);
                    });
                    self.close(flow);
                }
                _ => self.leaves(flow),
            }
        }
        self.crowd.over(client);
    }

    pub(super) fn load_change(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Open) else { return };
        let (client, b, Some((_, server))) = (live.client, live.balancer, live.at) else { return };
        let Some((load, wait)) = self.crowd.change_load(client, &self.world.scenario) else { return };
        self.world.servers[server].set_load(flow, load);
        if let Some(hand) = &mut self.balancers[b].hand {
            hand.told_load(flow, load);
        }
        self.plan(self.now + wait, What::LoadChange(flow));
    }

    pub(super) fn come_again(&mut self, client: u64, wait: Option<Time>) {
        match wait {
            Some(wait) => self.plan(self.now + wait, What::Try(client)),
            None => self.gather.clients_lost += 1,
        }
    }
}
