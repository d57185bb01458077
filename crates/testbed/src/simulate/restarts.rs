//! The end of a balancer's process, planned or not, and its return.

use nettlemux_fleet_model::observation::{Idempotency, Observation};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{FlowId, MS, SEC, Time};

use super::balancer::Incarnation;
use super::event::Event;
use super::flow::{ClientId, FlowPhase, FlowState};
use super::simulation::Simulation;

// A planned shutdown takes the same course as that of the balancer on sockets. Each time is from
// its beginning.

/// The front end stops dealing clients to the balancer.
const FRONT_STOPS: Time = 300 * MS;
/// The balancer begins to move its clients.
const MOVES_BEGIN: Time = 1500 * MS;
/// The balancer gives up the flows that still wait for an answer.
const LAST_ANSWER: Time = 3 * SEC;
/// The last client is moved.
const MOVES_END: Time = 3200 * MS;
/// The process ends.
pub(super) const SHUTDOWN_TIME: Time = 3500 * MS;
/// How often another part of the clients is moved.
const DRAIN_INTERVAL: Time = 50 * MS;
/// The time between one balancer's return and the next one's shutdown when they are restarted in
/// turn.
pub(super) const RESTART_GAP: Time = SEC;

impl Simulation<'_> {
    /// A running balancer is asked to shut down.
    pub(super) fn shutdown_begins(&mut self, balancer: usize, downtime: Time) {
        if !self.balancers[balancer].is_running() {
            return;
        }
        self.front.mark_dead(balancer, self.now + FRONT_STOPS);
        let balancer = self.incarnation(balancer);
        self.schedule(
            self.now + MOVES_BEGIN,
            Event::DrainStep {
                balancer,
                since: self.now,
            },
        );
        let ends = Event::BalancerEnds {
            balancer,
            planned: true,
            downtime,
        };
        self.schedule(self.now + SHUTDOWN_TIME, ends);
    }

    /// Moves as many clients as lets all of them be gone in time, and gives up late flows.
    pub(super) fn drain_step(&mut self, incarnation: Incarnation, since: Time) {
        if !self.is_current(incarnation) {
            return;
        }
        let balancer = incarnation.balancer;
        let elapsed = self.now - since;
        self.move_part_of_clients(balancer, elapsed);
        if elapsed >= LAST_ANSWER {
            self.give_up_waiting_flows(balancer);
        }
        let next = Event::DrainStep {
            balancer: incarnation,
            since,
        };
        self.schedule(self.now + DRAIN_INTERVAL, next);
    }

    fn move_part_of_clients(&mut self, balancer: usize, elapsed: Time) {
        let unmoved = self.flows_where(|state| state.balancer == balancer && !state.moving);
        let steps_left = (MOVES_END.saturating_sub(elapsed) / DRAIN_INTERVAL).max(1) as usize;
        for flow in unmoved.iter().take(unmoved.len().div_ceil(steps_left)) {
            self.move_client(*flow);
        }
    }

    /// Ends the attempts of flows that still wait for an answer, and fails those that have none in
    /// flight.
    fn give_up_waiting_flows(&mut self, balancer: usize) {
        for flow in self.cut_short(balancer) {
            match self.flows.get(&flow).and_then(|state| state.attempt) {
                Some(attempt) => self.attempt_deadline(flow, attempt.number),
                None => self.ask(balancer, |flow_table, now, actions| {
                    flow_table.fail(now, flow, actions)
                }),
            }
        }
    }

    /// Lets the flow table give up what it can, and returns the flows that are still owed an
    /// answer, in order.
    fn cut_short(&mut self, balancer: usize) -> Vec<FlowId> {
        let Some(flow_table) = &mut self.balancers[balancer].flow_table else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let mut waiting = flow_table.shorten_deadlines(self.now, &mut actions);
        waiting.sort_unstable();
        waiting.dedup();
        self.execute_all(balancer, actions);
        waiting
    }

    /// A balancer's process ends and all its flows are lost.
    pub(super) fn balancer_ends(
        &mut self,
        incarnation: Incarnation,
        planned: bool,
        downtime: Time,
    ) {
        let balancer = incarnation.balancer;
        if !self.is_current(incarnation) || !self.balancers[balancer].is_running() {
            return;
        }
        self.balancers[balancer].flow_table = None;
        self.balancers[balancer].epoch += 1;
        self.observe(Observation::BalancerEnded {
            at: self.now,
            balancer,
            planned,
        });
        if !planned {
            let notice = seconds(self.model.scenario.balancers.notice);
            self.front.mark_dead(balancer, self.now + notice);
        }
        for flow in self.flows_where(|state| state.balancer == balancer) {
            self.lose_flow(flow);
        }
        self.schedule(
            self.now + downtime.max(MS),
            Event::BalancerStarts { balancer },
        );
    }

    fn flows_where(&self, matches: impl Fn(&FlowState) -> bool) -> Vec<FlowId> {
        self.flows
            .iter()
            .filter(|(_, state)| matches(state))
            .map(|(flow, _)| *flow)
            .collect()
    }

    /// A flow ends with its balancer's process, without any word to its client.
    fn lose_flow(&mut self, flow: FlowId) {
        let state = &self.flows[&flow];
        let (client, phase) = (state.client, state.phase);
        if let Some(attempt) = state.attempt {
            self.detach(flow, attempt.server);
        }
        self.close(flow);
        match phase {
            FlowPhase::Settled => {}
            FlowPhase::Connected => {
                self.figures.lost += 1;
                self.reconnect(client, false);
            }
            FlowPhase::Waiting => self.retry_unanswered(client),
        }
    }

    /// A client lost its balancer while it waited. It takes a non-idempotent flow for failed, since
    /// it may have run.
    fn retry_unanswered(&mut self, client: ClientId) {
        let wait = match self.clients.idempotency(client, &self.model.scenario) {
            Idempotency::NonIdempotent => self.clients.failed(client, &self.model.scenario),
            _ => self.clients.rejected(client, None, &self.model.scenario),
        };
        self.retry_after(client, wait);
    }

    /// A balancer's process starts again and the front end deals clients to it.
    pub(super) fn balancer_returns(&mut self, balancer: usize) {
        self.start_balancer(balancer);
        self.front.mark_alive(balancer);
    }
}
