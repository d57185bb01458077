//! A scenario in virtual time. It owns the order of events (by time, then by when they were planned), the balancers' flows in hand
//! and the connections between clients and servers, and gives each back in one place ([`Run::close`]). The brains decide,
//! the model answers, the judge watches; here nothing is decided. Same scenario, same seed, same brains: same record.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;

use nettlemux_door::Door;
use nettlemux_hand::{Act, Brain, Hand};
use nettlemux_policy::{End, Flow, FlowId, MS, Report, SEC, State, Time};
use nettlemux_settings::Settings;
use nettlemux_settings::operator::By;
use nettlemux_world::crowd::{Client, Crowd, Front};
use nettlemux_world::dice::Dice;
use nettlemux_world::fleet::{Happening, World};
use nettlemux_world::scenario::{Scenario, seconds};
use nettlemux_world::seen::{Ender, Final, Kind, Seen, VERSION};
use nettlemux_world::server::{Life, Offer};
use serde_json::Value;

use crate::brains;
use crate::figures::{Figures, Gather};
use crate::file;
use crate::mischief::Mischief;
use crate::record::Writer;
use crate::rules::{Rules, Verdict};

/// How often the model is moved on.
const TICK: Time = 100 * MS;
/// And the figures that walk all servers are taken.
const SAMPLE: Time = 500 * MS;
/// A balancer notices that a server has gone silent under its connections after 5 s without an answer to a line, which
/// clients send every 2 s.
const SILENCE: [Time; 2] = [5 * SEC, 7 * SEC];
/// A probe that has brought nothing by then has failed.
const PROBE: Time = 500 * MS;
/// How long a client waits past its connect timeout before it takes its flow for lost.
const PATIENCE: Time = 100 * MS;
/// The course of a planned end, as the balancer on sockets has it: the front stops dealing to it, its clients begin to be moved,
/// what is owed is given up, the last is moved, it ends.
const DEALT: Time = 300 * MS;
const MOVES_FROM: Time = 1500 * MS;
const LAST_ANSWER: Time = 3 * SEC;
const MOVES_TO: Time = 3200 * MS;
const ENDS: Time = 3500 * MS;
const STEP: Time = 50 * MS;
/// Between one balancer's return and the next one's end when they are restarted in turn.
const IN_TURN: Time = SEC;
/// Under the same name a restarted balancer draws differently.
const EPOCH_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// What decides at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Brain(brains::Kind),
    Mischief(Mischief),
}

impl Who {
    pub fn name(self) -> &'static str {
        match self {
            Who::Brain(kind) => kind.name(),
            Who::Mischief(mischief) => mischief.name(),
        }
    }
}

/// What a run comes to.
pub struct Outcome {
    pub figures: Figures,
    pub verdict: Verdict,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Tick,
    Sample,
    Arrival,
    Try(u64),
    LifeOver(u64),
    LoadChange(FlowId),
    /// The client's patience is at its end.
    GivesUp(FlowId),
    Due(usize, u32),
    /// A connect comes to its server.
    Reaches(FlowId, usize),
    /// What came of it comes back.
    ComesBack(FlowId, usize, Back),
    /// The balancer waits for it no longer.
    TimeUp(FlowId, usize),
    /// A server was seen to be silent under a connection.
    Silent(FlowId),
    Probe(usize, u32, usize),
    Told(usize, u32),
    Restart(usize, Time),
    MoveSome(usize, u32, Time),
    Dies(usize, u32, bool, Time),
    Back(usize),
    /// An answer that mischief has held back.
    Answer(FlowId, Final, Option<Time>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Back {
    Up,
    Busy,
    Error,
    Refused,
    Unreachable,
    Cut,
    SentAway,
}

impl Back {
    /// How the connect ended, and whether that proves that it never ran.
    fn end(self) -> (End, bool) {
        match self {
            Back::Up => (End::Done, false),
            Back::Busy => (End::Full, true),
            Back::Error => (End::Error, false),
            Back::Refused | Back::Unreachable => (End::Unreachable, true),
            Back::Cut => (End::Cut, false),
            Back::SentAway => (End::CalledOff, false),
        }
    }
}

struct Balancer {
    hand: Option<Hand<Box<dyn Brain>>>,
    /// Told apart from its earlier runs.
    epoch: u32,
    hall: usize,
    /// The version of the list that it has.
    version: u64,
    due: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The client waits for its answer.
    Owed,
    /// It was answered, or has left; a connect may still be out.
    Settled,
    Open,
}

struct Live {
    client: u64,
    balancer: usize,
    taken: Time,
    phase: Phase,
    /// The connect that is out, and where; once open, where it is.
    at: Option<(usize, usize)>,
    /// To be sent away as soon as it is open.
    moving: bool,
}

/// One run.
struct Run<'a> {
    now: Time,
    end: Time,
    queue: BinaryHeap<Reverse<(Time, u64, What)>>,
    planned: u64,
    world: World,
    crowd: Crowd,
    front: Front,
    balancers: Vec<Balancer>,
    flows: BTreeMap<FlowId, Live>,
    /// The flow that a client has, if any.
    of_client: BTreeMap<u64, FlowId>,
    next_flow: FlowId,
    settings: Vec<Value>,
    who: Who,
    seed: u64,
    dice: Dice,
    rules: Rules,
    gather: Gather,
    record: Option<&'a mut Writer>,
    failed: Option<io::Error>,
    /// For mischief that acts now and then.
    count: u64,
}

/// Runs a scenario.
///
/// # Errors
/// The record can't be written.
pub fn simulate(
    scenario: &Scenario,
    seed: u64,
    who: Who,
    record: Option<&mut Writer>,
) -> io::Result<Outcome> {
    let mut run = Run::new(scenario.clone(), seed, who, record);
    run.begin();
    while let Some(Reverse((at, _, what))) = run.queue.pop() {
        if at > run.end {
            break;
        }
        run.now = at;
        run.gather.steps += 1;
        run.step(what);
    }
    run.now = run.end;
    if let Some(e) = run.failed {
        return Err(e);
    }
    let standing = run.flows.values().filter(|live| live.phase == Phase::Open).count();
    let verdict = run.rules.finish(run.end);
    Ok(Outcome { figures: run.gather.finish(standing, &verdict), verdict })
}

impl<'a> Run<'a> {
    fn new(scenario: Scenario, seed: u64, who: Who, record: Option<&'a mut Writer>) -> Self {
        let halls = scenario.halls.number;
        let balancer = |b: usize| Balancer { hand: None, epoch: 0, hall: b % halls, version: 0, due: None };
        // Word takes its way: what is judged at its arrival may be so late.
        let slack = seconds(scenario.halls.between.max(scenario.halls.inside)) + MS;
        Run {
            now: 0,
            end: scenario.end(),
            queue: BinaryHeap::new(),
            planned: 0,
            crowd: Crowd::new(seed),
            front: Front::new(scenario.balancers.number, halls),
            balancers: (0..scenario.balancers.number).map(balancer).collect(),
            flows: BTreeMap::new(),
            of_client: BTreeMap::new(),
            next_flow: 1,
            settings: (0..halls).map(|hall| file::settings(&scenario, hall)).collect(),
            who,
            seed,
            dice: Dice::new(seed, 3),
            rules: Rules::new(&scenario, slack),
            gather: Gather::new(seconds(scenario.settle)),
            record,
            failed: None,
            count: 0,
            world: World::new(scenario, seed),
        }
    }

    fn plan(&mut self, at: Time, what: What) {
        self.planned += 1;
        self.queue.push(Reverse((at, self.planned, what)));
    }

    fn see(&mut self, seen: Seen) {
        self.rules.see(&seen);
        if let Some(record) = &mut self.record
            && let Err(e) = record.write(&seen)
        {
            self.failed.get_or_insert(e);
        }
    }

    fn begin(&mut self) {
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

    fn see_server(&mut self, server: usize) {
        let one = &self.world.servers[server];
        let (hall, cell, machine) = (one.hall, one.cell, one.machine);
        self.see(Seen::Server { at: self.now, server, hall, cell, machine });
    }

    /// A balancer starts from nothing, with the list as it stands.
    fn start(&mut self, b: usize) {
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
    fn stand(&mut self) {
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

    fn flow(&mut self, client: u64, give_up: Time) -> Flow {
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

    fn seat(&mut self, flow: FlowId, client: u64, server: usize) {
        let Some(known) = self.crowd.get(client) else { return };
        self.world.servers[server].seat(flow, known.guest());
    }

    /// A connection is up: it lasts until its client has had what it wanted, and its load changes.
    fn opened(&mut self, flow: FlowId, client: u64) {
        let first_time = self.crowd.get(client).is_some_and(|c| !c.returning && c.tries == 0);
        if first_time && self.now == 0 {
            let ends = self.crowd.get(client).expect("there").ends;
            self.plan(ends, What::LifeOver(client));
        }
        if let Some(wait) = self.crowd.first_change(&self.world.scenario) {
            self.plan(self.now + wait, What::LoadChange(flow));
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Tick => self.tick(),
            What::Sample => self.sample(),
            What::Arrival => {
                let client = self.crowd.arrive(self.now, &self.world);
                let ends = self.crowd.get(client).expect("it has just come").ends;
                self.plan(ends, What::LifeOver(client));
                self.try_once(client);
                let wait = self.crowd.next_arrival(&self.world);
                self.plan(self.now + wait, What::Arrival);
            }
            What::Try(client) => self.try_once(client),
            What::LifeOver(client) => self.life_over(client),
            What::LoadChange(flow) => self.load_change(flow),
            What::GivesUp(flow) => self.gives_up(flow),
            What::Due(b, epoch) => {
                let one = &mut self.balancers[b];
                if one.epoch == epoch && one.due == Some(self.now) {
                    one.due = None;
                    self.ask(b, |hand, now, acts| hand.elapsed(now, acts));
                }
            }
            What::Reaches(flow, number) => self.reaches(flow, number),
            What::ComesBack(flow, number, back) => self.comes_back(flow, number, back),
            What::TimeUp(flow, number) => self.time_up(flow, number),
            What::Silent(flow) => self.silent(flow),
            What::Probe(b, epoch, server) => self.probe(b, epoch, server),
            What::Told(b, epoch) => {
                if self.balancers[b].epoch == epoch && self.world.discovery().is_some() {
                    self.tell(b);
                }
            }
            What::Restart(b, away) => self.restart(b, away),
            What::MoveSome(b, epoch, since) => self.move_some(b, epoch, since),
            What::Dies(b, epoch, planned, away) => {
                if self.balancers[b].epoch == epoch {
                    self.dies(b, planned, away);
                }
            }
            What::Back(b) => {
                self.start(b);
                self.front.back(b);
            }
            What::Answer(flow, with, come_back) => {
                let owed = self.flows.get(&flow).is_some_and(|live| live.phase == Phase::Owed);
                match owed {
                    true => self.answer(flow, with, come_back),
                    // A second one: it crosses all the same.
                    false => self.see(Seen::Answered { at: self.now, flow, with }),
                }
            }
        }
    }

    // The model goes on.

    fn tick(&mut self) {
        let happened = self.world.tick(self.now);
        let seconds = TICK as f64 / SEC as f64;
        let (wanted, served) = (self.crowd.wanted * seconds, self.world.served(self.now) * seconds);
        self.gather.worth(self.now, (wanted, served), seconds);
        self.happen(happened);
        self.plan(self.now + TICK, What::Tick);
    }

    fn sample(&mut self) {
        let betas: Vec<f64> = self.world.betas(self.now).collect();
        self.gather.load(self.now, &betas);
        let fleet = &self.world.scenario.fleet;
        for server in self.world.servers.iter().filter(|server| server.life == Life::Up) {
            let seconds = server.message(fleet, self.now);
            self.gather.message(self.now, seconds, server.guests.len() as u64);
        }
        self.plan(self.now + SAMPLE, What::Sample);
    }

    fn happen(&mut self, happened: Vec<Happening>) {
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
    fn each(&mut self, ids: Vec<u64>, back: Back) {
        for flow in ids {
            let Some((number, server)) = self.flows.get(&flow).and_then(|live| live.at) else { continue };
            let way = self.way(flow, server);
            self.plan(self.now + way, What::ComesBack(flow, number, back));
        }
    }

    /// Connections across a cut hear nothing any more.
    fn cut(&mut self, hall: usize) {
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

    fn spread_list(&mut self) {
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
    fn tell(&mut self, b: usize) {
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

    fn way(&self, flow: FlowId, server: usize) -> Time {
        let hall = self.flows.get(&flow).map_or(0, |live| self.balancers[live.balancer].hall);
        self.world.way(hall, self.world.servers[server].hall)
    }

    // Clients.

    fn try_once(&mut self, client: u64) {
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
    fn key(&self, id: u64, client: &Client) -> u64 {
        match self.world.scenario.door.as_ref().map(|door| door.by) {
            Some(By::Customer) => client.customer as u64,
            _ => id,
        }
    }

    fn gives_up(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Owed) else { return };
        let client = live.client;
        self.gather.unanswered += 1;
        self.leaves(flow);
        let again = self.crowd.aborted(client, &self.world.scenario);
        self.come_again(client, again);
    }

    /// The client of a flow that is owed an answer goes away.
    fn leaves(&mut self, flow: FlowId) {
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

    fn life_over(&mut self, client: u64) {
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

    fn load_change(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Open) else { return };
        let (client, b, Some((_, server))) = (live.client, live.balancer, live.at) else { return };
        let Some((load, wait)) = self.crowd.change_load(client, &self.world.scenario) else { return };
        self.world.servers[server].set_load(flow, load);
        if let Some(hand) = &mut self.balancers[b].hand {
            hand.told_load(flow, load);
        }
        self.plan(self.now + wait, What::LoadChange(flow));
    }

    fn come_again(&mut self, client: u64, wait: Option<Time>) {
        match wait {
            Some(wait) => self.plan(self.now + wait, What::Try(client)),
            None => self.gather.clients_lost += 1,
        }
    }

    // Balancers.

    /// Asks a balancer's hand and carries out what it says.
    fn ask(&mut self, b: usize, ask: impl FnOnce(&mut Hand<Box<dyn Brain>>, Time, &mut Vec<Act>)) {
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

    fn act(&mut self, b: usize, act: Act) {
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

    fn connect(&mut self, flow: FlowId, (number, server): (usize, usize), limit: Time) {
        let Some(live) = self.flows.get_mut(&flow) else { return };
        live.at = Some((number, server));
        self.gather.connects += 1;
        let way = self.way(flow, server);
        self.plan(self.now + way, What::Reaches(flow, number));
        self.plan(self.now + limit.max(1), What::TimeUp(flow, number));
    }

    fn reaches(&mut self, flow: FlowId, number: usize) {
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

    fn comes_back(&mut self, flow: FlowId, number: usize, back: Back) {
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

    fn up(&mut self, flow: FlowId, server: usize) {
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

    fn time_up(&mut self, flow: FlowId, number: usize) {
        let out = self.flows.get(&flow).filter(|live| live.phase != Phase::Open).and_then(|live| live.at);
        if let Some((_, server)) = out.filter(|at| at.0 == number) {
            self.connect_ended(flow, (number, server), (End::TimedOut, false));
        }
    }

    fn call_off(&mut self, flow: FlowId) {
        let out = self.flows.get(&flow).filter(|live| live.phase == Phase::Settled).and_then(|live| live.at);
        if let Some((number, server)) = out {
            self.connect_ended(flow, (number, server), (End::CalledOff, false));
        }
    }

    /// A connect is out no more: its server is let go before the hand is told.
    fn connect_ended(
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

    fn gone_from(&mut self, flow: FlowId, server: usize) {
        self.world.servers[server].rise(flow);
    }

    /// The hand's last word on a flow, unless mischief has its way with it.
    fn say(&mut self, flow: FlowId, with: Final, come_back: Option<Time>) {
        let Who::Mischief(mischief) = self.who else { return self.answer(flow, with, come_back) };
        let Some(live) = self.flows.get(&flow).filter(|live| live.phase == Phase::Owed) else { return };
        let client = live.client;
        match mischief {
            Mischief::LosesAnswers => {}
            Mischief::AnswersLate => {
                let wait = self.crowd.get(client).map(|c| self.world.scenario.types[c.service_type].wait);
                let late = live.taken + seconds(wait.unwrap_or(0.0)) + PATIENCE / 2;
                self.plan(late, What::Answer(flow, with, come_back));
            }
            Mischief::AnswersTwice => {
                self.answer(flow, with, come_back);
                self.plan(self.now + 10 * MS, What::Answer(flow, with, come_back));
            }
            _ => self.answer(flow, with, come_back),
        }
    }

    /// Answers the client of a flow that comes to nothing, and gives the flow back.
    fn answer(&mut self, flow: FlowId, with: Final, come_back: Option<Time>) {
        let Some(live) = self.flows.get_mut(&flow).filter(|live| live.phase == Phase::Owed) else { return };
        live.phase = Phase::Settled;
        let (client, taken, out) = (live.client, live.taken, live.at.is_some());
        self.of_client.remove(&client);
        self.answered(flow, with, taken);
        let wait = match with {
            Final::Rejected => self.crowd.rejected(client, come_back, &self.world.scenario),
            _ => self.crowd.aborted(client, &self.world.scenario),
        };
        self.come_again(client, wait);
        if !out {
            self.close(flow);
        }
    }

    fn answered(&mut self, flow: FlowId, with: Final, taken: Time) {
        let client = self.flows.get(&flow).map_or(0, |live| live.client);
        let target = self.crowd.get(client).map(|c| self.world.scenario.types[c.service_type].target);
        if let Some(client) = self.crowd.get(client) {
            self.gather.of_client(self.now, client, with);
        }
        self.gather.answered(self.now, with, self.now - taken, seconds(target.unwrap_or(0.0)));
        self.see(Seen::Answered { at: self.now, flow, with });
    }

    /// Nothing more comes of a flow: the one place where it is given back.
    fn close(&mut self, flow: FlowId) {
        let Some(live) = self.flows.remove(&flow) else { return };
        if self.of_client.get(&live.client) == Some(&flow) {
            self.of_client.remove(&live.client);
        }
        let mut acts = Vec::new();
        if let Some(hand) = &mut self.balancers[live.balancer].hand {
            hand.over(self.now, flow, &mut acts);
        }
        acts.into_iter().for_each(|act| self.act(live.balancer, act));
    }

    // Connections end.

    fn ended_by_server(&mut self, flow: FlowId, back: Back) {
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
    fn send_away(&mut self, flow: FlowId) {
        let Some(live) = self.flows.get_mut(&flow) else { return };
        if live.phase != Phase::Open {
            live.moving = true;
            return;
        }
        let told = self.who != Who::Mischief(Mischief::CutsWithoutMove);
        self.ended_by_balancer(flow, told, true, End::CalledOff);
        self.gather.moves += 1;
    }

    fn silent(&mut self, flow: FlowId) {
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

    fn ended_by_balancer(&mut self, flow: FlowId, told: bool, sound: bool, end: End) {
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

    fn probe(&mut self, b: usize, epoch: u32, server: usize) {
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

    fn report(&mut self, server: usize) -> Option<Report> {
        let fleet = &self.world.scenario.fleet;
        let one = &mut self.world.servers[server];
        // One that takes longer than a probe waits doesn't pass it.
        let slow = one.life == Life::Up && seconds(one.message(fleet, self.now)) > 3 * PROBE;
        if slow { None } else { one.report(fleet, self.now, &mut self.dice) }
    }

    // Balancers end and come back.

    fn restart(&mut self, b: usize, away: Time) {
        if self.balancers[b].hand.is_none() {
            return;
        }
        self.front.dies(b, self.now + DEALT);
        let epoch = self.balancers[b].epoch;
        self.plan(self.now + MOVES_FROM, What::MoveSome(b, epoch, self.now));
        self.plan(self.now + ENDS, What::Dies(b, epoch, true, away));
    }

    /// Some of the clients of a balancer that is to end are sent away, so that all have gone in time.
    fn move_some(&mut self, b: usize, epoch: u32, since: Time) {
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

    fn dies(&mut self, b: usize, planned: bool, away: Time) {
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
