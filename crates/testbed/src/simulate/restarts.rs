//! The end of a balancer's process, planned or not, and its restart.

use nettlemux_fleet_model::observation::{Idempotency, Observation};
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{FlowId, MS, SEC, Time};

use super::balancer::Incarnation;
use super::event::Event;
use super::flow::{ClientId, FlowPhase, FlowState};
use super::simulation::Simulation;

// A planned shutdown has the same phases as that of the balancer on sockets. Each time is measured
// from the start of the shutdown.

/// When the front end stops assigning clients to the balancer.
const FRONT_END_REMOVAL: Time = 300 * MS;
/// When the balancer starts to migrate its clients.
const MIGRATION_START: Time = 1500 * MS;
/// When the balancer gives up the flows that still wait for an answer.
const ANSWER_CUTOFF: Time = 3 * SEC;
/// When the last client is migrated.
const MIGRATION_END: Time = 3200 * MS;
/// When the process ends.
pub(super) const SHUTDOWN_DURATION: Time = 3500 * MS;
/// The interval at which the next part of the clients is migrated.
const DRAIN_INTERVAL: Time = 50 * MS;
/// The time between the start of a balancer's new process and the next balancer's shutdown when
/// balancers are restarted in turn.
pub(super) const RESTART_GAP: Time = SEC;

impl Simulation<'_> {
    /// A running balancer is asked to shut down.
    pub(super) fn shutdown_begins(&mut self, balancer: usize, downtime: Time) {
        if !self.balancers[balancer].is_running() {
            return;
        }
        self.front_end
            .mark_dead(balancer, self.now + FRONT_END_REMOVAL);
        let balancer = self.incarnation(balancer);
        self.schedule(
            self.now + MIGRATION_START,
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
        self.schedule(self.now + SHUTDOWN_DURATION, ends);
    }

    /// Migrates enough clients that all are migrated in time, and gives up waiting flows once their
    /// time has passed.
    pub(super) fn drain_step(&mut self, incarnation: Incarnation, since: Time) {
        if !self.is_current(incarnation) {
            return;
        }
        let balancer = incarnation.balancer;
        let elapsed = self.now - since;
        self.migrate_part_of_clients(balancer, elapsed);
        if elapsed >= ANSWER_CUTOFF {
            self.give_up_waiting_flows(balancer);
        }
        let next = Event::DrainStep {
            balancer: incarnation,
            since,
        };
        self.schedule(self.now + DRAIN_INTERVAL, next);
    }

    fn migrate_part_of_clients(&mut self, balancer: usize, elapsed: Time) {
        let unmigrated = self.flows_where(|state| state.balancer == balancer && !state.migrating);
        let steps_left = (MIGRATION_END.saturating_sub(elapsed) / DRAIN_INTERVAL).max(1) as usize;
        for flow in unmigrated
            .iter()
            .take(unmigrated.len().div_ceil(steps_left))
        {
            self.migrate_client(*flow);
        }
    }

    /// Ends the attempts of flows that still wait for an answer, and fails the flows without an
    /// attempt in flight.
    fn give_up_waiting_flows(&mut self, balancer: usize) {
        for flow in self.shorten_waiting_deadlines(balancer) {
            match self.flows.get(&flow).and_then(|state| state.attempt) {
                Some(attempt) => self.attempt_deadline(flow, attempt.number),
                None => self.call_flow_table(balancer, |flow_table, now, actions| {
                    flow_table.fail(now, flow, actions)
                }),
            }
        }
    }

    /// Shortens the deadlines in the flow table, and returns the flows that are still not answered,
    /// in order.
    fn shorten_waiting_deadlines(&mut self, balancer: usize) -> Vec<FlowId> {
        let Some(flow_table) = &mut self.balancers[balancer].flow_table else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        let mut waiting = flow_table.begin_shutdown(self.now, &mut actions);
        waiting.sort_unstable();
        waiting.dedup();
        self.execute_all(balancer, actions);
        waiting
    }

    /// A balancer's process ends, and all its flows are lost.
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
            self.front_end.mark_dead(balancer, self.now + notice);
        }
        for flow in self.flows_where(|state| state.balancer == balancer) {
            self.drop_flow(flow);
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

    /// Closes a flow whose balancer's process has ended, without notifying the client.
    fn drop_flow(&mut self, flow: FlowId) {
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

    /// A client's balancer ended while the client waited. The client considers a non-idempotent flow
    /// failed, since it may have been executed.
    fn retry_unanswered(&mut self, client: ClientId) {
        let wait = match self.clients.idempotency(client, &self.model.scenario) {
            Idempotency::NonIdempotent => self.clients.record_failed(client, &self.model.scenario),
            _ => self
                .clients
                .record_rejected(client, None, &self.model.scenario),
        };
        self.retry_after(client, wait);
    }

    /// A balancer's process starts again, and the front end assigns clients to it.
    pub(super) fn restart_balancer(&mut self, balancer: usize) {
        self.start_balancer(balancer);
        self.front_end.mark_alive(balancer);
    }
}
