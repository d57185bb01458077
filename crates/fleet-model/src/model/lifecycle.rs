//! How servers join, drain, stop, die and restart.

use nettlemux_policy::{EndpointState, MS, SEC, Time};

use super::schedule::Task;
use super::{FleetEvent, FleetModel, new_server};
use crate::fault::DrainBehavior;
use crate::server::ServerStatus;

/// The time until discovery detects that a server's process has died. That is detected sooner than
/// an unresponsive machine.
pub(super) const CRASH_DETECTION_DELAY: Time = 2 * SEC;
/// The time until discovery detects that a server's machine is unresponsive.
pub(super) const UNRESPONSIVE_DETECTION_DELAY: Time = 4 * SEC;
/// The time between two steps of a gradual migration away from a draining server.
const MIGRATION_STEP_INTERVAL: Time = 200 * MS;
/// The time from the start of a drain until a server that migrates all its clients at once does so.
const MIGRATION_AT_ONCE_DELAY: Time = SEC;

impl FleetModel {
    /// Adds servers in slow start: the fraction `share` of the current number, but at least one.
    /// Returns their indices.
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
            self.set_listed_state(server, EndpointState::Ready);
        }
        joined.collect()
    }

    /// Starts to drain a server, if it is running.
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
        self.set_listed_state(server, EndpointState::Draining);
        match drain_behavior {
            DrainBehavior::KeepsConnections => {}
            DrainBehavior::MigratesGradually => {
                let steps_left = (until.saturating_sub(now) / MIGRATION_STEP_INTERVAL).max(1);
                self.schedule.add(
                    now + MIGRATION_STEP_INTERVAL,
                    Task::MigrateClients { server, steps_left },
                );
            }
            DrainBehavior::MigratesAtOnce => {
                self.schedule.add(
                    now + MIGRATION_AT_ONCE_DELAY,
                    Task::MigrateClients {
                        server,
                        steps_left: 1,
                    },
                );
            }
        }
        self.schedule.add(until, Task::StopDrained { server });
    }

    /// Performs a step of a migration: a server tells the clients of its share of the remaining
    /// connections to migrate.
    pub(super) fn migrate_clients(&mut self, now: Time, server: usize, steps_left: u64) {
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
            let next = Task::MigrateClients {
                server,
                steps_left: steps_left - 1,
            };
            self.schedule.add(now + MIGRATION_STEP_INTERVAL, next);
        }
    }

    /// Stops a drained server and lists it as removed.
    pub(super) fn stop_drained(&mut self, server: usize) {
        self.set_listed_state(server, EndpointState::Removed);
        self.kill(server, ServerStatus::Down);
    }

    /// Stops a running server. `status` says whether its process or its machine is gone.
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

    /// Restarts a server that is not running. A new version of its entry is published even if its end
    /// was never listed, so that balancers learn of the restart.
    pub(super) fn start(&mut self, now: Time, server: usize) {
        let state = &mut self.servers[server];
        if state.status == ServerStatus::Up || !state.start(now) {
            return;
        }
        self.events.push(FleetEvent::ServerStarted { server });
        self.list.set_state(server, EndpointState::Ready);
        self.publish_entry(server);
    }
}
