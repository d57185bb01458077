//! The desk: sole owner of the decision module, of the flows in hand and of the module's timer. Other
//! coroutines ask it by channel and get orders in return. It must never do I/O or wait for anything but its
//! channel, and it decides nothing itself: where flows go, what is tried again, moved or given up is the
//! module's word.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nettlemux_flow_table::{AttemptOutcome, FlowTable, PolicyCommand};
use nettlemux_policy::{
    Endpoint, EndpointState, Flow, FlowId, GroupPlacement, MS, SEC, ServerId, Time,
};
use nettlemux_settings::{DrainMigration, Settings};
use tracing::{error, info, warn};

use crate::clock;
use crate::descriptors::DescriptorBudget;
use crate::health_check::HealthChecker;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{
    AttemptTarget, DiscoveredEndpoint, DispatcherMessage, FlowCommand, FlowEvent, GossipMessage,
    Server,
};
use crate::shutdown::AnswerDeadline;
use crate::start_times::StartTimes;

/// Who is told what becomes of a flow.
struct Client {
    mailbox: Sender<FlowEvent>,
    /// Where it was open before the run, until it is open there again.
    inherited: Option<(Flow, ServerId)>,
}

/// Names of the wire and the numbers that the module has for them.
#[derive(Default)]
struct Names(HashMap<String, u64>);

impl Names {
    fn of(names: Vec<String>) -> Self {
        Names(names.into_iter().zip(0..).collect())
    }

    fn known(&self, name: &str) -> Option<u64> {
        self.0.get(name).copied()
    }

    /// In order of arrival, for names whose numbers mean nothing to other balancers.
    fn number(&mut self, name: &str) -> u64 {
        let next = self.0.len() as u64;
        *self.0.entry(name.to_string()).or_insert(next)
    }

    /// Worked out from the name. Guards against balancers that were told of the same servers in another order, after a
    /// restart above all, and so send a group's connections to other servers than the rest do.
    fn lasting(&mut self, name: &str) -> u64 {
        if let Some(known) = self.known(name) {
            return known;
        }
        // FNV-1a, as RFC 9923 gives it.
        let hash = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        let mut number = name.bytes().fold(0xcbf2_9ce4_8422_2325, hash);
        while self.0.values().any(|taken| *taken == number) {
            number = number.wrapping_add(1);
        }
        self.0.insert(name.to_string(), number);
        number
    }
}

/// Time that is left after the last answer for what is still to be moved: SIGKILL comes 0.7 s after it at the
/// earliest.
const LAST_MOVES: Time = 200 * MS;
/// So long a server may take to end a line that it has begun before its client is sent away beside it. A server that says
/// nothing for longer is silent.
const LINE_END: Time = 5 * SEC;
/// Between one move and the next, and how often what is due while ending is looked at.
const STEP: Time = 50 * MS;
/// How often those that wait for a descriptor to be probed over are looked at.
const DESCRIPTOR: Time = 10 * MS;
/// All has been said so long after the last answer.
const EXIT: Time = 500 * MS;
/// The front goes on sending us clients for up to so long after SIGTERM. Guards, where deadline are short, against
/// moves that come straight back, and an end that leaves clients to a closed port since all has been said before.
const COMING: Time = 400 * MS;

/// What a module made from other settings is given, and what the end of the balancer waits for.
pub struct DispatcherConfig {
    pub seed: u64,
    pub margin: Time,
    /// When the last answer is due once the end is asked for.
    pub answer_deadline: AnswerDeadline,
    /// Connections that no flow has come of yet, or that are on their way out.
    pub pending_connections: Arc<DescriptorBudget>,
}

pub struct Dispatcher {
    flow_table: FlowTable,
    messages: Mailbox<DispatcherMessage>,
    clients: BTreeMap<FlowId, Client>,
    servers: BTreeMap<ServerId, Arc<Server>>,
    start_times: StartTimes,
    ids: Names,
    zones: Names,
    machines: Names,
    cells: Names,
    health_checker: HealthChecker,
    /// The way to the other balancers, where there is one.
    gossip: Option<Sender<GossipMessage>>,
    given: DispatcherConfig,
    /// The next time at which the module wants to be asked.
    due: Option<Time>,
    terminated: Option<Time>,
    next_move: Time,
    next_cut: Time,
    moved_up_to: FlowId,
    /// While ending: whoever is still owed an answer gets it now.
    last_answer_passed: bool,
}

impl Dispatcher {
    pub fn new(
        flow_table: FlowTable,
        messages: Mailbox<DispatcherMessage>,
        zones: Vec<String>,
        machines: Vec<String>,
        health_checker: HealthChecker,
        gossip: Option<Sender<GossipMessage>>,
        given: DispatcherConfig,
    ) -> Self {
        Dispatcher {
            flow_table,
            messages,
            clients: BTreeMap::new(),
            servers: BTreeMap::new(),
            start_times: StartTimes::default(),
            ids: Names::default(),
            zones: Names::of(zones),
            machines: Names::of(machines),
            cells: Names::default(),
            health_checker,
            gossip,
            given,
            due: None,
            terminated: None,
            next_move: 0,
            next_cut: 0,
            moved_up_to: 0,
            last_answer_passed: false,
        }
    }

    /// Answers until the balancer ends.
    ///
    /// # Errors
    /// Where a part has failed without which it can't go on.
    pub fn run(mut self) -> Result<(), &'static str> {
        loop {
            let now = clock::now();
            if let Some(wait) = self.flow_table.time_to_next_timer(now) {
                // Never at once again, so that a due time that is not met can't keep the core busy.
                let at = now + wait.max(MS);
                self.due = Some(self.due.map_or(at, |due| due.min(at)));
            }
            // Something is due soon while ending.
            let ending = self.terminated.map(|_| now + STEP);
            let descriptor = self.health_checker.has_queued().then_some(now + DESCRIPTOR);
            let until = [self.due, ending, descriptor]
                .into_iter()
                .flatten()
                .min()
                .unwrap_or(now + SEC);
            let ask = self.messages.next(until);
            if let Some(DispatcherMessage::ServiceFailed(part)) = ask {
                return Err(part);
            }
            let flow = match &ask {
                Some(DispatcherMessage::PlaceFlow { flow, .. }) => Some(flow.id),
                Some(DispatcherMessage::AttemptEnded { flow, .. }) => Some(*flow),
                _ => None,
            };
            // Guards against a fault in one decision that takes every flow with it.
            self.health_checker.start_queued();
            if catch_unwind(AssertUnwindSafe(|| self.turn(ask))).is_err() {
                error!(?flow, "a decision panicked; its flow is aborted");
                if let Some(id) = flow {
                    let now = clock::now();
                    self.commands(now, |flow_table, commands| {
                        flow_table.fail(now, id, commands)
                    });
                }
            }
            if self.terminated.is_some_and(|at| self.ending(at)) {
                return Ok(());
            }
        }
    }

    fn turn(&mut self, ask: Option<DispatcherMessage>) {
        let now = clock::now();
        if let Some(ask) = ask {
            self.handle(now, ask);
        }
        if self.due.is_some_and(|due| due <= now) {
            self.due = None;
            self.commands(now, |flow_table, commands| {
                flow_table.timer_expired(now, commands)
            });
        }
    }

    fn handle(&mut self, now: Time, ask: DispatcherMessage) {
        match ask {
            DispatcherMessage::PlaceFlow { flow, who, mailbox } => {
                self.clients.insert(
                    flow.id,
                    Client {
                        mailbox,
                        inherited: None,
                    },
                );
                self.commands(now, |flow_table, commands| {
                    flow_table.accept(now, flow, who, commands)
                });
            }
            DispatcherMessage::AdoptConnection { flow, at, mailbox } => {
                let server_id = self.ids.lasting(&at);
                let (until, by) = (flow.deadline, flow.deadline);
                let command = match self.servers.get(&server_id) {
                    // Nobody is waited for any more.
                    _ if self.last_answer_passed => FlowCommand::Fail,
                    Some(server) => FlowCommand::StartAttempt(AttemptTarget {
                        server_id,
                        number: 0,
                        server: server.clone(),
                        until,
                        by,
                    }),
                    None => FlowCommand::EndpointUnknown,
                };
                mailbox.send(FlowEvent::Command(command));
                self.clients.insert(
                    flow.id,
                    Client {
                        mailbox,
                        inherited: Some((flow, server_id)),
                    },
                );
            }
            DispatcherMessage::Connected { flow, took } => {
                let Some(client) = self.clients.get_mut(&flow) else {
                    return;
                };
                match client.inherited.take() {
                    Some((flow, server_id)) => self.flow_table.adopt_connection(flow, server_id),
                    None => self.commands(now, |flow_table, commands| {
                        flow_table.connected(now, flow, took, commands)
                    }),
                }
            }
            DispatcherMessage::AttemptEnded {
                flow,
                server_id,
                number,
                end,
                known_unexecuted,
                report,
            } => {
                if self.clients.contains_key(&flow) {
                    self.commands(now, |flow_table, commands| {
                        let outcome = AttemptOutcome {
                            flow,
                            number,
                            server_id,
                            end,
                            known_unexecuted,
                            report,
                        };
                        flow_table.attempt_ended(now, outcome, commands)
                    });
                }
            }
            DispatcherMessage::ConnectionLoad { flow, load } => {
                self.flow_table.update_connection_load(flow, load)
            }
            DispatcherMessage::ClientLeft { flow } => self.commands(now, |flow_table, commands| {
                flow_table.client_left(now, flow, commands)
            }),
            DispatcherMessage::FlowClosed { flow } => {
                self.commands(now, |flow_table, commands| {
                    flow_table.remove(now, flow, commands)
                });
                self.clients.remove(&flow);
            }
            DispatcherMessage::HealthChecked {
                server_id,
                passed,
                report,
            } => {
                self.commands(now, |flow_table, commands| {
                    flow_table.health_checked(now, server_id, passed, report, commands)
                });
            }
            DispatcherMessage::StoredEndpoints(entries) => {
                self.update_endpoints(now, entries, true)
            }
            DispatcherMessage::EndpointsUpdated {
                entries,
                is_complete,
            } => {
                self.update_endpoints(now, entries, is_complete);
                self.start_times.watch();
            }
            DispatcherMessage::EndpointPollFailed => self.flow_table.endpoint_poll_failed(now),
            DispatcherMessage::GossipReceived(message) => {
                // One that our list doesn't name is none of ours.
                if let Some(server_id) = self
                    .ids
                    .known(&message.server)
                    .filter(|server_id| self.servers.contains_key(server_id))
                {
                    self.flow_table.receive_gossip(
                        now,
                        GroupPlacement {
                            group: message.group,
                            server_id,
                        },
                    );
                }
            }
            DispatcherMessage::ApplySettings(settings) => self.change(*settings),
            DispatcherMessage::ApplyAdmission(config) => {
                self.flow_table.apply_admission_config(config)
            }
            DispatcherMessage::ServiceFailed(_) => {}
            DispatcherMessage::Terminate => {
                info!(flows = self.clients.len(), "asked to end");
                self.terminated.get_or_insert(now);
                self.given.answer_deadline.terminate(now);
            }
        }
    }

    /// Goes on under other settings. Flows in hand, attempts that are out and connections stay as they are.
    fn change(&mut self, settings: Settings) {
        // The list may have named zones before the settings did.
        let settings = match settings.zone_name() {
            Some(name) => settings.with_zone(self.zones.number(&name)),
            None => settings,
        };
        match settings.policy(self.given.seed, self.given.margin, DrainMigration::Enabled) {
            Ok(policy) => {
                self.flow_table.apply_settings(policy);
                self.given
                    .answer_deadline
                    .reload(clock::now(), settings.flow_timeout_max());
            }
            Err(why) => error!(%why, "settings that can't be used; the old ones hold"),
        }
    }

    fn update_endpoints(&mut self, now: Time, entries: Vec<DiscoveredEndpoint>, is_complete: bool) {
        let mut listed = Vec::new();
        let mut told = Vec::new();
        for entry in entries {
            let server_id = self.ids.lasting(&entry.name);
            told.push(server_id);
            listed.push(Endpoint {
                server_id,
                zone: self.zones.number(&entry.zone),
                machine: self.machines.number(&entry.machine),
                cell: self.cells.number(&entry.cell),
                state: entry.state,
                weight: entry.weight,
                started: self.start_times.of(now, server_id, entry.started),
            });
            let ready = entry.state == EndpointState::Ready;
            match self.servers.get(&server_id) {
                // Without an address it is where it was.
                Some(server) if server.address == entry.address || entry.address.port() == 0 => {
                    if server.ready.swap(ready, Ordering::AcqRel) != ready {
                        info!(server = server.name, state = ?entry.state, "list");
                    }
                }
                old => {
                    if let Some(old) = old {
                        old.ready.store(false, Ordering::Release);
                    }

                    info!(server = entry.name, address = %entry.address, state = ?entry.state, zone = entry.zone, "list: new");
                    let server = Server {
                        name: entry.name,
                        address: entry.address,
                        ready: AtomicBool::new(ready),
                    };
                    self.servers.insert(server_id, Arc::new(server));
                }
            }
        }
        if is_complete {
            self.servers.retain(|server_id, server| {
                let stays = told.contains(server_id);
                if !stays {
                    info!(server = server.name, "list: gone");
                    server.ready.store(false, Ordering::Release);
                }
                stays
            });
        }
        for gone in listed
            .iter()
            .filter(|entry| entry.state == EndpointState::Removed)
        {
            self.servers.remove(&gone.server_id);
        }
        let servers = &self.servers;
        self.health_checker
            .retain_listed(|server_id| servers.contains_key(&server_id));
        self.start_times
            .keep(servers.len(), |server_id| servers.contains_key(&server_id));
        self.flow_table.update_endpoints(now, &listed, is_complete);
    }

    /// Asks the module by way of the hand, and carries out what it says.
    fn commands(&mut self, now: Time, ask: impl FnOnce(&mut FlowTable, &mut Vec<PolicyCommand>)) {
        let mut commands = Vec::new();
        ask(&mut self.flow_table, &mut commands);
        let moves = commands
            .iter()
            .filter(|command| matches!(command, PolicyCommand::Migrate { .. }))
            .count();
        if moves > 0 {
            info!(count = moves, "moving connections off a hot server");
        }
        for command in commands {
            self.carry_out(now, command);
        }
    }

    fn carry_out(&mut self, now: Time, command: PolicyCommand) {
        match command {
            PolicyCommand::StartAttempt {
                flow,
                server_id,
                number,
                timeout,
                send_within,
            } => match self.servers.get(&server_id) {
                Some(server) => {
                    let (server, until, by) = (server.clone(), now + timeout, now + send_within);
                    self.command(
                        flow,
                        FlowCommand::StartAttempt(AttemptTarget {
                            server_id,
                            number,
                            server,
                            until,
                            by,
                        }),
                    );
                }
                None => {
                    warn!(
                        id = flow,
                        server_id, "the module names a server without an address"
                    );
                    self.flow_table.mark_answered(flow);
                    self.command(flow, FlowCommand::Fail);
                }
            },
            PolicyCommand::Reject { flow, retry_after } => {
                self.command(flow, FlowCommand::Reject(retry_after))
            }
            PolicyCommand::Fail { flow } => self.command(flow, FlowCommand::Fail),
            PolicyCommand::Migrate { flow } => {
                self.command(flow, FlowCommand::Migrate(now + LINE_END))
            }
            PolicyCommand::CancelAttempt { flow, .. } => {
                self.command(flow, FlowCommand::CancelAttempt)
            }
            PolicyCommand::CheckHealth { server_id } => {
                if let Some(server) = self.servers.get(&server_id) {
                    self.health_checker.check(server_id, server.clone());
                }
            }
            // The watch always runs, so there is nothing to ask for.
            PolicyCommand::PollEndpoints => {}
            PolicyCommand::Gossip(GroupPlacement { group, server_id }) => {
                if let (Some(gossip), Some(server)) = (&self.gossip, self.servers.get(&server_id)) {
                    gossip.send(GossipMessage {
                        group,
                        server: server.name.clone(),
                    });
                }
            }
        }
    }

    fn command(&self, id: FlowId, command: FlowCommand) {
        if let Some(client) = self.clients.get(&id) {
            client.mailbox.send(FlowEvent::Command(command));
        }
    }

    /// What is due on the way to the end; whether the end has come.
    fn ending(&mut self, since: Time) -> bool {
        let now = clock::now();
        let passed = now.saturating_sub(since);
        let last_answer = self.given.answer_deadline.at(now);
        // Late, since the connections are sound and others may be restarting with us, and spread, so that clients
        // don't come to those all at once. Nor too early: the front sends us new ones for up to 0.4 s, and they
        // would come straight back.
        let move_until = (last_answer + LAST_MOVES).max(COMING + LAST_MOVES / 2);
        if passed >= (last_answer / 2).max(COMING) && now >= self.next_move {
            // Guards against one step for each thing that the desk is told: each move is told, and so moved the
            // next, and all clients went within 10 ms.
            self.next_move = now + STEP;
            // Each is moved once, in order; those that are on their way up are told too and go once they are up.
            let left = self.clients.range(self.moved_up_to..).count();
            let turns = (move_until.saturating_sub(passed) / STEP).max(1) as usize;
            let ids: Vec<FlowId> = self
                .clients
                .range(self.moved_up_to..)
                .take(left.div_ceil(turns))
                .map(|(id, _)| *id)
                .collect();
            for id in ids {
                self.command(id, FlowCommand::Migrate(since + move_until));
                self.moved_up_to = id + 1;
            }
        }
        // Again with each look: guards against a flow that comes after the first and is still owed its answer at the end.
        if passed >= last_answer && now >= self.next_cut {
            (self.last_answer_passed, self.next_cut) = (true, now + STEP);
            let mut owed = Vec::new();
            self.commands(now, |flow_table, commands| {
                owed = flow_table.shorten_deadlines(now, commands)
            });
            for id in owed {
                self.command(id, FlowCommand::AttemptTimedOut);
            }
            // The hand knows none of those that were open before the run and are not yet again.
            let waiting = self
                .clients
                .iter()
                .filter(|(_, client)| client.inherited.is_some());
            waiting.for_each(|(_, client)| {
                client
                    .mailbox
                    .send(FlowEvent::Command(FlowCommand::AttemptTimedOut))
            });
        }
        let all_said = self.clients.is_empty() && self.given.pending_connections.in_use() == 0;
        passed >= last_answer + EXIT || passed >= move_until && all_said
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_has_the_same_number_whatever_was_told_before_it() {
        let names = ["s-5be2a07c", "s-023359c9", "s-02bf5bf7", ""];
        let (mut one, mut other) = (Names::default(), Names::default());
        let numbers = names.map(|name| one.lasting(name));
        let reversed: Vec<u64> = names
            .iter()
            .rev()
            .map(|name| other.lasting(name))
            .rev()
            .collect();
        assert_eq!(numbers.as_slice(), reversed);
        assert_eq!(names.map(|name| one.lasting(name)), numbers);
        assert_eq!(
            one.lasting("a"),
            0xaf63_dc4c_8601_ec8c,
            "the published value"
        );
        // Two names with one number stay two servers.
        let mut taken = Names(HashMap::from([("another".to_string(), numbers[0])]));
        assert_eq!(taken.lasting(names[0]), numbers[0] + 1);
    }
}
