//! Applies the model's events, most of them faults, to connections and balancers.

use nettlemux_fleet_model::model::FleetEvent;
use nettlemux_fleet_model::observation::Observation;
use nettlemux_policy::{FlowId, SEC, Time};

use super::event::{Event, ServerResponse};
use super::flow::{FlowPhase, FlowState};
use super::restarts::{RESTART_GAP, SHUTDOWN_DURATION};
use super::simulation::Simulation;

/// The shortest and the longest time after which a balancer notices that the server of a connection
/// no longer responds: 5 s without a response to a message, and clients send a message every 2 s.
const SILENCE_TIMEOUT: [Time; 2] = [5 * SEC, 7 * SEC];

impl Simulation<'_> {
    /// Applies the model's events. Balancers whose restarts are requested together are restarted
    /// one after another.
    pub(super) fn apply_fleet_events(&mut self, events: Vec<FleetEvent>) {
        let mut restarts = 0;
        for event in events {
            match event {
                FleetEvent::ConnectionsReset { ids, .. } => {
                    self.send_responses(ids, ServerResponse::Reset)
                }
                FleetEvent::ClientsMigrated { ids, .. } => {
                    self.send_responses(ids, ServerResponse::Redirected)
                }
                FleetEvent::ConnectionsSilenced { ids, .. } => self.schedule_silence(ids),
                FleetEvent::ServerStarted { server } => self.server_started(server),
                FleetEvent::ServerCollapsed { server } => self.server_collapsed(server),
                FleetEvent::EndpointsChanged | FleetEvent::DiscoveryRecovered => {
                    self.schedule_list_delivery()
                }
                FleetEvent::ZoneConnectivityChanged { cut: false, .. } => {}
                FleetEvent::ZoneConnectivityChanged { zone, .. } => self.zone_disconnected(zone),
                FleetEvent::BalancerRestartRequested { balancer, downtime } => {
                    self.schedule_restart(balancer, downtime, restarts);
                    restarts += 1;
                }
                FleetEvent::BalancerKilled { balancer, downtime } => {
                    self.schedule_kill(balancer, downtime)
                }
            }
        }
    }

    /// Schedules a server's response for the balancers of these connections.
    fn send_responses(&mut self, flows: Vec<FlowId>, response: ServerResponse) {
        for flow in flows {
            let Some(attempt) = self.flows.get(&flow).and_then(|state| state.attempt) else {
                continue;
            };
            let at = self.now + self.latency(flow, attempt.server);
            self.schedule(
                at,
                Event::ResponseArrives {
                    flow,
                    number: attempt.number,
                    response,
                },
            );
        }
    }

    fn schedule_silence(&mut self, flows: Vec<FlowId>) {
        for flow in flows {
            let [least, most] = SILENCE_TIMEOUT;
            let wait = self.rng.uniform_between(least as f64, most as f64) as Time;
            self.schedule(self.now + wait, Event::ServerSilent { flow });
        }
    }

    fn server_started(&mut self, server: usize) {
        self.observe_server(server);
        self.observe(Observation::ServerStarted {
            at: self.now,
            server,
        });
    }

    fn server_collapsed(&mut self, server: usize) {
        self.figures.fell += 1;
        self.observe(Observation::ServerCollapsed {
            at: self.now,
            server,
        });
    }

    /// The connections between a disconnected zone and the other zones no longer carry messages.
    fn zone_disconnected(&mut self, zone: usize) {
        let crossing = self
            .flows
            .iter()
            .filter(|(_, state)| self.crosses_zone_boundary(state, zone));
        let flows = crossing.map(|(flow, _)| *flow).collect();
        self.schedule_silence(flows);
    }

    /// Whether a flow is connected and exactly one of its balancer and its server is in the zone.
    fn crosses_zone_boundary(&self, state: &FlowState, zone: usize) -> bool {
        let Some(attempt) = state
            .attempt
            .filter(|_| state.phase == FlowPhase::Connected)
        else {
            return false;
        };
        let balancer_zone = self.balancers[state.balancer].zone;
        let server_zone = self.server_zone(attempt.server);
        balancer_zone != server_zone && (balancer_zone == zone || server_zone == zone)
    }

    fn schedule_restart(&mut self, balancer: usize, downtime: Time, earlier: u64) {
        let wait = earlier * (SHUTDOWN_DURATION + downtime + RESTART_GAP);
        self.schedule(
            self.now + wait,
            Event::ShutdownBegins { balancer, downtime },
        );
    }

    fn schedule_kill(&mut self, balancer: usize, downtime: Time) {
        let balancer = self.incarnation(balancer);
        self.schedule(
            self.now,
            Event::BalancerEnds {
                balancer,
                planned: false,
                downtime,
            },
        );
    }
}
