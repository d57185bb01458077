//! One run.

use super::event::*;
use super::state::*;
use super::*;

/// One run.
pub(super) struct Run<'a> {
    pub(super) now: Time,
    pub(super) end: Time,
    pub(super) queue: BinaryHeap<Reverse<(Time, u64, What)>>,
    pub(super) planned: u64,
    pub(super) world: World,
    pub(super) crowd: Crowd,
    pub(super) front: Front,
    pub(super) balancers: Vec<Balancer>,
    pub(super) flows: BTreeMap<FlowId, Live>,
    /// The flow that a client has, if any.
    pub(super) of_client: BTreeMap<u64, FlowId>,
    pub(super) next_flow: FlowId,
    pub(super) settings: Vec<Value>,
    pub(super) who: Who,
    pub(super) seed: u64,
    pub(super) dice: Dice,
    pub(super) rules: Rules,
    pub(super) gather: Gather,
    pub(super) record: Option<&'a mut Writer>,
    pub(super) failed: Option<io::Error>,
    /// For mischief that acts now and then.
    pub(super) count: u64,
}

impl<'a> Run<'a> {
    pub(super) fn new(scenario: Scenario, seed: u64, who: Who, record: Option<&'a mut Writer>) -> Self {
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

    pub(super) fn plan(&mut self, at: Time, what: What) {
        self.planned += 1;
        self.queue.push(Reverse((at, self.planned, what)));
    }

    pub(super) fn see(&mut self, seen: Seen) {
        self.rules.see(&seen);
        if let Some(record) = &mut self.record
            && let Err(e) = record.write(&seen)
        {
            self.failed.get_or_insert(e);
        }
    }

    pub(super) fn step(&mut self, what: What) {
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
}
