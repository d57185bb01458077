//! How servers join, drain, leave, die and start again.

use nettlemux_policy::{EndpointState, MS, SEC, Time};

use super::schedule::Task;
use super::{FleetEvent, FleetModel, new_server};
use crate::fault::DrainBehavior;
use crate::server::ServerStatus;

/// From the end of a server's process to discovery's notice of it; a process's end is noticed
/// sooner than a machine's silence.
pub(super) const CRASH_NOTICE: Time = 2 * SEC;
/// From a machine's silence to discovery's notice of it.
pub(super) const SILENCE_NOTICE: Time = 4 * SEC;
/// How often a draining server sends away another part of its connections.
const SEND_AWAY_INTERVAL: Time = 200 * MS;
/// From the beginning of a drain to the moment at which a server sends away all its connections,
/// where it does so at once.
const SEND_AWAY_DELAY: Time = SEC;

impl FleetModel {
    /// Adds cold servers, a part of the current number but at least one. Returns their indices.
    pub(super) fn join(&mut self, now: Time, share: f64) -> Vec<usize> {
        let first = self.servers.len();
        let count = ((first as f64 * share).round() as usize).max(1);
        let joined = first..first + count;
        for server in joined.clone() {
            let mut state = new_server(&self.scenario, server, &mut self.rng);
            state.start(now);
            self.servers.push(state);
            self.list.add();
            self.events.push(FleetEvent::ServerStarted { server });
            self.set_listed(server, EndpointState::Ready);
        }
        joined.collect()
    }

    /// A running server begins to drain.
    pub(super) fn drain(
        &mut self,
        now: Time,
        server: usize,
        drain_behavior: DrainBehavior,
        until: Time,
    ) {
        let state = &mut self.servers[server];
        if state.status != ServerStatus::Up || state.draining {
            return;
        }
        state.draining = true;
        self.set_listed(server, EndpointState::Draining);
        match drain_behavior {
            DrainBehavior::KeepsConnections => {}
            DrainBehavior::MigratesGradually => {
                let steps_left = (until.saturating_sub(now) / SEND_AWAY_INTERVAL).max(1);
                self.schedule.add(
                    now + SEND_AWAY_INTERVAL,
                    Task::SendAway { server, steps_left },
                );
            }
            DrainBehavior::MigratesAtOnce => {
                self.schedule.add(
                    now + SEND_AWAY_DELAY,
                    Task::SendAway {
                        server,
                        steps_left: 1,
                    },
                );
            }
        }
        self.schedule.add(until, Task::Leave { server });
    }

    /// A server sends away its part of the connections that it has left.
    pub(super) fn send_away(&mut self, now: Time, server: usize, steps_left: u64) {
        let state = &mut self.servers[server];
        let count = state.connections.len().div_ceil(steps_left.max(1) as usize);
        let ids: Vec<u64> = state.connections.keys().copied().take(count).collect();
        for id in &ids {
            state.detach(*id);
        }
        if !ids.is_empty() {
            self.events
                .push(FleetEvent::ClientsMigrated { server, ids });
        }
        if steps_left > 1 && self.servers[server].draining {
            let next = Task::SendAway {
                server,
                steps_left: steps_left - 1,
            };
            self.schedule.add(now + SEND_AWAY_INTERVAL, next);
        }
    }

    /// A drained server ends and is taken off the list.
    pub(super) fn leave(&mut self, server: usize) {
        self.set_listed(server, EndpointState::Removed);
        self.kill(server, ServerStatus::Down);
    }

    /// A running server ends: its process, or its machine.
    pub(super) fn kill(&mut self, server: usize, status: ServerStatus) {
        if self.servers[server].status != ServerStatus::Up {
            return;
        }
        let ids = self.servers[server].stop(status);
        self.events.push(match status {
            ServerStatus::Unresponsive => FleetEvent::ConnectionsSilenced { server, ids },
            _ => FleetEvent::ConnectionsReset { server, ids },
        });
    }

    /// A server that is down starts again. It is listed anew even if its end was never listed, so
    /// that balancers learn of the start.
    pub(super) fn start(&mut self, now: Time, server: usize) {
        let state = &mut self.servers[server];
        if state.status == ServerStatus::Up || !state.start(now) {
            return;
        }
        self.events.push(FleetEvent::ServerStarted { server });
        self.list.set_state(server, EndpointState::Ready);
        self.relist(server);
    }
}
