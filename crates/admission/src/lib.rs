//! The door: whose turn it is while more want in than the decision module takes. It owns the flows that wait for their turn, the
//! limits of each key (a tenant or a client: whoever asks says which), the budget of clients' retries, and
//! what those that were sent away have been told. All of it is bounded by its configuration, however many distinct clients
//! come. It has no I/O, clock, threads or hash order; its draws and its hashes come from one seed, which is new with each start.
//!
//! It must never say which server a flow goes to, nor refuse one for the fleet's load: that is the decision module's to say. While the
//! module has a few flows that it can't place yet ([`AdmissionConfig::held`]), the door lets nobody else in: what waits, waits here, in
//! fair order. So the one adaptive limit towards the fleet stays the module's window, and the door can't fight it.

mod book;
mod pace;
mod queue;

pub use crate::book::RetryAfterSchedule;
use crate::book::{RetryAfterPromises, TokenBuckets};
use crate::pace::ServiceRate;
use crate::queue::FairQueues;

use std::collections::{BTreeMap, BTreeSet};

use nanorand::{Rng, WyRand};
use nettlemux_policy::{FlowId, MS, SEC, Time};

/// What the operator says of the door.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Flows that may wait at once, and of one key.
    pub waiting: usize,
    pub waiting_each: usize,
    /// Flows that the module may hold before the door lets nobody else in.
    pub held: usize,
    /// New flows a second of one key, and how many may come at once; 0: no limit.
    pub rate: f64,
    pub burst: f64,
    /// Connections that one key may hold; 0: no limit.
    pub open: usize,
    /// Clients' retries that each established flow pays for, and how many may be saved up; 0: no budget.
    pub retries: f64,
    pub saved: f64,
    /// Places in the fixed tables of limits and promises.
    pub table: usize,
    /// The longest Retry-After that may be told.
    pub longest: Time,
    /// Weights of keys that are not 1, by their number.
    pub weights: BTreeMap<u64, f64>,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        AdmissionConfig {
            waiting: 1024,
            waiting_each: 64,
            held: 4,
            rate: 0.0,
            burst: 20.0,
            open: 0,
            retries: 0.0,
            saved: 100.0,
            table: 4096,
            longest: 2 * SEC,
            weights: BTreeMap::new(),
        }
    }
}

/// A flow at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    pub flow: FlowId,
    /// Whose turn it takes.
    pub key: u64,
    /// Who it is, to be known again when it comes back; never trusted beyond that.
    pub client: u64,
    /// It says that it has tried before.
    pub retry: bool,
    /// When its latency objective runs out: past that it waits no more.
    pub target: Time,
}

/// Why a flow was sent away by the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// All places to wait are taken, or its key's are.
    Full,
    /// Its turn can't come, or hasn't, before its latency objective runs out.
    Late,
    /// Its key comes too often, or holds too much.
    Rate,
    Open,
    /// The budget of retries is empty.
    Retries,
    /// The balancer is to end.
    Closing,
}

/// What becomes of a flow at the door.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The flow goes on to the policy.
    Admit(FlowId),
    /// The flow is rejected; none of its attempts has been made.
    Reject {
        flow: FlowId,
        reason: RejectReason,
        /// How long its client is told to wait before it tries again.
        retry_after: Time,
    },
}

/// One balancer's door.
pub struct AdmissionController {
    config: AdmissionConfig,
    queues: FairQueues,
    /// When each flow that waits is given up, and its key.
    targets: BTreeSet<(Time, FlowId)>,
    waiting: BTreeMap<FlowId, AdmissionRequest>,
    /// Those that went in and aren't over: their keys, and whether each is still being set up.
    inside: BTreeMap<FlowId, (u64, u64)>,
    open: BTreeMap<u64, usize>,
    /// Flows that the module holds, by key.
    held: BTreeMap<u64, usize>,
    buckets: TokenBuckets,
    promises: RetryAfterPromises,
    returns: RetryAfterSchedule,
    /// The paces at which flows get their turns, and at which they are established.
    turns: ServiceRate,
    pace: ServiceRate,
    budget: f64,
    closing: bool,
    rng: WyRand,
}

impl AdmissionController {
    pub fn new(config: AdmissionConfig, seed: u64) -> Self {
        let mut rng = WyRand::new_seed(seed);
        let hash = rng.generate::<u64>();
        AdmissionController {
            queues: FairQueues::default(),
            targets: BTreeSet::new(),
            waiting: BTreeMap::new(),
            inside: BTreeMap::new(),
            open: BTreeMap::new(),
            held: BTreeMap::new(),
            buckets: TokenBuckets::new(config.table, hash),
            promises: RetryAfterPromises::new(config.table, hash),
            returns: RetryAfterSchedule::new(config.longest),
            turns: ServiceRate::default(),
            pace: ServiceRate::default(),
            budget: config.saved,
            closing: false,
            rng,
            config,
        }
    }

    /// Takes new limits and weights. Nobody who waits is dropped; what is over a lowered limit waits its time out.
    pub fn change(&mut self, config: AdmissionConfig) {
        self.queues
            .weigh(|key| config.weights.get(&key).copied().unwrap_or(1.0));
        self.budget = self.budget.min(config.saved);
        self.config = AdmissionConfig {
            table: self.config.table,
            longest: self.config.longest,
            ..config
        };
    }

    pub fn waits(&self, flow: FlowId) -> bool {
        self.waiting.contains_key(&flow)
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn weight(&self, key: u64) -> f64 {
        self.config
            .weights
            .get(&key)
            .copied()
            .unwrap_or(1.0)
            .max(1e-3)
    }

    /// A flow has come; whether it may go on is told by [`AdmissionController::turns`], which is to be asked next.
    pub fn arrives(
        &mut self,
        now: Time,
        ticket: AdmissionRequest,
        out: &mut Vec<AdmissionDecision>,
    ) {
        let keeps_promise = self.promises.kept(now, ticket.client);
        let config = &self.config;
        let held = self.open.get(&ticket.key).copied().unwrap_or(0);
        let full = self.waiting.len() >= config.waiting
            || self.queues.length(ticket.key) >= config.waiting_each;
        let why = match () {
            () if self.closing => Some(RejectReason::Closing),
            () if config.open > 0 && held >= config.open => Some(RejectReason::Open),
            // One that comes when it was told to has paid for its turn already.
            () if !keeps_promise
                && !self
                    .buckets
                    .take(now, ticket.key, config.rate, config.burst) =>
            {
                Some(RejectReason::Rate)
            }
            () if !keeps_promise && ticket.retry && config.retries > 0.0 && self.budget < 1.0 => {
                Some(RejectReason::Retries)
            }
            () if full => Some(RejectReason::Full),
            () => None,
        };
        if why.is_none() && !keeps_promise && ticket.retry && self.config.retries > 0.0 {
            self.budget -= 1.0;
        }
        // Given up at once where its turn can't come in time: held it would only be late.
        let why = why.or_else(|| {
            let need = self.need(ticket.key, self.turns.slowest());
            (self.waiting.len() > self.config.held && now + need > ticket.target)
                .then_some(RejectReason::Late)
        });
        match why {
            Some(why) => self.send_away(now, ticket, why, out),
            None => {
                self.queues.push(
                    ticket.key,
                    ticket.flow,
                    self.weight(ticket.key),
                    keeps_promise,
                );
                self.targets.insert((ticket.target, ticket.flow));
                self.waiting.insert(ticket.flow, ticket);
            }
        }
    }

    /// How long one more of this key takes at that pace.
    fn need(&self, key: u64, pace: f64) -> Time {
        let ahead = self.queues.ahead(key, self.weight(key));
        (ahead / pace * SEC as f64) as Time
    }

    /// Lets in whose turn it is, and gives up what has waited past its target.
    pub fn turns(&mut self, now: Time, out: &mut Vec<AdmissionDecision>) {
        while let Some((_, flow)) = self
            .targets
            .first()
            .copied()
            .filter(|(at, _)| self.closing || *at <= now)
        {
            if let Some(ticket) = self.forget(flow) {
                let why = if self.closing {
                    RejectReason::Closing
                } else {
                    RejectReason::Late
                };
                self.send_away(now, ticket, why, out);
            }
        }
        // One at a time: the module must have been asked about it before the next one's turn is looked at.
        // No key may have more than half of the places with the module: guards against flows that find no room there, and
        // keep those out who would.
        let (most, held) = (self.config.held.div_ceil(2), &self.held);
        let may = |key: u64| held.get(&key).is_none_or(|count| *count < most);
        if held.values().sum::<usize>() < self.config.held
            && let Some(flow) = self.queues.pop(may)
            && let Some(ticket) = self.waiting.remove(&flow)
        {
            self.targets.remove(&(ticket.target, flow));
            self.turns.count(now);
            *self.open.entry(ticket.key).or_default() += 1;
            self.inside.insert(flow, (ticket.key, ticket.client));
            out.push(AdmissionDecision::Admit(flow));
        }
    }

    /// When [`AdmissionController::turns`] is to be asked at the latest.
    pub fn due(&self) -> Option<Time> {
        self.targets.first().map(|(at, _)| *at)
    }

    fn forget(&mut self, flow: FlowId) -> Option<AdmissionRequest> {
        let ticket = self.waiting.remove(&flow)?;
        self.targets.remove(&(ticket.target, flow));
        self.queues.remove(ticket.key, flow);
        Some(ticket)
    }

    fn send_away(
        &mut self,
        now: Time,
        ticket: AdmissionRequest,
        why: RejectReason,
        out: &mut Vec<AdmissionDecision>,
    ) {
        // Besides the queue's need: a key over its rate waits for its next token, one that holds all it may for an end,
        // of which nothing is known.
        let least = match why {
            RejectReason::Rate => self.buckets.wait(now, ticket.key, self.config.rate),
            RejectReason::Open => self.config.longest,
            _ => 0,
        };
        let wait = self.retry_after(now, ticket.key, ticket.client, least);
        out.push(AdmissionDecision::Reject {
            flow: ticket.flow,
            reason: why,
            retry_after: wait,
        });
    }

    /// A time to come back for one that is sent away: never shorter than the queue needs, in a slice that few others were
    /// told, and remembered.
    fn retry_after(&mut self, now: Time, key: u64, client: u64, least: Time) -> Time {
        // A turn that finds no room is none: the lower pace of the two is told.
        let need = self.need(key, self.pace.slowest().min(self.turns.slowest()));
        let wait = self.returns.book(now, need.max(least), &mut self.rng);
        self.promises.give(now + wait, client);
        wait
    }

    /// The same for a flow that went in and was refused by the module; none if it isn't known.
    pub fn retry_after_for(&mut self, now: Time, flow: FlowId) -> Option<Time> {
        let (key, client) = *self.inside.get(&flow)?;
        Some(self.retry_after(now, key, client, 0))
    }

    /// The module holds these flows now.
    pub fn holds(&mut self, flows: &[FlowId]) {
        self.held.clear();
        for (key, _) in flows.iter().filter_map(|flow| self.inside.get(flow)) {
            *self.held.entry(*key).or_default() += 1;
        }
    }

    /// A flow that went in was established.
    pub fn flow_connected(&mut self, now: Time) {
        self.pace.count(now);
        self.budget = (self.budget + self.config.retries).min(self.config.saved);
    }

    /// Time has passed without anybody being served: the pace is looked at anew.
    pub fn look(&mut self, now: Time) {
        self.turns.look(now);
        self.pace.look(now);
    }

    /// Its client has left, or nothing more comes of it: the one place where its place is given back.
    pub fn over(&mut self, flow: FlowId) {
        self.forget(flow);
        if let Some((key, _)) = self.inside.remove(&flow)
            && let Some(count) = self.open.get_mut(&key)
        {
            *count -= 1;
            if *count == 0 {
                self.open.remove(&key);
            }
        }
    }

    /// The balancer is to end: nobody waits any more.
    pub fn close(&mut self) {
        self.closing = true;
    }
}

/// A key out of a name, the same for one name within a run and known to nobody outside.
pub fn key(seed: u64, name: &[u8]) -> u64 {
    let mixed = |hash: u64, of: u64| WyRand::new_seed(hash ^ of).generate::<u64>();
    name.iter()
        .fold(mixed(seed, name.len() as u64), |hash, byte| {
            mixed(hash, u64::from(*byte))
        })
}

/// How soon a door whose queue isn't empty is to be asked again, whatever else happens.
pub const LOOK_AGAIN: Time = 20 * MS;

#[cfg(test)]
mod tests {
    use super::*;

    fn ticket(flow: FlowId, key: u64) -> AdmissionRequest {
        AdmissionRequest {
            flow,
            key,
            client: flow,
            retry: false,
            target: 99 * SEC,
        }
    }

    /// The module holds all that it may, of keys that are nobody's here.
    fn hold(admission: &mut AdmissionController) {
        let flows = [9001, 9002, 9003, 9004];
        flows
            .iter()
            .for_each(|flow| _ = admission.inside.insert(*flow, (*flow, *flow)));
        admission.holds(&flows);
    }

    fn arrive(
        admission: &mut AdmissionController,
        now: Time,
        ticket: AdmissionRequest,
    ) -> Option<(RejectReason, Time)> {
        let mut out = Vec::new();
        admission.arrives(now, ticket, &mut out);
        out.first().map(|turn| match turn {
            AdmissionDecision::Reject {
                reason,
                retry_after,
                ..
            } => (*reason, *retry_after),
            other => panic!("{other:?}"),
        })
    }

    fn next(admission: &mut AdmissionController, now: Time) -> Vec<AdmissionDecision> {
        let mut out = Vec::new();
        admission.turns(now, &mut out);
        out
    }

    /// A door whose pace is known: so many a second.
    fn paced(config: AdmissionConfig, a_second: u64) -> AdmissionController {
        let mut admission = AdmissionController::new(config, 7);
        for k in 0..20 * a_second {
            admission.flow_connected(k * SEC / a_second);
            admission.turns.count(k * SEC / a_second);
        }
        admission
    }

    #[test]
    fn turns_go_round_the_keys_by_weight_however_many_one_sends() {
        let config = AdmissionConfig {
            weights: BTreeMap::from([(3, 2.0)]),
            ..AdmissionConfig::default()
        };
        let mut admission = AdmissionController::new(config, 1);
        (0..50).for_each(|flow| assert_eq!(arrive(&mut admission, 0, ticket(flow, 1)), None));
        assert_eq!(arrive(&mut admission, 0, ticket(100, 2)), None);
        (200..204).for_each(|flow| assert_eq!(arrive(&mut admission, 0, ticket(flow, 3)), None));
        let entered: Vec<FlowId> = (0..8)
            .flat_map(|_| next(&mut admission, 0))
            .map(|turn| match turn {
                AdmissionDecision::Admit(flow) => flow,
                other => panic!("{other:?}"),
            })
            .collect();
        assert_eq!(entered, [0, 100, 200, 201, 1, 202, 203, 2]);
    }

    #[test]
    fn nobody_enters_while_the_module_holds_and_nobody_waits_past_its_target() {
        let mut admission = AdmissionController::new(AdmissionConfig::default(), 1);
        hold(&mut admission);
        assert_eq!(
            arrive(
                &mut admission,
                0,
                AdmissionRequest {
                    target: SEC,
                    ..ticket(1, 1)
                }
            ),
            None
        );
        assert_eq!(
            (next(&mut admission, 0), admission.due()),
            (vec![], Some(SEC))
        );
        assert!(matches!(
            next(&mut admission, SEC)[..],
            [AdmissionDecision::Reject {
                flow: 1,
                reason: RejectReason::Late,
                ..
            }]
        ));
        assert_eq!((admission.waiting(), admission.due()), (0, None));
        admission.holds(&[]);
        assert_eq!(next(&mut admission, SEC), []);
        // One key's flows that find no room take half of the places, and another's still enter.
        (10..13).for_each(|flow| assert_eq!(arrive(&mut admission, SEC, ticket(flow, 1)), None));
        assert_eq!(next(&mut admission, SEC), [AdmissionDecision::Admit(10)]);
        assert_eq!(next(&mut admission, SEC), [AdmissionDecision::Admit(11)]);
        admission.holds(&[10, 11]);
        assert_eq!(next(&mut admission, SEC), []);
        assert_eq!(arrive(&mut admission, SEC, ticket(20, 2)), None);
        assert_eq!(next(&mut admission, SEC), [AdmissionDecision::Admit(20)]);
    }

    #[test]
    fn what_cannot_be_in_time_is_sent_away_at_once_and_told_no_less_than_it_takes() {
        let mut admission = paced(
            AdmissionConfig {
                waiting_each: 500,
                ..AdmissionConfig::default()
            },
            20,
        );
        let now = 20 * SEC;
        hold(&mut admission);
        let mut sent = Vec::new();
        for flow in 0..100 {
            sent.extend(arrive(
                &mut admission,
                now,
                AdmissionRequest {
                    target: now + SEC,
                    ..ticket(flow, 1)
                },
            ));
        }
        // At 20 a second some 20 can be in time.
        assert!(
            (15..25).contains(&admission.waiting()),
            "{}",
            admission.waiting()
        );
        assert!(
            sent.iter().all(|(why, wait)| *why == RejectReason::Late
                && *wait >= 700 * MS
                && *wait <= 2 * SEC),
            "{sent:?}"
        );
        // Another key's turn is next to come.
        assert_eq!(
            arrive(
                &mut admission,
                now,
                AdmissionRequest {
                    target: now + SEC,
                    ..ticket(500, 2)
                }
            ),
            None
        );
    }

    #[test]
    fn limits_hold_by_key() {
        let config = AdmissionConfig {
            rate: 2.0,
            burst: 3.0,
            open: 5,
            ..AdmissionConfig::default()
        };
        let mut admission = AdmissionController::new(config, 1);
        let whys = |admission: &mut AdmissionController, now, from: u64| {
            (from..from + 5)
                .map(|flow| arrive(admission, now, ticket(flow, 9)).map(|sent| sent.0))
                .collect::<Vec<_>>()
        };
        let rate = Some(RejectReason::Rate);
        assert_eq!(whys(&mut admission, 0, 0), [None, None, None, rate, rate]);
        assert_eq!(
            whys(&mut admission, SEC, 10),
            [None, None, rate, rate, rate]
        );
        // The next token comes after half a second, and not sooner than told.
        assert!(
            arrive(&mut admission, SEC, ticket(98, 9)).is_some_and(|(_, wait)| wait >= 490 * MS)
        );
        assert_eq!(
            arrive(&mut admission, SEC, ticket(99, 8)),
            None,
            "another key"
        );
        // Five are in: the key holds all it may, until one is over.
        while !next(&mut admission, SEC).is_empty() {}
        assert_eq!(
            whys(&mut admission, 9 * SEC, 20)[0],
            Some(RejectReason::Open)
        );
        admission.over(0);
        assert_eq!(whys(&mut admission, 9 * SEC, 30)[0], None);
    }

    #[test]
    fn retries_are_paid_for_by_established_flows() {
        let mut admission = AdmissionController::new(
            AdmissionConfig {
                retries: 0.5,
                saved: 2.0,
                ..AdmissionConfig::default()
            },
            1,
        );
        let retry = |flow| AdmissionRequest {
            retry: true,
            ..ticket(flow, flow)
        };
        assert_eq!(arrive(&mut admission, 0, retry(1)), None);
        assert_eq!(arrive(&mut admission, 0, retry(2)), None);
        assert_eq!(
            arrive(&mut admission, 0, retry(3)).map(|sent| sent.0),
            Some(RejectReason::Retries)
        );
        assert_eq!(arrive(&mut admission, 0, ticket(4, 4)), None, "a first try");
        admission.flow_connected(0);
        admission.flow_connected(0);
        assert_eq!(arrive(&mut admission, 0, retry(5)), None);
    }

    #[test]
    fn one_that_comes_when_it_was_told_is_before_newcomers_and_one_that_comes_early_is_not() {
        for (early, first) in [(false, 2), (true, 1)] {
            let mut admission = paced(
                AdmissionConfig {
                    waiting_each: 1,
                    ..AdmissionConfig::default()
                },
                10,
            );
            let now = 20 * SEC;
            hold(&mut admission);
            assert_eq!(arrive(&mut admission, now, ticket(0, 1)), None);
            let (why, wait) = arrive(
                &mut admission,
                now,
                AdmissionRequest {
                    client: 77,
                    ..ticket(9, 1)
                },
            )
            .unwrap();
            assert_eq!(why, RejectReason::Full);
            admission.over(0);
            let comes = if early { now + wait / 3 } else { now + wait };
            // A newcomer was there a moment before.
            assert_eq!(arrive(&mut admission, comes, ticket(1, 5)), None);
            assert_eq!(
                arrive(
                    &mut admission,
                    comes,
                    AdmissionRequest {
                        client: 77,
                        ..ticket(2, 6)
                    }
                ),
                None
            );
            admission.holds(&[]);
            assert_eq!(
                next(&mut admission, comes),
                [AdmissionDecision::Admit(first)],
                "early {early}"
            );
        }
    }

    /// Guards against memory that grows with the clients: 50,000 of them, one attempt each, some of which hang up.
    #[test]
    fn memory_is_bounded_and_every_flow_leaves_once() {
        let mut admission = paced(AdmissionConfig::default(), 100);
        let mut rng = WyRand::new_seed(3);
        let (mut entered, mut sent, mut hung_up) = (0, 0, 0);
        let mut inside = Vec::new();
        for flow in 0..50_000u64 {
            let now = 20 * SEC + flow * MS / 10;
            let mut out = Vec::new();
            let target = now + 300 * MS;
            admission.arrives(
                now,
                AdmissionRequest {
                    target,
                    ..ticket(flow, key(1, &flow.to_le_bytes()))
                },
                &mut out,
            );
            if rng.generate_range(0..10u32) == 0 && admission.waits(flow) {
                admission.over(flow);
                hung_up += 1;
            }
            if flow % 10 == 0 {
                admission.turns(now, &mut out);
            }
            for turn in out {
                match turn {
                    AdmissionDecision::Admit(flow) => {
                        entered += 1;
                        inside.push(flow);
                        admission.flow_connected(now);
                    }
                    AdmissionDecision::Reject { .. } => sent += 1,
                }
            }
            assert!(admission.waiting() <= 1024);
        }
        inside.into_iter().for_each(|flow| admission.over(flow));
        admission.close();
        let mut out = Vec::new();
        admission.turns(60 * SEC, &mut out);
        let left = out.len();
        assert_eq!(entered + sent + hung_up + left, 50_000);
        assert!(
            entered > 4000 && sent > 0 && hung_up > 0,
            "{entered} {sent} {hung_up}"
        );
        assert!(
            admission.waiting.is_empty()
                && admission.targets.is_empty()
                && admission.queues.is_empty()
        );
        assert!(admission.inside.is_empty() && admission.open.is_empty());
    }

    /// Work conserving: while anyone waits and the module holds nothing, each look lets one in; and none starves.
    #[test]
    fn a_look_lets_someone_in_while_anyone_waits_and_no_key_starves() {
        let mut admission = AdmissionController::new(
            AdmissionConfig {
                waiting: 5000,
                waiting_each: 500,
                ..AdmissionConfig::default()
            },
            1,
        );
        let mut rng = WyRand::new_seed(5);
        let mut last = [0u64; 20];
        let mut flow = 0;
        for step in 0..5000u64 {
            for _ in 0..rng.generate_range(0..4u32) {
                flow += 1;
                // Key 0 sends half of all.
                let key = if rng.generate_range(0..2u32) == 0 {
                    0
                } else {
                    rng.generate_range(0..20u64)
                };
                let _ = arrive(&mut admission, 0, ticket(flow * 32 + key, key));
            }
            let waited = admission.waiting();
            match next(&mut admission, 0)[..] {
                [AdmissionDecision::Admit(flow)] => last[(flow % 32) as usize] = step,
                ref other => assert!(
                    waited == 0 && other.is_empty(),
                    "{other:?} with {waited} waiting"
                ),
            }
        }
        // Each key has had a turn within the last few rounds.
        assert!(last.iter().all(|at| *at + 100 > 5000), "{last:?}");
    }

    #[test]
    fn weights_and_limits_change_while_it_is_full() {
        let mut admission = AdmissionController::new(AdmissionConfig::default(), 1);
        (0..40)
            .for_each(|flow| assert_eq!(arrive(&mut admission, 0, ticket(flow, flow % 2)), None));
        let weights = BTreeMap::from([(1, 3.0)]);
        admission.change(AdmissionConfig {
            waiting: 10,
            weights,
            ..AdmissionConfig::default()
        });
        assert_eq!(admission.waiting(), 40, "nobody is dropped");
        assert_eq!(
            arrive(&mut admission, 0, ticket(99, 5)).map(|sent| sent.0),
            Some(RejectReason::Full)
        );
        let entered = (0..16).flat_map(|_| next(&mut admission, 0));
        let odd = entered
            .filter(|turn| matches!(turn, AdmissionDecision::Admit(flow) if flow % 2 == 1))
            .count();
        assert!((11..=13).contains(&odd), "{odd} of 16");
    }
}
