//! The fleet in its state now: servers, store, list, halls, and the faults that act on them. A driver calls [`World::tick`] often
//! (each 100 ms) and carries out what has happened. It owns what is scheduled and every server; each fault takes back
//! what it did and nothing else, so faults may overlap. It must never touch a client or a balancer itself.

use std::collections::BTreeMap;

use nettlemux_policy::{Listed, MS, SEC, State, Time};

use crate::dice::Dice;
use crate::fault::{Fault, Leaving, What};
use crate::scenario::{Scenario, Weights, seconds};
use crate::server::{Life, Offer, Server};
use crate::store::Store;

/// From a server's death to discovery's notice of it: a process's end shows sooner than a machine's silence.
const NOTICED: [Time; 2] = [2 * SEC, 4 * SEC];
/// How long a rolled server is away between its end and its cold start.
const AWAY: Time = SEC;
/// From a drain to the end of a server where the fault says nothing.
const LEAVES: f64 = 4.0;
/// A neighbour comes and goes this often.
const NEIGHBOUR: Time = 2 * SEC;
/// Steps in which a decaying server loses its capacity.
const STEPS: u64 = 5;
/// How often live weights are listed anew.
const WEIGHED: Time = SEC;
/// Servers to a cell.
const CELL: usize = 4;

/// What a driver has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// These connections are reset by their server.
    Reset {
        server: usize,
        ids: Vec<u64>,
    },
    /// These have fallen silent: their machine is gone.
    Silenced {
        server: usize,
        ids: Vec<u64>,
    },
    /// Their server sends them away itself.
    SentAway {
        server: usize,
        ids: Vec<u64>,
    },
    /// A server has joined, or come back, cold.
    Started {
        server: usize,
    },
    Fell {
        server: usize,
    },
    /// The list has changed: to be told to the balancers.
    Listed,
    /// Discovery answers again.
    Heard,
    /// A hall's ways to the others have been cut, or are back.
    Hall {
        hall: usize,
        cut: bool,
    },
    /// A balancer is asked to end, and is to be back after so long.
    Restart {
        balancer: usize,
        away: Time,
    },
    /// A balancer is killed, and is to be back after so long.
    Kill {
        balancer: usize,
        away: Time,
    },
}

/// What is scheduled.
#[derive(Clone, Debug)]
enum Due {
    Begin(usize),
    End(usize),
    Drain(usize, Leaving, Time),
    /// Sends away part of its connections, in so many steps that are left.
    SendAway(usize, u64),
    Leave(usize),
    Start(usize),
    List(usize, State),
    Decay(usize, u64),
    Neighbour(usize, bool),
    Flap(usize, bool),
    Weigh,
}

struct Active {
    fault: Fault,
    met: Vec<usize>,
    /// What the neighbour takes now, or how far the decay has come: to be taken back.
    acts: bool,
}

pub struct World {
    pub scenario: Scenario,
    pub servers: Vec<Server>,
    pub store: Store,
    /// Times the usual rate at which new clients come, and how much one customer's do.
    pub surge: f64,
    pub customer_surge: f64,
    faults: Vec<Active>,
    due: BTreeMap<(Time, u64), Due>,
    numbers: u64,
    /// Each server's state on the list and the version it is from; wrong listings beside it.
    listed: Vec<(State, u64)>,
    wrong: Vec<usize>,
    version: u64,
    silent: usize,
    late: f64,
    cuts: Vec<usize>,
    dice: Dice,
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut dice = Dice::new(seed, 1);
        let types = scenario.types.len();
        let server = |i: usize, dice: &mut Dice| {
            let hall = i % scenario.halls.number;
            Server::new(&scenario.fleet, types, (hall, i / CELL, 0), dice)
        };
        let servers: Vec<Server> = (0..scenario.fleet.servers).map(|i| server(i, &mut dice)).collect();
        let mut world = World {
            store: Store::new(scenario.store.rate, scenario.store.alone),
            surge: 1.0,
            customer_surge: 1.0,
            faults: Vec::new(),
            due: BTreeMap::new(),
            numbers: 0,
            listed: vec![(State::Ready, 1); servers.len()],
            wrong: vec![0; servers.len()],
            version: 1,
            silent: 0,
            late: 0.0,
            cuts: vec![0; scenario.halls.number],
            servers,
            dice,
            scenario,
        };
        for (i, fault) in world.scenario.faults.clone().into_iter().enumerate() {
            world.plan(fault.begins(), Due::Begin(i));
            world.plan(fault.ends(), Due::End(i));
            world.faults.push(Active { fault, met: Vec::new(), acts: false });
        }
        if world.scenario.discovery.weights == Weights::Live {
            world.plan(WEIGHED, Due::Weigh);
        }
        world
    }

    fn plan(&mut self, at: Time, due: Due) {
        self.numbers += 1;
        self.due.insert((at, self.numbers), due);
    }

    /// Goes on to now and says what has happened.
    pub fn tick(&mut self, now: Time) -> Vec<Happening> {
        let mut out = Vec::new();
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let due = first.remove();
            self.carry_out(now, due, &mut out);
        }
        for (server, one) in self.servers.iter_mut().enumerate() {
            let ids = one.advance(&self.scenario.fleet, now);
            if !ids.is_empty() {
                ids.iter().for_each(|id| _ = one.rise(*id));
                out.push(Happening::Reset { server, ids });
            }
        }
        out
    }

    fn carry_out(&mut self, now: Time, due: Due, out: &mut Vec<Happening>) {
        match due {
            Due::Begin(i) => self.begin(now, i, out),
            Due::End(i) => self.end(now, i, out),
            Due::Drain(server, leaving, leaves) => {
                if self.servers[server].life != Life::Up || self.servers[server].draining {
                    return;
                }
                self.servers[server].draining = true;
                self.list(server, State::Draining, out);
                match leaving {
                    Leaving::Keeps => {}
                    Leaving::BitByBit => {
                        let steps = leaves.saturating_sub(now) / (200 * MS);
                        self.plan(now + 200 * MS, Due::SendAway(server, steps.max(1)));
                    }
                    Leaving::AllAtOnce => self.plan(now + SEC, Due::SendAway(server, 1)),
                }
                self.plan(leaves, Due::Leave(server));
            }
            Due::SendAway(server, steps) => {
                let one = &mut self.servers[server];
                let count = one.guests.len().div_ceil(steps.max(1) as usize);
                let ids: Vec<u64> = one.guests.keys().copied().take(count).collect();
                ids.iter().for_each(|id| _ = one.rise(*id));
                if !ids.is_empty() {
                    out.push(Happening::SentAway { server, ids });
                }
                if steps > 1 && self.servers[server].draining {
                    self.plan(now + 200 * MS, Due::SendAway(server, steps - 1));
                }
            }
            Due::Leave(server) => {
                self.list(server, State::Gone, out);
                self.kill(server, Life::Down, out);
            }
            Due::Start(server) => {
                if self.servers[server].life != Life::Up && self.servers[server].starts(now) {
                    out.push(Happening::Started { server });
                    // Listed anew also where its end was never listed: guards against a start that nobody is told of.
                    self.listed[server].0 = State::Ready;
                    self.relist(server, out);
                }
            }
            Due::List(server, state) => {
                if (state == State::Gone) == (self.servers[server].life != Life::Up) {
                    self.list(server, state, out);
                }
            }
            Due::Decay(i, step) => {
                let (least, met) = (self.faults[i].fault.amount, self.faults[i].met.clone());
                if !self.faults[i].acts {
                    return;
                }
                // Each step takes its part of what the last ones have left.
                let part = (1.0 - (1.0 - least) * step as f64 / STEPS as f64)
                    / (1.0 - (1.0 - least) * (step - 1) as f64 / STEPS as f64);
                met.iter().for_each(|server| self.servers[*server].speed *= part);
                if step < STEPS {
                    let length = seconds(self.faults[i].fault.lasts) / (STEPS + 1);
                    self.plan(now + length, Due::Decay(i, step + 1));
                }
            }
            Due::Neighbour(i, there) => {
                let amount = self.faults[i].fault.amount.min(0.95);
                if now >= self.faults[i].fault.ends() {
                    return;
                }
                self.faults[i].acts = there;
                for server in self.faults[i].met.clone() {
                    self.servers[server].neighbour = if there { amount } else { 0.0 };
                }
                self.plan(now + NEIGHBOUR, Due::Neighbour(i, !there));
            }
            Due::Flap(i, cut) => {
                let fault = self.faults[i].fault.clone();
                if now >= fault.ends() {
                    return;
                }
                self.faults[i].acts = cut;
                self.hall(fault.hall, cut, out);
                self.plan(now + seconds(fault.amount), Due::Flap(i, !cut));
            }
            Due::Weigh => {
                self.version += 1;
                let version = self.version;
                self.listed.iter_mut().for_each(|listed| listed.1 = version);
                out.push(Happening::Listed);
                self.plan(now + WEIGHED, Due::Weigh);
            }
        }
    }

    fn begin(&mut self, now: Time, i: usize, out: &mut Vec<Happening>) {
        let fault = self.faults[i].fault.clone();
        let of_balancers = matches!(fault.what, What::RestartInTurn | What::BalancersDie);
        let number = if of_balancers { self.scenario.balancers.number } else { self.servers.len() };
        let met = match fault.what {
            What::Grow => self.join(now, fault.share, out),
            _ => fault.meets(number, &mut self.dice),
        };
        (self.faults[i].met, self.faults[i].acts) = (met.clone(), true);
        // Those met in turn, spread over the fault's time.
        let turn = |k: usize| now + seconds(fault.lasts) * k as u64 / met.len().max(1) as u64;
        match fault.what {
            What::Crash | What::Vanish => {
                let (life, noticed) = match fault.what {
                    What::Crash => (Life::Down, NOTICED[0]),
                    _ => (Life::Silent, NOTICED[1]),
                };
                for server in met {
                    self.kill(server, life, out);
                    self.plan(now + noticed, Due::List(server, State::Gone));
                }
            }
            What::Slow => met.iter().for_each(|server| self.servers[*server].speed *= fault.amount),
            What::Decay => self.carry_out(now, Due::Decay(i, 1), out),
            What::Neighbour => self.carry_out(now, Due::Neighbour(i, true), out),
            What::StuckReports => met.iter().for_each(|server| self.servers[*server].stuck = true),
            What::AbsurdReports => {
                met.iter().for_each(|server| self.servers[*server].absurd = Some(fault.amount));
            }
            What::FastErrors => met.iter().for_each(|server| self.servers[*server].fast_errors = true),
            What::ProbesFail => met.iter().for_each(|server| self.servers[*server].probes_fail = true),
            What::HallCut => self.hall(fault.hall, true, out),
            What::HallFlaps => self.carry_out(now, Due::Flap(i, true), out),
            What::StoreSlow => self.store.health *= fault.amount,
            What::ListSilent => self.silent += 1,
            What::ListLate => self.late += fault.amount,
            What::ListWrong => {
                for server in met {
                    self.wrong[server] += 1;
                    self.relist(server, out);
                }
            }
            What::Grow => {}
            What::Shrink | What::Roll => {
                let leaves = seconds(if fault.amount > 0.0 { fault.amount } else { LEAVES });
                for (k, server) in met.iter().enumerate() {
                    let at = turn(k);
                    self.plan(at, Due::Drain(*server, fault.leaving, at + leaves));
                    if fault.what == What::Roll {
                        self.plan(at + leaves + AWAY, Due::Start(*server));
                    }
                }
            }
            What::RestartInTurn => {
                // Carried out by the driver at once; it spreads them, since only it knows when one is back.
                let away = seconds(fault.amount);
                out.extend(met.iter().map(|balancer| Happening::Restart { balancer: *balancer, away }));
            }
            What::BalancersDie => {
                let away = seconds(fault.lasts);
                out.extend(met.iter().map(|balancer| Happening::Kill { balancer: *balancer, away }));
            }
            What::Surge => self.surge *= fault.amount,
            What::CustomerSurge => self.customer_surge *= fault.amount,
        }
    }

    fn end(&mut self, now: Time, i: usize, out: &mut Vec<Happening>) {
        let (fault, met) = (self.faults[i].fault.clone(), self.faults[i].met.clone());
        let acts = std::mem::take(&mut self.faults[i].acts);
        let each = |world: &mut World, change: fn(&mut Server)| {
            met.iter().for_each(|server| change(&mut world.servers[*server]));
        };
        match fault.what {
            What::Crash | What::Vanish => {
                met.iter().for_each(|server| self.carry_out(now, Due::Start(*server), out));
            }
            What::Slow | What::Decay => {
                met.iter().for_each(|server| self.servers[*server].speed /= fault.amount.max(1e-3));
            }
            What::Neighbour => each(self, |server| server.neighbour = 0.0),
            What::StuckReports => each(self, |server| server.stuck = false),
            What::AbsurdReports => each(self, |server| server.absurd = None),
            What::FastErrors => each(self, |server| server.fast_errors = false),
            What::ProbesFail => each(self, |server| server.probes_fail = false),
            What::HallCut => self.hall(fault.hall, false, out),
            What::HallFlaps if acts => self.hall(fault.hall, false, out),
            What::StoreSlow => self.store.health /= fault.amount,
            What::ListSilent => {
                self.silent -= 1;
                out.push(Happening::Heard);
            }
            What::ListLate => self.late -= fault.amount,
            What::ListWrong => {
                for server in met {
                    self.wrong[server] -= 1;
                    self.relist(server, out);
                }
            }
            What::Surge => self.surge /= fault.amount,
            What::CustomerSurge => self.customer_surge /= fault.amount,
            What::HallFlaps
            | What::Grow
            | What::Shrink
            | What::Roll
            | What::RestartInTurn
            | What::BalancersDie => {}
        }
    }

    fn join(&mut self, now: Time, share: f64, out: &mut Vec<Happening>) -> Vec<usize> {
        let count = ((self.servers.len() as f64 * share).round() as usize).max(1);
        let first = self.servers.len();
        for i in first..first + count {
            let place = (i % self.scenario.halls.number, i / CELL, 0);
            let types = self.scenario.types.len();
            let mut server = Server::new(&self.scenario.fleet, types, place, &mut self.dice);
            server.starts(now);
            self.servers.push(server);
            self.listed.push((State::Gone, 0));
            self.wrong.push(0);
            out.push(Happening::Started { server: i });
            self.list(i, State::Ready, out);
        }
        (first..first + count).collect()
    }

    fn kill(&mut self, server: usize, life: Life, out: &mut Vec<Happening>) {
        if self.servers[server].life != Life::Up {
            return;
        }
        let ids = self.servers[server].dies(life);
        out.push(match life {
            Life::Silent => Happening::Silenced { server, ids },
            _ => Happening::Reset { server, ids },
        });
    }

    fn hall(&mut self, hall: usize, cut: bool, out: &mut Vec<Happening>) {
        let before = self.cuts[hall] > 0;
        self.cuts[hall] = if cut { self.cuts[hall] + 1 } else { self.cuts[hall].saturating_sub(1) };
        if before != (self.cuts[hall] > 0) {
            out.push(Happening::Hall { hall, cut });
        }
    }

    fn list(&mut self, server: usize, state: State, out: &mut Vec<Happening>) {
        if self.listed[server].0 != state {
            self.listed[server].0 = state;
            self.relist(server, out);
        }
    }

    fn relist(&mut self, server: usize, out: &mut Vec<Happening>) {
        self.version += 1;
        self.listed[server].1 = self.version;
        out.push(Happening::Listed);
    }

    /// Whether word gets from one hall to another.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.cuts[from] == 0 && self.cuts[to] == 0
    }

    /// The way from one hall to another.
    pub fn way(&self, from: usize, to: usize) -> Time {
        let halls = &self.scenario.halls;
        seconds(if from == to { halls.inside } else { halls.between })
    }

    /// A connect that has come to a server, from a balancer in that hall. What has happened with it comes second.
    pub fn offer(&mut self, now: Time, hall: usize, server: usize) -> (Offer, Vec<Happening>) {
        if !self.reaches(hall, self.servers[server].hall) {
            return (Offer::Silence, Vec::new());
        }
        let (offer, fell) = self.servers[server].offer(&self.scenario.fleet, now);
        let mut out = Vec::new();
        if fell {
            out.push(Happening::Fell { server });
            self.kill(server, Life::Down, &mut out);
            self.plan(now + NOTICED[0], Due::List(server, State::Gone));
        }
        match offer {
            Offer::Up(took) => (Offer::Up(took + self.store.call(now)), out),
            other => (other, out),
        }
    }

    /// A server for a connection that stood before the run: of two of that hall, or of all where it has none, the one with
    /// less load.
    pub fn stood_at(&self, hall: usize, dice: &mut Dice) -> usize {
        let of_hall: Vec<usize> = (0..self.servers.len()).filter(|s| self.servers[*s].hall == hall).collect();
        let among = if of_hall.is_empty() { (0..self.servers.len()).collect() } else { of_hall };
        let two = [among[dice.below(among.len())], among[dice.below(among.len())]];
        let beta = |s: usize| self.servers[s].beta(&self.scenario.fleet, 0);
        if beta(two[0]) <= beta(two[1]) { two[0] } else { two[1] }
    }

    /// Whether discovery tells anything now, and how late it does.
    pub fn discovery(&mut self) -> Option<Time> {
        if self.silent > 0 {
            return None;
        }
        let delay = self.scenario.discovery.delay;
        Some(seconds(self.dice.between(delay / 2.0, delay) + self.late))
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// What has changed on the list since that version; 0: all that isn't gone.
    pub fn since(&self, version: u64) -> Vec<Listed> {
        let changed = self.listed.iter().enumerate().filter(|(_, listed)| listed.1 > version);
        let entries = changed.map(|(i, _)| self.entry(i));
        entries.filter(|entry| version > 0 || entry.state != State::Gone).collect()
    }

    /// What changed after one version and up to another, as it is now.
    pub fn between(&self, version: u64, upto: u64) -> Vec<Listed> {
        let changed =
            self.listed.iter().enumerate().filter(|(_, listed)| listed.1 > version && listed.1 <= upto);
        changed.map(|(i, _)| self.entry(i)).collect()
    }

    fn entry(&self, i: usize) -> Listed {
        let server = &self.servers[i];
        let state = if self.wrong[i] > 0 { State::Gone } else { self.listed[i].0 };
        let weight = match self.scenario.discovery.weights {
            Weights::Nominal => 1.0,
            // It falls with what the server holds.
            Weights::Live => 10.0 / (10.0 + server.guests.len() as f64),
        };
        let (hall, machine, cell) = (server.hall as u64, server.machine as u64, server.cell as u64);
        Listed { rs: i as u64, hall, machine, cell, state, weight, started: server.started }
    }

    /// Worth of the messages that are answered in time now, each second.
    pub fn served(&self, now: Time) -> f64 {
        let types = &self.scenario.types;
        let each = |server: &Server| {
            let worth = server.worth.iter().zip(types).filter(|(worth, _)| **worth > 0.0);
            worth
                .map(|(worth, t)| worth * server.in_time(&self.scenario.fleet, now, t.message_target))
                .sum::<f64>()
        };
        self.servers.iter().map(each).sum()
    }

    /// Each running server's load over capacity.
    pub fn betas(&self, now: Time) -> impl Iterator<Item = f64> + '_ {
        let up = self.servers.iter().filter(|server| server.life == Life::Up && !server.draining);
        up.map(move |server| server.beta(&self.scenario.fleet, now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn world(faults: &str) -> World {
        let text = format!(
            r#"{{"name": "t", "seconds": 60, "balancers": {{"number": 1}}, "halls": {{"number": 2}},
            "fleet": {{"servers": 4, "capacity": 10}}, "clients": {{"rate": 1, "life": 9}},
            "types": [{{"name": "chat"}}], "faults": {faults}}}"#
        );
        World::new(serde_json::from_str(&text).unwrap(), 1)
    }

    fn until(world: &mut World, end: f64) -> Vec<Happening> {
        (0..=(end * 10.0) as u64).flat_map(|k| world.tick(k * 100 * MS)).collect()
    }

    #[test]
    fn a_restart_that_discovery_misses_is_listed_with_its_start() {
        let mut world = world(r#"[{"what": "crash", "at": 5, "for": 1, "who": [2]}]"#);
        until(&mut world, 10.0);
        let told = world.since(1);
        assert_eq!((told.len(), told[0].rs, told[0].state, told[0].started), (1, 2, State::Ready, 6 * SEC));
    }

    #[test]
    fn a_server_that_dies_is_listed_gone_late_and_comes_back_cold() {
        let mut world = world(r#"[{"what": "vanish", "at": 5, "for": 10, "who": [1]}]"#);
        until(&mut world, 8.0);
        assert!(world.since(1).is_empty() && world.servers[1].life == Life::Silent);
        until(&mut world, 9.0);
        assert_eq!(world.since(1)[0].state, State::Gone);
        assert_eq!(world.since(0).len(), 3, "a whole list leaves it out");
        until(&mut world, 15.0);
        assert_eq!((world.since(1)[0].state, world.servers[1].life), (State::Ready, Life::Up));
    }

    #[test]
    fn faults_overlap_and_each_takes_back_its_own() {
        let mut world = world(
            r#"[{"what": "slow", "at": 2, "for": 8, "who": [0], "amount": 0.5},
            {"what": "decay", "at": 4, "for": 10, "who": [0], "amount": 0.2},
            {"what": "store-slow", "at": 2, "for": 4, "amount": 0.1},
            {"what": "store-slow", "at": 3, "for": 10, "amount": 0.5},
            {"what": "list-wrong", "at": 2, "for": 3, "who": [3]},
            {"what": "list-wrong", "at": 3, "for": 4, "who": [3]},
            {"what": "hall-cut", "at": 1, "for": 4, "hall": 1},
            {"what": "hall-flaps", "at": 2, "for": 9, "hall": 1, "amount": 1}]"#,
        );
        until(&mut world, 5.5);
        assert!((world.store.health - 0.05).abs() < 1e-9 && world.servers[0].speed < 0.5);
        assert_eq!(world.since(1)[0].state, State::Gone);
        assert_eq!(world.reaches(0, 1), world.cuts[1] == 0);
        until(&mut world, 20.0);
        assert!((world.store.health - 1.0).abs() < 1e-9 && (world.servers[0].speed - 1.0).abs() < 1e-9);
        assert!(world.reaches(0, 1) && world.since(1)[0].state == State::Ready);
    }

    #[test]
    fn drains_are_of_three_kinds() {
        for (leaving, sent_away, cut) in [("keeps", 0, 6), ("bit-by-bit", 6, 0), ("all-at-once", 6, 0)] {
            let fault = format!(
                r#"[{{"what": "shrink", "at": 2, "for": 1, "who": [0], "amount": 4, "leaving": "{leaving}"}}]"#
            );
            let mut world = world(&fault);
            for id in 0..6 {
                let guest = crate::server::Guest { load: 0.1, group: None, service_type: 0, value: 1.0 };
                world.servers[0].seat(id, guest);
            }
            let happened = until(&mut world, 10.0);
            let count =
                |pick: fn(&Happening) -> Option<usize>| happened.iter().filter_map(pick).sum::<usize>();
            let away = count(|h| match h {
                Happening::SentAway { ids, .. } => Some(ids.len()),
                _ => None,
            });
            let reset = count(|h| match h {
                Happening::Reset { ids, .. } => Some(ids.len()),
                _ => None,
            });
            assert_eq!((away, reset), (sent_away, cut), "{leaving}");
            assert_eq!(world.since(1)[0].state, State::Gone);
        }
    }
}
