//! Start of the run and of balancers.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    pub(super) fn begin(&mut self) {
        let scenario = &self.world.scenario;
        let (name, standing) = (scenario.name.clone(), scenario.clients.standing);
        let program = format!("{} in virtual time", self.who.name());
        self.see(Seen::Header { version: VERSION, scenario: name, seed: self.seed, program });
        for server in 0..self.world.servers.len() {
            self.see_server(server);
        }
        for balancer in 0..self.balancers.len() {
            self.start(balancer);
        }
        for _ in 0..standing {
            self.stand();
        }
        self.plan(TICK, What::Tick);
        self.plan(SAMPLE, What::Sample);
        let wait = self.crowd.next_arrival(&self.world);
        self.plan(wait, What::Arrival);
    }

    pub(super) fn see_server(&mut self, server: usize) {
        let one = &self.world.servers[server];
        let (hall, cell, machine) = (one.hall, one.cell, one.machine);
        self.see(Seen::Server { at: self.now, server, hall, cell, machine });
    }

    /// A balancer starts from nothing, with the list as it stands.
    pub(super) fn start(&mut self, b: usize) {
        let (hall, epoch) = (self.balancers[b].hall, self.balancers[b].epoch);
        let seed = self.seed ^ (b as u64 + 1).wrapping_mul(EPOCH_SEED) ^ u64::from(epoch);
        let settings = &self.settings[hall];
        let brain = match self.who {
            Who::Brain(kind) => kind.brain(&Settings::within(settings).expect("an object"), seed),
            Who::Mischief(mischief) => mischief.brain(settings, seed),
        };
        let mut hand = Hand::new(brain);
        if let Some(keys) = &self.world.scenario.door {
            let longest = seconds(self.world.scenario.limits.come_back);
            hand = hand.with_door(Door::new(file::door(keys, longest), seed), longest > 0);
        }
        let one = &mut self.balancers[b];
        (one.hand, one.version, one.due) = (Some(hand), 0, None);
        self.tell(b);
    }

    /// A connection that stood before the run: where the load was least of two.
    pub(super) fn stand(&mut self) {
        let client = self.crowd.arrive(0, &self.world);
        let hall = self.crowd.get(client).expect("it has just come").hall;
        let Some(b) = self.front.deal(0, hall) else { return };
        let server = self.world.stood_at(self.balancers[b].hall, &mut self.dice);
        let flow = self.flow(client, Time::MAX);
        let id = flow.id;
        let load = self.crowd.get(client).expect("it has just come").load;
        if let Some(hand) = &mut self.balancers[b].hand {
            hand.inherit(flow, server as u64);
            hand.told_load(id, load);
        }
        let at = Some((0, server));
        let live = Live { client, balancer: b, taken: 0, phase: Phase::Open, at, moving: false };
        self.flows.insert(id, live);
        self.of_client.insert(client, id);
        self.seat(id, client, server);
        self.opened(id, client);
    }
}
