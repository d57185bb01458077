//! Many balancers that share one discovery service: how often they call it, and when they know its
//! list, after an outage and after a reload.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

/// How long the service leaves a call in its queue before it rejects it.
const QUEUE_TIME_MAX: Time = 2 * SEC;

/// A service with one first-in-first-out queue. A call that would wait longer than
/// [`QUEUE_TIME_MAX`] is rejected after that time and costs nothing, and neither does a held call. A
/// call that comes during an outage is never answered.
struct Service {
    answer_time: Time,
    free_at: Time,
    outage: Option<(Time, Time)>,
}

impl Service {
    /// Returns what happens to a call that arrives now.
    fn receive(&mut self, now: Time, hold: Time) -> Fate {
        let is_silent = |(starts_at, ends_at)| (starts_at..ends_at).contains(&now);
        if self.outage.is_some_and(is_silent) {
            return Silent;
        }
        if hold > 0 {
            return Answered(hold);
        }
        let answered_at = self.free_at.max(now) + self.answer_time;
        if answered_at > now + QUEUE_TIME_MAX {
            return Rejected(QUEUE_TIME_MAX);
        }
        self.free_at = answered_at;
        Answered(answered_at - now)
    }
}

/// One of the balancers.
struct Balancer {
    schedule: PollSchedule,
    /// When each call in flight ends, its number and how it ends.
    calls: Vec<(Time, CallNumber, Fate)>,
    has_list: bool,
}

impl Balancer {
    fn next_event(&self) -> Time {
        let ends = self.calls.iter().map(|(ends_at, ..)| *ends_at);
        ends.chain([self.schedule.wake_at()]).min().unwrap()
    }

    fn context(&self, now: Time) -> PollContext {
        PollContext {
            now,
            discovery: SHARED_SERVICE,
            needs_complete_list: !self.has_list,
        }
    }

    /// Ends the calls that end now. Returns whether one of them was answered.
    fn end_calls(&mut self, now: Time) -> bool {
        let ended: Vec<_> = self.calls.extract_if(.., |call| call.0 <= now).collect();
        let mut is_answered = false;
        for (_, number, fate) in ended {
            let context = self.context(now);
            if matches!(fate, Rejected(_)) {
                let kind = FailureKind::BadResponse;
                self.schedule.record_failure(number, kind, context);
            } else if self.schedule.record_answer(number, context).is_some() {
                self.calls.clear();
                self.has_list = true;
                is_answered = true;
            }
        }
        is_answered
    }
}

/// What was seen of all balancers.
#[derive(Default)]
struct Observed {
    /// When each balancer was first answered after the trouble, by the balancer's number.
    answered_at: BTreeMap<usize, Time>,
    /// When each call that isn't held arrived, from the begin of the trouble on.
    calls: Vec<Time>,
    rejections: usize,
}

impl Observed {
    /// Returns the largest number of calls in a second after `from`.
    fn calls_per_second_max(&self, from: Time) -> usize {
        let mut counts = BTreeMap::new();
        for call in self.calls.iter().filter(|call| **call >= from) {
            *counts.entry((call - from) / SEC).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// Returns when the last balancer was answered.
    fn last_answered_at(&self) -> Time {
        self.answered_at.values().copied().max().unwrap_or(0)
    }
}

/// The balancers and their service.
struct Fleet {
    balancers: Vec<Balancer>,
    service: Service,
    /// The next event of each balancer.
    events: BTreeSet<(Time, usize)>,
    observed: Observed,
}

impl Fleet {
    /// Returns balancers that have watched the list for some time.
    fn new(count: usize, answers_per_second: u64, seed: u64) -> Self {
        let start_interval = 10 * SEC / count as Time;
        let start = |number| Balancer {
            schedule: PollSchedule::new(
                seed * count as u64 + number,
                number as Time * start_interval,
            ),
            calls: Vec::new(),
            has_list: false,
        };
        let balancers: Vec<_> = (0..count as u64).map(start).collect();
        let next_events = balancers.iter().map(Balancer::next_event);
        let events = next_events.zip(0..).collect();
        let service = Service {
            answer_time: SEC / answers_per_second,
            free_at: 0,
            outage: None,
        };
        let mut fleet = Fleet {
            balancers,
            service,
            events,
            observed: Observed::default(),
        };
        fleet.run_until(TROUBLE_AT);
        fleet.observed = Observed::default();
        fleet
    }

    /// Lets the service be silent for a time, also on calls that are in flight.
    fn begin_outage(&mut self, length: Time) {
        self.service.outage = Some((TROUBLE_AT, TROUBLE_AT + length));
        for balancer in &mut self.balancers {
            for (ends_at, _, fate) in &mut balancer.calls {
                *ends_at = Time::MAX;
                *fate = Silent;
            }
        }
        self.schedule_all();
    }

    /// Moves all balancers to the service by a reload.
    fn reload(&mut self) {
        let mut reloads = RecentReloads::default();
        reloads.record(TROUBLE_AT);
        for balancer in &mut self.balancers {
            balancer.calls.clear();
            balancer.has_list = false;
            balancer.schedule.change_agent(TROUBLE_AT);
            let context = balancer.context(TROUBLE_AT);
            balancer.schedule.set_reloads(reloads, context);
        }
        self.schedule_all();
    }

    fn schedule_all(&mut self) {
        let next_events = self.balancers.iter().map(Balancer::next_event);
        self.events = next_events.zip(0..).collect();
    }

    fn run_until(&mut self, end: Time) {
        while let Some(&(now, number)) = self.events.first()
            && now < end
        {
            self.events.pop_first();
            self.play(now, number);
        }
    }

    /// Plays one balancer's event.
    fn play(&mut self, now: Time, number: usize) {
        let balancer = &mut self.balancers[number];
        if balancer.end_calls(now) {
            self.observed.answered_at.entry(number).or_insert(now);
        }
        let context = balancer.context(now);
        for action in balancer.schedule.advance(context) {
            match action {
                PollAction::Start(call) => {
                    let fate = self.service.receive(now, call.hold);
                    if call.hold == 0 {
                        self.observed.calls.push(now);
                    }
                    self.observed.rejections += usize::from(matches!(fate, Rejected(_)));
                    balancer.calls.push((fate.end(now), call.number, fate));
                }
                PollAction::GiveUp(ended) | PollAction::Replace(ended) => {
                    balancer.calls.retain(|call| call.1 != ended);
                }
            }
        }
        self.events.insert((balancer.next_event(), number));
    }
}

const BALANCERS: usize = 300;
const OUTAGE: Time = 8 * SEC;

/// Guards against balancers that all call a shared service at once when it returns, or that are
/// rejected again and again. The service can take a call of each in four seconds.
#[test]
fn balancers_that_share_a_service_all_know_its_list_within_6_s_of_an_outage() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(BALANCERS, 75, seed);
        fleet.begin_outage(OUTAGE);
        fleet.run_until(TROUBLE_AT + OUTAGE + CHANGE_DEADLINE);
        let observed = &fleet.observed;
        let calls = observed.calls_per_second_max(TROUBLE_AT + OUTAGE);
        assert_eq!(observed.answered_at.len(), BALANCERS, "seed {seed}");
        assert_eq!(observed.rejections, 0, "seed {seed}");
        assert!(calls < BALANCERS, "seed {seed}: {calls} calls in a second");
    }
}

/// Guards against balancers whose rejected calls come back so often after a reload that a service
/// which can take a call of each in two or eight seconds doesn't answer them all.
#[test]
fn balancers_that_share_a_service_all_know_its_list_after_a_reload() {
    for seed in 0..20 {
        for (answers_per_second, deadline) in [(150, RELOAD_DEADLINE), (40, 4 * RELOAD_DEADLINE)] {
            let mut fleet = Fleet::new(BALANCERS, answers_per_second, seed);
            fleet.reload();
            fleet.run_until(TROUBLE_AT + deadline);
            let observed = &fleet.observed;
            assert_eq!(observed.answered_at.len(), BALANCERS, "seed {seed}");
            assert!(observed.last_answered_at() < TROUBLE_AT + deadline);
            assert!(observed.calls.len() < 4 * BALANCERS, "seed {seed}");
        }
    }
}
