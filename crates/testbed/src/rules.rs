//! The judge of the rules. It reads only what crossed the stand-ins ([`Observation`]), in order of time, and keeps what it needs to
//! judge and no more: open flows, the last few seconds of closed ones, and cold servers' attempts. It must never be told
//! anything by a balancer, nor by the model about what it would have done.

use std::collections::{BTreeMap, VecDeque};

use nettlemux_fleet_model::observation::{
    ClosedBy, DeduplicationScope, FinalAnswer, Idempotency, Observation,
};
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_fleet_model::server::BUDGET_SLACK;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, SEC, Time};
use serde::Serialize;

/// How long after a flow's end a further answer or attempt is still noticed.
const REMEMBERED: Time = 10 * SEC;
/// So many breaks are told one by one; all are counted.
const TOLD: usize = 20;

/// The rules, by the names that are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: a flow without an answer by its time.
    Lost,
    /// 1: a second answer.
    AnsweredTwice,
    /// 1: an answer after its time.
    Late,
    /// 1: an answer, or an attempt, for a flow that is over.
    AfterTheEnd,
    /// 1: a connection cut off by the balancer, unannounced, while its server still answered.
    Cut,
    /// 2: an effect that may come twice.
    Twice,
    /// 2: two attempts in flight.
    TwoInFlight,
    /// 3: new work to a server that drains or is gone, after the grace.
    Drain,
    /// 4: a cold server sent more than it can bear.
    Cold,
}

/// One break.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: Time,
    pub what: String,
}

/// What a whole run comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    pub violations: BTreeMap<Rule, usize>,
    /// The first few.
    pub examples: Vec<Violation>,
    pub flows: usize,
    pub attempts: usize,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.violations.is_empty()
    }
}

struct AttemptRecord {
    number: usize,
    server: usize,
    at: Time,
    /// Once it is out no more: whether it was known not to have run.
    ended: Option<bool>,
}

struct Flow {
    balancer: usize,
    idempotency: Idempotency,
    deadline: Time,
    answered: Option<FinalAnswer>,
    /// Nothing more is owed, and since when.
    over: Option<Time>,
    attempts: Vec<AttemptRecord>,
}

#[derive(Default)]
struct ServerRecord {
    zone: usize,
    cell: usize,
    started: Option<Time>,
    /// Connects since it started, while it is cold.
    sent: VecDeque<Time>,
}

/// Watches a run.
pub struct RuleChecker {
    hedging: bool,
    grace: Time,
    initial_capacity: f64,
    warm_up: Time,
    multiple: f64,
    collapse_window: Time,
    connection_rate: f64,
    /// What is added to each time limit: nothing in virtual time, 50 ms on sockets.
    slack: Time,
    servers: BTreeMap<usize, ServerRecord>,
    /// When a balancer was told that a server is not ready.
    draining_since: BTreeMap<(usize, usize), Time>,
    flows: BTreeMap<u64, Flow>,
    over: VecDeque<(Time, u64)>,
    verdict: Verdict,
    now: Time,
}

impl RuleChecker {
    pub fn new(scenario: &Scenario, slack: Time) -> Self {
        let (limits, fleet) = (&scenario.limits, &scenario.fleet);
        RuleChecker {
            hedging: limits.hedging,
            grace: seconds(limits.grace),
            initial_capacity: fleet.initial_capacity,
            warm_up: seconds(fleet.warm_up),
            multiple: fleet.collapse_multiple,
            collapse_window: seconds(fleet.collapse_window),
            connection_rate: fleet.connection_rate,
            slack,
            servers: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            flows: BTreeMap::new(),
            over: VecDeque::new(),
            verdict: Verdict::default(),
            now: 0,
        }
    }

    fn broken(&mut self, rule: Rule, what: String) {
        *self.verdict.violations.entry(rule).or_default() += 1;
        if self.verdict.examples.len() < TOLD {
            self.verdict.examples.push(Violation {
                rule,
                at: self.now,
                what,
            });
        }
    }

    /// The next fact, in order of time.
    pub fn observe(&mut self, seen: &Observation) {
        self.now = self.now.max(seen.at().unwrap_or(self.now));
        while self
            .over
            .front()
            .is_some_and(|(at, _)| at + REMEMBERED < self.now)
        {
            let (_, flow) = self.over.pop_front().expect("looked at");
            self.flows.remove(&flow);
        }
        match *seen {
            Observation::Header { .. } => {}
            Observation::Server {
                server, zone, cell, ..
            } => {
                let place = self.servers.entry(server).or_default();
                (place.zone, place.cell) = (zone, cell);
            }
            Observation::ServerStarted { at, server } => {
                let place = self.servers.entry(server).or_default();
                place.started = Some(at);
                place.sent.clear();
            }
            Observation::ServerCollapsed { server, .. } => {
                self.broken(
                    Rule::Cold,
                    format!("server {server} fell over when it was cold"),
                );
            }
            Observation::EndpointNotified {
                at,
                balancer,
                server,
                ready,
            } => {
                if ready {
                    self.draining_since.remove(&(balancer, server));
                } else {
                    self.draining_since.entry((balancer, server)).or_insert(at);
                }
            }
            Observation::Accepted {
                flow,
                balancer,
                idempotency,
                deadline,
                ..
            } => {
                self.verdict.flows += 1;
                let (answered, over, attempts) = (None, None, Vec::new());
                self.flows.insert(
                    flow,
                    Flow {
                        balancer,
                        idempotency,
                        deadline,
                        answered,
                        over,
                        attempts,
                    },
                );
            }
            Observation::Answered {
                at,
                flow,
                answer: with,
            } => self.answered(at, flow, with),
            Observation::ClientLeft { at, flow } => {
                // Guards against a client that has waited in vain and is taken for one that changed its mind.
                let owed = self
                    .flows
                    .get(&flow)
                    .filter(|f| f.answered.is_none() && f.over.is_none());
                if owed.is_some_and(|f| at > f.deadline + self.slack) {
                    self.broken(Rule::Lost, format!("flow {flow} was not answered in time"));
                }
                self.ends(at, flow);
            }
            Observation::Attempt {
                at,
                balancer,
                flow,
                number,
                server,
            } => {
                self.verdict.attempts += 1;
                self.connect(at, balancer, flow, (number, server));
            }
            Observation::AttemptEnded {
                flow,
                number,
                known_unexecuted,
                ..
            } => {
                let made = self.flows.get_mut(&flow).and_then(|f| {
                    f.attempts
                        .iter_mut()
                        .rev()
                        .find(|made| made.number == number && made.ended.is_none())
                });
                if let Some(made) = made {
                    made.ended = Some(known_unexecuted);
                }
            }
            Observation::ConnectionClosed {
                at,
                flow,
                by,
                client_notified: told,
                server_healthy,
            } => {
                if by == ClosedBy::Balancer && server_healthy && !told {
                    self.broken(Rule::Cut, format!("flow {flow} was cut off unannounced"));
                }
                self.ends(at, flow);
            }
            Observation::BalancerEnded {
                at,
                balancer,
                planned,
            } => {
                let held: Vec<u64> = (self.flows.iter())
                    .filter(|(_, f)| f.balancer == balancer && f.over.is_none())
                    .map(|(id, _)| *id)
                    .collect();
                for flow in held {
                    // One that is ended in an orderly way still owes each flow an answer, and each client a word.
                    if planned {
                        let unanswered = self.flows[&flow].answered.is_none();
                        let (rule, what) = match unanswered {
                            true => (Rule::Lost, "unanswered"),
                            false => (Rule::Cut, "open"),
                        };
                        self.broken(
                            rule,
                            format!("flow {flow} was {what} when balancer {balancer} ended"),
                        );
                    }
                    self.ends(at, flow);
                }
                self.draining_since.retain(|(b, _), _| *b != balancer);
            }
        }
    }

    fn answered(&mut self, at: Time, id: u64, with: FinalAnswer) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return self.broken(
                Rule::AfterTheEnd,
                format!("flow {id} was answered {with:?}, long over"),
            );
        };
        let before = flow.answered.replace(with);
        let (late, left) = (
            at > flow.deadline + self.slack,
            flow.over.is_some() && before.is_none(),
        );
        let may_have_run = flow.attempts.iter().any(|made| made.ended != Some(true));
        let unsafe_word = with == FinalAnswer::Rejected
            && may_have_run
            && match flow.idempotency {
                Idempotency::Idempotent => false,
                // It is dropped wherever it comes again, while the window lasts.
                Idempotency::Deduplicated { scope, .. } => scope != DeduplicationScope::All,
                Idempotency::NonIdempotent => true,
            };
        if with != FinalAnswer::Connected {
            self.ends(at, id);
        }
        if let Some(before) = before {
            self.broken(
                Rule::AnsweredTwice,
                format!("flow {id}: {before:?}, then {with:?}"),
            );
        } else if late && !left {
            self.broken(Rule::Late, format!("flow {id}: {with:?}"));
        }
        if unsafe_word {
            self.broken(
                Rule::Twice,
                format!("flow {id} was rejected and may have run"),
            );
        }
    }

    fn ends(&mut self, at: Time, id: u64) {
        if let Some(flow) = self.flows.get_mut(&id)
            && flow.over.is_none()
        {
            flow.over = Some(at);
            self.over.push_back((at, id));
        }
    }

    fn connect(&mut self, at: Time, balancer: usize, id: u64, (number, server): (usize, usize)) {
        let since = self.draining_since.get(&(balancer, server)).copied();
        if since.is_some_and(|since| at > since + self.grace + self.slack) {
            self.broken(
                Rule::Drain,
                format!("flow {id} went to server {server}, which takes nothing new"),
            );
        }
        self.cold(at, server);
        let (hedging, slack) = (self.hedging, self.slack);
        let Some(flow) = self.flows.get(&id) else {
            return self.broken(
                Rule::AfterTheEnd,
                format!("a connect for flow {id}, which nobody asked for"),
            );
        };
        let over = flow.answered.is_some() || flow.over.is_some_and(|over| at > over + slack);
        let two = !hedging && flow.attempts.iter().any(|made| made.ended.is_none());
        let ran = || flow.attempts.iter().filter(|made| made.ended != Some(true));
        let twice = match flow.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => ran().next().is_some(),
            Idempotency::Deduplicated { scope, window } => ran().any(|made| {
                let (first, now) = (self.servers.get(&made.server), self.servers.get(&server));
                let same = first.zip(now).is_some_and(|(first, now)| match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == now.zone,
                    DeduplicationScope::Cell => first.cell == now.cell,
                });
                !same || at > made.at + window + slack
            }),
        };
        let made = AttemptRecord {
            number,
            server,
            at,
            ended: None,
        };
        self.flows
            .get_mut(&id)
            .expect("looked at")
            .attempts
            .push(made);
        if over {
            self.broken(
                Rule::AfterTheEnd,
                format!("a connect for flow {id}, which is answered"),
            );
        }
        if two {
            self.broken(Rule::TwoInFlight, format!("flow {id} has two connects out"));
        }
        if twice {
            self.broken(
                Rule::Twice,
                format!("flow {id} went again and may have run"),
            );
        }
    }

    /// The budget of a cold server: what it could set up in the window, so many times over, and a little chance.
    fn cold(&mut self, at: Time, server: usize) {
        let (collapse_window, warm_up) = (self.collapse_window, self.warm_up);
        let Some(place) = self.servers.get_mut(&server) else {
            return;
        };
        let Some(age) = place.started.map(|started| at.saturating_sub(started)) else {
            return;
        };
        if age >= warm_up {
            return;
        }
        place.sent.push_back(at);
        while place
            .sent
            .front()
            .is_some_and(|sent| sent + collapse_window < at)
        {
            place.sent.pop_front();
        }
        let warmth =
            self.initial_capacity + (1.0 - self.initial_capacity) * age as f64 / warm_up as f64;
        let budget =
            self.multiple * warmth * self.connection_rate * (collapse_window as f64 / SEC as f64)
                + BUDGET_SLACK;
        if place.sent.len() as f64 > budget {
            let sent = place.sent.len();
            place.sent.clear();
            self.broken(
                Rule::Cold,
                format!("server {server} was sent {sent} connects, {budget:.1} at most"),
            );
        }
    }

    /// The run has ended: whoever's time was up by then must have been answered.
    pub fn finish(mut self, end: Time) -> Verdict {
        self.now = end;
        let owed = self
            .flows
            .iter()
            .filter(|(_, f)| f.answered.is_none() && f.over.is_none());
        let lost: Vec<u64> = owed
            .filter(|(_, f)| f.deadline + self.slack + MS < end)
            .map(|(id, _)| *id)
            .collect();
        for flow in lost {
            self.broken(Rule::Lost, format!("flow {flow} was never answered"));
        }
        self.verdict
    }
}

#[cfg(test)]
mod tests;
