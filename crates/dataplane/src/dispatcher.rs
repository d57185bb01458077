//! The dispatcher: the one coroutine that owns the flow table, and with it the load balancing
//! policy and its timer. Other coroutines send it messages and get commands in return. It must
//! never do I/O, never wait for anything but its mailbox, and never decide itself: the policy
//! decides where flows go and what is retried, migrated or failed.

mod clients;
mod commands;
mod config;
mod error;
mod graceful_shutdown;
mod name_table;
mod server_directory;

use std::panic::{AssertUnwindSafe, catch_unwind};

use nettlemux_flow_table::{AdmissionAttributes, EndedAttempt, FlowTable, PolicyCommand};
use nettlemux_policy::{Flow, FlowId, GroupPlacement, MS, SEC, Time};
use nettlemux_settings::{DrainMigration, Settings};
use tracing::{error, info};

use self::clients::{Adoption, ClientTable};
use self::commands::CommandExecutor;
pub use self::config::DispatcherConfig;
pub use self::error::DispatcherError;
use self::graceful_shutdown::{GracefulShutdown, STEP_INTERVAL};
use self::server_directory::{ListScope, ServerDirectory};
use crate::clock;
use crate::health_check::HealthChecker;
use crate::mailbox::{Mailbox, Sender};
use crate::messages::{
    AttemptTarget, CoroutineEvent, DiscoveredEndpoint, DispatcherMessage, FlowCommand,
    GossipMessage, HealthCheckResult,
};

/// Longest wait for a message while no timer is set.
const IDLE_WAIT_MAX: Time = SEC;
/// Time between two attempts to start the health checks that wait for a free descriptor.
const DESCRIPTOR_RETRY_INTERVAL: Time = 10 * MS;
/// Shortest time to the next timer. Guards against a busy loop if a timer is due at once each time.
const TIMER_WAIT_MIN: Time = MS;

/// Passes messages from flows and services to the policy, and the policy's commands to them.
pub struct Dispatcher {
    flow_table: FlowTable,
    messages: Mailbox<DispatcherMessage>,
    clients: ClientTable,
    servers: ServerDirectory,
    health_checker: HealthChecker,
    gossip: Option<Sender<GossipMessage>>,
    seed: u64,
    deadline_margin: Time,
    shutdown: GracefulShutdown,
    /// When the policy's timer expires next.
    next_timer: Option<Time>,
}

/// Whether the dispatcher keeps running.
#[derive(PartialEq)]
enum ShutdownState {
    Running,
    Complete,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no servers and no flows yet.
    pub fn new(config: DispatcherConfig) -> Self {
        Dispatcher {
            flow_table: config.flow_table,
            messages: config.messages,
            clients: ClientTable::default(),
            servers: ServerDirectory::new(config.zones, config.machines),
            health_checker: config.health_checker,
            gossip: config.gossip,
            seed: config.seed,
            deadline_margin: config.deadline_margin,
            shutdown: GracefulShutdown::new(config.answer_deadline, config.pending_connections),
            next_timer: None,
        }
    }

    /// Handles messages until a graceful shutdown is complete. Runs in a coroutine of its own.
    ///
    /// # Errors
    /// [`DispatcherError::ServiceFailed`] if a service has failed permanently.
    pub fn run(mut self) -> Result<(), DispatcherError> {
        loop {
            let message = self.next_message();
            if let Some(DispatcherMessage::ServiceFailed(service)) = message {
                return Err(DispatcherError::ServiceFailed { service });
            }
            self.health_checker.start_queued();
            self.handle_or_fail(message);
            if self.continue_shutdown() == ShutdownState::Complete {
                return Ok(());
            }
        }
    }

    /// Waits for a message, no longer than until the next timer.
    fn next_message(&mut self) -> Option<DispatcherMessage> {
        let now = clock::now();
        if let Some(wait) = self.flow_table.time_to_next_timer(now) {
            let at = now + wait.max(TIMER_WAIT_MIN);
            self.next_timer = Some(self.next_timer.map_or(at, |next| next.min(at)));
        }
        let shutdown_step = self.shutdown.is_started().then_some(now + STEP_INTERVAL);
        let descriptor_retry = self
            .health_checker
            .has_queued()
            .then_some(now + DESCRIPTOR_RETRY_INTERVAL);
        let until = [self.next_timer, shutdown_step, descriptor_retry]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + IDLE_WAIT_MAX);
        self.messages.next(until)
    }

    /// Handles a message and an expired timer. If that panics, the flow of the message is failed.
    /// Guards against a bug in one policy decision that would end every flow.
    fn handle_or_fail(&mut self, message: Option<DispatcherMessage>) {
        let flow = match &message {
            Some(DispatcherMessage::PlaceFlow { flow, .. }) => Some(flow.id),
            Some(DispatcherMessage::AttemptEnded(attempt)) => Some(attempt.flow),
            _ => None,
        };
        let handled = catch_unwind(AssertUnwindSafe(|| self.handle_next(message)));
        if handled.is_ok() {
            return;
        }
        error!(?flow, "policy decision panicked, failing its flow");
        if let Some(flow) = flow {
            let now = clock::now();
            self.call_flow_table(now, |flow_table, commands| {
                flow_table.fail(now, flow, commands)
            });
        }
    }

    fn handle_next(&mut self, message: Option<DispatcherMessage>) {
        let now = clock::now();
        if let Some(message) = message {
            self.handle(now, message);
        }
        if self.next_timer.is_some_and(|at| at <= now) {
            self.next_timer = None;
            self.call_flow_table(now, |flow_table, commands| {
                flow_table.timer_expired(now, commands)
            });
        }
    }

    fn handle(&mut self, now: Time, message: DispatcherMessage) {
        match message {
            DispatcherMessage::PlaceFlow {
                flow,
                client,
                mailbox,
            } => self.place_flow(now, flow, client, mailbox),
            DispatcherMessage::AdoptConnection {
                flow,
                server_name,
                mailbox,
            } => self.adopt_connection(flow, &server_name, mailbox),
            DispatcherMessage::Connected { flow, elapsed } => self.connected(now, flow, elapsed),
            DispatcherMessage::AttemptEnded(attempt) => self.attempt_ended(now, attempt),
            DispatcherMessage::ConnectionLoad { flow, load } => {
                self.flow_table.update_connection_load(flow, load)
            }
            DispatcherMessage::ClientLeft { flow } => self
                .call_flow_table(now, |flow_table, commands| {
                    flow_table.client_left(now, flow, commands)
                }),
            DispatcherMessage::FlowClosed { flow } => self.flow_closed(now, flow),
            DispatcherMessage::HealthChecked(result) => self.health_checked(now, result),
            DispatcherMessage::StoredEndpoints(entries) => {
                self.update_endpoints(now, entries, ListScope::Complete)
            }
            DispatcherMessage::EndpointsUpdated {
                entries,
                is_complete,
            } => self.endpoints_discovered(now, entries, is_complete),
            DispatcherMessage::EndpointPollFailed => self.flow_table.on_endpoint_poll_failed(now),
            DispatcherMessage::GossipReceived(message) => self.gossip_received(now, &message),
            DispatcherMessage::ApplySettings(settings) => self.apply_settings(*settings),
            DispatcherMessage::ApplyAdmission(config) => {
                self.flow_table.apply_admission_config(config)
            }
            DispatcherMessage::Terminate => self.terminate(now),
            // `run` returns on this message before it is handled here.
            DispatcherMessage::ServiceFailed(_) => {}
        }
    }

    fn place_flow(
        &mut self,
        now: Time,
        flow: Flow,
        client: AdmissionAttributes,
        mailbox: Sender<CoroutineEvent>,
    ) {
        self.clients.insert(flow.id, mailbox, None);
        self.call_flow_table(now, |flow_table, commands| {
            flow_table.accept(now, flow, client, commands)
        });
    }

    /// Answers the request to reopen a connection that was open at `server_name` before the
    /// balancer started.
    fn adopt_connection(&mut self, flow: Flow, server_name: &str, mailbox: Sender<CoroutineEvent>) {
        let server_id = self.servers.server_id(server_name);
        let command = match self.servers.get(server_id) {
            _ if self.shutdown.answer_deadline_passed() => FlowCommand::Fail,
            Some(server) => FlowCommand::StartAttempt(AttemptTarget {
                server_id,
                number: 0,
                server: server.clone(),
                deadline: flow.deadline,
                send_by: flow.deadline,
            }),
            None => FlowCommand::EndpointUnknown,
        };
        mailbox.send(CoroutineEvent::Command(command));
        let id = flow.id;
        let adoption = Adoption { flow, server_id };
        self.clients.insert(id, mailbox, Some(adoption));
    }

    fn connected(&mut self, now: Time, flow: FlowId, elapsed: Time) {
        let Some(client) = self.clients.get_mut(flow) else {
            return;
        };
        match client.adoption.take() {
            Some(Adoption { flow, server_id }) => self.flow_table.adopt_connection(flow, server_id),
            None => self.call_flow_table(now, |flow_table, commands| {
                flow_table.attempt_connected(now, flow, elapsed, commands)
            }),
        }
    }

    fn attempt_ended(&mut self, now: Time, attempt: EndedAttempt) {
        if !self.clients.contains(attempt.flow) {
            return;
        }
        self.call_flow_table(now, |flow_table, commands| {
            flow_table.attempt_ended(now, attempt, commands)
        });
    }

    /// Passes the result of a health check to the policy. A check that was begun before the server
    /// was restarted, or listed again, tells nothing of the present one.
    fn health_checked(&mut self, now: Time, result: HealthCheckResult) {
        let HealthCheckResult {
            server_id,
            incarnation,
            passed,
            report,
        } = result;
        if self.servers.is_present(server_id, &incarnation) {
            self.call_flow_table(now, |flow_table, commands| {
                flow_table.health_checked(now, server_id, passed, report, commands)
            });
        }
    }

    fn flow_closed(&mut self, now: Time, flow: FlowId) {
        self.call_flow_table(now, |flow_table, commands| {
            flow_table.remove(now, flow, commands)
        });
        self.clients.remove(flow);
    }

    fn endpoints_discovered(
        &mut self,
        now: Time,
        entries: Vec<DiscoveredEndpoint>,
        is_complete: bool,
    ) {
        let scope = if is_complete {
            ListScope::Complete
        } else {
            ListScope::Changes
        };
        self.update_endpoints(now, entries, scope);
        self.servers.discovery_answered();
    }

    fn update_endpoints(&mut self, now: Time, entries: Vec<DiscoveredEndpoint>, scope: ListScope) {
        let endpoints = self.servers.update(now, entries, scope);
        let servers = &self.servers;
        self.health_checker
            .retain_listed(|server_id| servers.contains(server_id));
        self.flow_table
            .update_endpoints(now, &endpoints, scope == ListScope::Complete);
    }

    /// Passes another balancer's message to the policy. A message about an unlisted server is
    /// ignored.
    fn gossip_received(&mut self, now: Time, message: &GossipMessage) {
        if let Some(server_id) = self.servers.listed_server_id(&message.server) {
            let placement = GroupPlacement {
                group: message.group,
                server_id,
            };
            self.flow_table.receive_gossip(now, placement);
        }
    }

    /// Applies new settings. Flows, attempts in flight and connections are not changed.
    fn apply_settings(&mut self, settings: Settings) {
        // The endpoint list may have named zones that the settings name only now. The settings get
        // the numbers that these zones already have.
        let settings = match settings.zone_name() {
            Some(name) => settings.with_zone(self.servers.zone_id(&name)),
            None => settings,
        };
        match settings.policy(self.seed, self.deadline_margin, DrainMigration::Enabled) {
            Ok(policy) => {
                self.flow_table.apply_settings(policy);
                self.shutdown
                    .reload(clock::now(), settings.flow_timeout_max());
            }
            Err(error) => error!(%error, "new settings are invalid, keeping the previous ones"),
        }
    }

    fn terminate(&mut self, now: Time) {
        info!(flows = self.clients.len(), "graceful shutdown started");
        self.shutdown.start(now);
    }

    /// Runs the steps of a graceful shutdown that are due.
    fn continue_shutdown(&mut self) -> ShutdownState {
        let Some(progress) = self.shutdown.progress(clock::now()) else {
            return ShutdownState::Running;
        };
        for flow in self.shutdown.next_migrations(&progress, &self.clients) {
            let command = FlowCommand::Migrate {
                line_deadline: progress.migration_deadline(),
            };
            self.clients.command(flow, command);
        }
        if self.shutdown.answer_check_is_due(&progress) {
            self.time_out_unanswered(progress.now());
        }
        if self.shutdown.is_complete(&progress, &self.clients) {
            ShutdownState::Complete
        } else {
            ShutdownState::Running
        }
    }

    /// Times out every attempt of a flow that has not been answered.
    fn time_out_unanswered(&mut self, now: Time) {
        let mut unanswered = Vec::new();
        self.call_flow_table(now, |flow_table, commands| {
            unanswered = flow_table.begin_shutdown(now, commands)
        });
        for flow in unanswered {
            self.clients.command(flow, FlowCommand::AttemptTimedOut);
        }
        // The flow table doesn't contain connections that are being adopted.
        self.clients.time_out_adoptions();
    }

    /// Calls the flow table and executes the commands that the call adds.
    fn call_flow_table(
        &mut self,
        now: Time,
        call: impl FnOnce(&mut FlowTable, &mut Vec<PolicyCommand>),
    ) {
        let mut commands = Vec::new();
        call(&mut self.flow_table, &mut commands);
        let mut executor = CommandExecutor {
            now,
            flow_table: &mut self.flow_table,
            clients: &self.clients,
            servers: &self.servers,
            health_checker: &mut self.health_checker,
            gossip: self.gossip.as_ref(),
        };
        executor.execute_all(commands);
    }
}
