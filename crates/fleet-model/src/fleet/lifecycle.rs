//! How servers join, drain, leave, die and start again.

use nettlemux_policy::{EndpointState, MS, SEC, Time};

use super::schedule::Task;
use super::{Happening, World, new_server};
use crate::fault::Leaving;
use crate::server::Life;

/// From the end of a server's process to discovery's notice of it; a process's end is noticed sooner than a machine's
/// silence.
pub(super) const CRASH_NOTICE: Time = 2 * SEC;
/// From a machine's silence to discovery's notice of it.
pub(super) const SILENCE_NOTICE: Time = 4 * SEC;
/// How often a draining server sends away another part of its connections.
const SEND_AWAY_INTERVAL: Time = 200 * MS;
/// From the beginning of a drain to the moment at which a server sends away all its connections, where it does so at once.
const SEND_AWAY_DELAY: Time = SEC;

impl World {
    /// Adds cold servers, a part of the current number but at least one. Returns their indices.
    pub(super) fn join(&mut self, now: Time, share: f64) -> Vec<usize> {
        let first = self.servers.len();
        let count = ((first as f64 * share).round() as usize).max(1);
        let joined = first..first + count;
        for server in joined.clone() {
            let mut state = new_server(&self.scenario, server, &mut self.rng);
            state.starts(now);
            self.servers.push(state);
            self.list.add();
            self.happened.push(Happening::Started { server });
            self.set_listed(server, EndpointState::Ready);
        }
        joined.collect()
    }

    /// A running server begins to drain.
    pub(super) fn drain(&mut self, now: Time, server: usize, leaving: Leaving, until: Time) {
        let state = &mut self.servers[server];
        if state.life != Life::Up || state.draining {
            return;
        }
        state.draining = true;
        self.set_listed(server, EndpointState::Draining);
        match leaving {
            Leaving::Keeps => {}
            Leaving::BitByBit => {
                let steps_left = (until.saturating_sub(now) / SEND_AWAY_INTERVAL).max(1);
                self.schedule.add(
                    now + SEND_AWAY_INTERVAL,
                    Task::SendAway { server, steps_left },
                );
            }
            Leaving::AllAtOnce => {
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
        let count = state.guests.len().div_ceil(steps_left.max(1) as usize);
        let ids: Vec<u64> = state.guests.keys().copied().take(count).collect();
        for id in &ids {
            state.rise(*id);
        }
        if !ids.is_empty() {
            self.happened.push(Happening::SentAway { server, ids });
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
        self.kill(server, Life::Down);
    }

    /// A running server ends: its process, or its machine.
    pub(super) fn kill(&mut self, server: usize, life: Life) {
        if self.servers[server].life != Life::Up {
            return;
        }
        let ids = self.servers[server].dies(life);
        self.happened.push(match life {
            Life::Silent => Happening::Silenced { server, ids },
            _ => Happening::Reset { server, ids },
        });
    }

    /// A server that is down starts again. It is listed anew even if its end was never listed, so that balancers learn of
    /// the start.
    pub(super) fn start(&mut self, now: Time, server: usize) {
        let state = &mut self.servers[server];
        if state.life == Life::Up || !state.starts(now) {
            return;
        }
        self.happened.push(Happening::Started { server });
        self.list.set_state(server, EndpointState::Ready);
        self.relist(server);
    }
}
