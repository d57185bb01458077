//! The model goes on.

use super::event::*;
use super::run::Run;
use super::state::*;
use super::*;

impl Run<'_> {
    pub(super) fn tick(&mut self) {
        let happened = self.world.tick(self.now);
        let seconds = TICK as f64 / SEC as f64;
        let (wanted, served) = (self.crowd.wanted * seconds, self.world.served(self.now) * seconds);
        self.gather.worth(self.now, (wanted, served), seconds);
        self.happen(happened);
        self.plan(self.now + TICK, What::Tick);
    }

    pub(super) fn sample(&mut self) {
        let betas: Vec<f64> = self.world.betas(self.now).collect();
        self.gather.load(self.now, &betas);
        let fleet = &self.world.scenario.fleet;
        for server in self.world.servers.iter().filter(|server| server.life == Life::Up) {
            let seconds = server.message(fleet, self.now);
            self.gather.message(self.now, seconds, server.guests.len() as u64);
        }
        self.plan(self.now + SAMPLE, What::Sample);
    }

    pub(super) fn happen(&mut self, happened: Vec<Happening>) {
        let mut restarts = 0;
        for one in happened {
            match one {
                Happening::Reset { ids, .. } => self.each(ids, Back::Cut),
                Happening::SentAway { ids, .. } => self.each(ids, Back::SentAway),
                Happening::Silenced { ids, .. } => {
                    for flow in ids {
                        let wait = self.dice.between(SILENCE[0] as f64, SILENCE[1] as f64) as Time;
                        self.plan(self.now + wait, What::Silent(flow));
                    }
                }
                Happening::Started { server } => {
                    self.see_server(server);
                    self.see(Seen::Started { at: self.now, server });
                }
                Happening::Fell { server } => {
                    self.gather.fell += 1;
                    self.see(Seen::Fell { at: self.now, server });
                }
                Happening::Listed | Happening::Heard => self.spread_list(),
                Happening::Hall { cut: false, .. } => {}
                Happening::Hall { hall, .. } => self.cut(hall),
                Happening::Restart { balancer, away } => {
                    let wait = restarts * (ENDS + away + IN_TURN);
                    restarts += 1;
                    self.plan(self.now + wait, What::Restart(balancer, away));
                }
                Happening::Kill { balancer, away } => {
                    let epoch = self.balancers[balancer].epoch;
                    self.plan(self.now, What::Dies(balancer, epoch, false, away));
                }
            }
        }
    }

    /// Word of a server's end of these connections is on its way to their balancers.
    pub(super) fn each(&mut self, ids: Vec<u64>, back: Back) {
        for flow in ids {
            let Some((number, server)) = self.flows.get(&flow).and_then(|live| live.at) else { continue };
            let way = self.way(flow, server);
            self.plan(self.now + way, What::ComesBack(flow, number, back));
        }
    }

    /// Connections across a cut hear nothing any more.
    pub(super) fn cut(&mut self, hall: usize) {
        let crosses = |live: &Live| {
            let server = live.at.filter(|_| live.phase == Phase::Open).map(|(_, server)| server);
            let (b, s) = (self.balancers[live.balancer].hall, server.map(|s| self.world.servers[s].hall));
            s.is_some_and(|s| b != s && (b == hall || s == hall))
        };
        let silent: Vec<FlowId> = self.flows.iter().filter(|f| crosses(f.1)).map(|(id, _)| *id).collect();
        for flow in silent {
            let wait = self.dice.between(SILENCE[0] as f64, SILENCE[1] as f64) as Time;
            self.plan(self.now + wait, What::Silent(flow));
        }
    }
}
