//! The rule checker. It reads only the facts that the testbed's clients, servers and discovery
//! observed ([`Observation`]), in order of time. It keeps only the state that it needs: open flows,
//! recently closed flows, and the recent attempts at servers in slow start. It must get no input
//! from a balancer, nor the model's expectation of a correct decision.

mod records;
mod verdict;

use std::collections::{BTreeMap, VecDeque};

use nettlemux_fleet_model::observation::{ClosedBy, FinalAnswer, Idempotency, Observation};
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, SEC, Time};

use records::{AttemptRecord, FlowRecord, ServerRecord, SlowStart};
pub use verdict::{Rule, Verdict, Violation};

/// How long a closed flow is kept, to notice further answers and attempts.
const CLOSED_FLOW_RETENTION: Time = 10 * SEC;
/// The number of violations that are described. All violations are counted.
const EXAMPLES_MAX: usize = 20;

/// Checks a run against the rules.
pub struct RuleChecker {
    hedging: bool,
    grace: Time,
    slow_start: SlowStart,
    /// The time that is added to each time limit.
    tolerance: Time,
    servers: BTreeMap<usize, ServerRecord>,
    /// The time at which a balancer was notified that a server is not ready, by balancer and server.
    not_ready_since: BTreeMap<(usize, usize), Time>,
    flows: BTreeMap<u64, FlowRecord>,
    /// Closed flows, in the order in which they were closed.
    closed: VecDeque<(Time, u64)>,
    verdict: Verdict,
    now: Time,
}

impl RuleChecker {
    /// Creates a checker. `tolerance` is added to each time limit, in nanoseconds.
    pub fn new(scenario: &Scenario, tolerance: Time) -> Self {
        let (limits, fleet) = (&scenario.limits, &scenario.fleet);
        RuleChecker {
            hedging: limits.hedging,
            grace: seconds(limits.grace),
            slow_start: SlowStart {
                initial_capacity: fleet.initial_capacity,
                warm_up: seconds(fleet.warm_up),
                collapse_multiple: fleet.collapse_multiple,
                collapse_window: seconds(fleet.collapse_window),
                connection_rate: fleet.connection_rate,
            },
            tolerance,
            servers: BTreeMap::new(),
            not_ready_since: BTreeMap::new(),
            flows: BTreeMap::new(),
            closed: VecDeque::new(),
            verdict: Verdict::default(),
            now: 0,
        }
    }

    fn violation(&mut self, rule: Rule, what: String) {
        *self.verdict.violations.entry(rule).or_default() += 1;
        if self.verdict.examples.len() < EXAMPLES_MAX {
            let at = self.now;
            self.verdict.examples.push(Violation { rule, at, what });
        }
    }

    /// Processes the next fact. Facts must be passed in order of time.
    pub fn observe(&mut self, fact: &Observation) {
        self.now = self.now.max(fact.at().unwrap_or(self.now));
        self.remove_old_closed_flows();
        self.dispatch(fact);
    }

    /// Passes a fact to the check for its kind.
    fn dispatch(&mut self, fact: &Observation) {
        match *fact {
            Observation::Header { .. } => {}
            Observation::Server {
                server, zone, cell, ..
            } => self.server_located(server, zone, cell),
            Observation::ServerStarted { at, server } => self.server_started(at, server),
            Observation::ServerCollapsed { server, .. } => self.server_collapsed(server),
            Observation::EndpointNotified {
                at,
                balancer,
                server,
                ready,
            } => self.endpoint_notified(at, balancer, server, ready),
            Observation::Accepted {
                flow,
                balancer,
                idempotency,
                deadline,
                ..
            } => self.accepted(flow, FlowRecord::new(balancer, idempotency, deadline)),
            Observation::Answered { at, flow, answer } => self.answered(at, flow, answer),
            Observation::ClientLeft { at, flow } => self.client_left(at, flow),
            Observation::Attempt {
                at,
                balancer,
                flow,
                number,
                server,
            } => self.attempt(balancer, flow, AttemptRecord::new(number, server, at)),
            Observation::AttemptEnded {
                flow,
                number,
                known_unexecuted,
                ..
            } => self.attempt_ended(flow, number, known_unexecuted),
            Observation::ConnectionClosed {
                at,
                flow,
                by,
                client_notified,
                server_healthy,
            } => self.connection_closed(at, flow, by, server_healthy && !client_notified),
            Observation::BalancerEnded {
                at,
                balancer,
                planned,
            } => self.balancer_ended(at, balancer, planned),
        }
    }

    fn server_located(&mut self, server: usize, zone: usize, cell: usize) {
        let record = self.servers.entry(server).or_default();
        (record.zone, record.cell) = (zone, cell);
    }

    fn server_started(&mut self, at: Time, server: usize) {
        let record = self.servers.entry(server).or_default();
        record.started = Some(at);
        record.sent.clear();
    }

    fn server_collapsed(&mut self, server: usize) {
        let what = format!("server {server} collapsed in its slow start");
        self.violation(Rule::Cold, what);
    }

    fn connection_closed(&mut self, at: Time, id: u64, by: ClosedBy, without_notice: bool) {
        if by == ClosedBy::Balancer && without_notice {
            let what = format!("flow {id} was closed without notice to its client");
            self.violation(Rule::Cut, what);
        }
        self.close(at, id);
    }

    fn remove_old_closed_flows(&mut self) {
        while let Some((closed_at, flow)) = self.closed.front().copied()
            && closed_at + CLOSED_FLOW_RETENTION < self.now
        {
            self.closed.pop_front();
            self.flows.remove(&flow);
        }
    }

    fn endpoint_notified(&mut self, at: Time, balancer: usize, server: usize, ready: bool) {
        if ready {
            self.not_ready_since.remove(&(balancer, server));
        } else {
            self.not_ready_since.entry((balancer, server)).or_insert(at);
        }
    }

    fn accepted(&mut self, id: u64, flow: FlowRecord) {
        self.verdict.flows += 1;
        self.flows.insert(id, flow);
    }

    fn client_left(&mut self, at: Time, id: u64) {
        // A client that disconnects after its deadline was not answered in time; it must not count
        // as a client that disconnected of its own accord.
        let unanswered = self.flows.get(&id).filter(|flow| flow.awaits_answer());
        if unanswered.is_some_and(|flow| at > flow.deadline + self.tolerance) {
            self.violation(Rule::Lost, format!("flow {id} was not answered in time"));
        }
        self.close(at, id);
    }

    fn attempt_ended(&mut self, id: u64, number: usize, known_unexecuted: bool) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        let in_flight = |attempt: &&mut AttemptRecord| {
            attempt.number == number && attempt.known_unexecuted.is_none()
        };
        if let Some(attempt) = flow.attempts.iter_mut().rev().find(in_flight) {
            attempt.known_unexecuted = Some(known_unexecuted);
        }
    }

    fn balancer_ended(&mut self, at: Time, balancer: usize, planned: bool) {
        let open: Vec<u64> = (self.flows.iter())
            .filter(|(_, flow)| flow.balancer == balancer && flow.closed_at.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            // Before a graceful shutdown ends, a balancer must answer each flow and tell each
            // connected client to move.
            if planned {
                let (rule, state) = match self.flows[&id].answer {
                    None => (Rule::Lost, "unanswered"),
                    Some(_) => (Rule::Cut, "open"),
                };
                let what = format!("flow {id} was {state} when balancer {balancer} ended");
                self.violation(rule, what);
            }
            self.close(at, id);
        }
        self.not_ready_since
            .retain(|(other, _), _| *other != balancer);
    }

    fn answered(&mut self, at: Time, id: u64, answer: FinalAnswer) {
        let Some(flow) = self.flows.get_mut(&id) else {
            let what = format!("flow {id} was answered {answer:?} after it was closed");
            return self.violation(Rule::AfterTheEnd, what);
        };
        let before = flow.answer.replace(answer);
        let late = at > flow.deadline + self.tolerance;
        let client_left = flow.closed_at.is_some() && before.is_none();
        let unsafe_reject = answer == FinalAnswer::Rejected && flow.must_not_be_rejected();
        if answer != FinalAnswer::Connected {
            self.close(at, id);
        }
        if let Some(before) = before {
            let what = format!("flow {id} was answered {before:?}, then {answer:?}");
            self.violation(Rule::AnsweredTwice, what);
        } else if late && !client_left {
            self.violation(
                Rule::Late,
                format!("flow {id} was answered {answer:?} after its deadline"),
            );
        }
        if unsafe_reject {
            let what = format!("flow {id} was rejected and may have been executed");
            self.violation(Rule::Twice, what);
        }
    }

    fn close(&mut self, at: Time, id: u64) {
        if let Some(flow) = self.flows.get_mut(&id)
            && flow.closed_at.is_none()
        {
            flow.closed_at = Some(at);
            self.closed.push_back((at, id));
        }
    }

    fn attempt(&mut self, balancer: usize, id: u64, attempt: AttemptRecord) {
        self.verdict.attempts += 1;
        let (at, server) = (attempt.at, attempt.server);
        self.check_drain(at, balancer, id, server);
        self.check_slow_start(at, server);
        let Some(flow) = self.flows.get(&id) else {
            let what = format!("an attempt for unknown flow {id}");
            return self.violation(Rule::AfterTheEnd, what);
        };
        let closed = flow
            .closed_at
            .is_some_and(|closed| at > closed + self.tolerance);
        let over = flow.answer.is_some() || closed;
        let in_flight = |attempt: &AttemptRecord| attempt.known_unexecuted.is_none();
        let two_in_flight = !self.hedging && flow.attempts.iter().any(in_flight);
        let twice = self.may_run_twice(flow, &attempt);
        let flow = self.flows.get_mut(&id).expect("the flow was found above");
        flow.attempts.push(attempt);
        if over {
            let what = format!("an attempt for flow {id}, which is answered or closed");
            self.violation(Rule::AfterTheEnd, what);
        }
        if two_in_flight {
            let what = format!("flow {id} has two attempts in flight");
            self.violation(Rule::TwoInFlight, what);
        }
        if twice {
            let what = format!("flow {id} was repeated and may have been executed");
            self.violation(Rule::Twice, what);
        }
    }

    fn check_drain(&mut self, at: Time, balancer: usize, id: u64, server: usize) {
        let since = self.not_ready_since.get(&(balancer, server)).copied();
        if since.is_some_and(|since| at > since + self.grace + self.tolerance) {
            let what = format!("flow {id} was sent to server {server}, which is not ready");
            self.violation(Rule::Drain, what);
        }
    }

    /// Whether one more attempt may execute a flow twice.
    fn may_run_twice(&self, flow: &FlowRecord, attempt: &AttemptRecord) -> bool {
        let mut ran = flow.attempts.iter().filter(|other| other.may_have_run());
        match flow.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => ran.next().is_some(),
            Idempotency::Deduplicated { scope, window } => ran.any(|earlier| {
                let servers = self
                    .servers
                    .get(&earlier.server)
                    .zip(self.servers.get(&attempt.server));
                let dropped = servers.is_some_and(|(first, now)| first.shares_scope(now, scope));
                !dropped || attempt.at > earlier.at + window + self.tolerance
            }),
        }
    }

    fn check_slow_start(&mut self, at: Time, server: usize) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        let Some(age) = record.started.map(|started| at.saturating_sub(started)) else {
            return;
        };
        if age >= self.slow_start.warm_up {
            return;
        }
        record.sent.push_back(at);
        while record
            .sent
            .front()
            .is_some_and(|sent| sent + self.slow_start.collapse_window < at)
        {
            record.sent.pop_front();
        }
        let (sent, budget) = (record.sent.len(), self.slow_start.budget(age));
        if sent as f64 > budget {
            record.sent.clear();
            let what =
                format!("server {server} was sent {sent} attempts, expected at most {budget:.1}");
            self.violation(Rule::Cold, what);
        }
    }

    /// Ends the run. Flows whose deadline has passed at `end` must have been answered.
    pub fn finish(mut self, end: Time) -> Verdict {
        self.now = end;
        let overdue = |flow: &FlowRecord| flow.deadline + self.tolerance + MS < end;
        let lost: Vec<u64> = (self.flows.iter())
            .filter(|(_, flow)| flow.awaits_answer() && overdue(flow))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.violation(Rule::Lost, format!("flow {id} was never answered"));
        }
        self.verdict
    }
}

#[cfg(test)]
mod tests;
