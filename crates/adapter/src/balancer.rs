//! A simulated balancer: its flow table and its timer.

use std::mem;

use nettlemux_flow_table::{AdmissionAttributes, EndedAttempt, FlowTable, PolicyCommand};
use nettlemux_policy::{Flow, FlowId, MS, SEC, Time, TrafficClass};
use nettlemux_settings::{DrainMigration, LoadReportFormat, Settings};

use crate::wire::{self, EndpointUpdate, SimulatorEvent, WireError};

/// How long before its client gives up a flow must be answered, in batch intervals.
const ANSWER_MARGIN_BATCHES: Time = 2;
/// The shortest timer. It never expires in the batch in which it is set.
const TIMER_MIN: Time = MS;
/// The longest timer that the simulator's protocol allows.
const TIMER_MAX: Time = 3600 * SEC;

/// One balancer of the simulator. All times are nanoseconds of the simulator's clock.
pub struct SimulatedBalancer {
    flow_table: FlowTable,
    load_report_format: LoadReportFormat,
    traffic_classes: Vec<TrafficClass>,
    /// The number of the timer that was set last.
    timer_number: u64,
    /// When that timer expires; `None` if it has expired.
    timer_expires_at: Option<Time>,
    /// The commands of the current batch, as lines of the reply. They are dropped with the balancer:
    /// one that is created later under the same name must not issue them.
    commands: String,
}

impl SimulatedBalancer {
    /// Returns a balancer without flows.
    ///
    /// # Errors
    /// Returns an error if a setting is missing or invalid.
    pub fn new(seed: u64, settings: &Settings) -> Result<Self, WireError> {
        let margin = ANSWER_MARGIN_BATCHES * settings.simulator_batch_interval()?;
        let policy = settings.policy(seed, margin, DrainMigration::Disabled)?;
        Ok(SimulatedBalancer {
            flow_table: FlowTable::new(policy),
            load_report_format: settings.load_report_format(),
            traffic_classes: settings.traffic_classes()?,
            timer_number: 0,
            timer_expires_at: None,
            commands: String::new(),
        })
    }

    /// Returns the format of the servers' load reports.
    pub fn load_report_format(&self) -> LoadReportFormat {
        self.load_report_format
    }

    /// Returns the traffic classes of the settings, by number.
    pub fn traffic_classes(&self) -> &[TrafficClass] {
        &self.traffic_classes
    }

    /// Handles an event. [`take_commands`](Self::take_commands) returns the resulting commands.
    pub fn handle(&mut self, now: Time, event: SimulatorEvent) {
        let table = &mut self.flow_table;
        match event {
            // The host handles this event.
            SimulatorEvent::Removed => {}
            SimulatorEvent::EndpointsUpdated(update) => self.update_endpoints(now, update),
            SimulatorEvent::FlowArrived(flow) => self.accept(now, flow),
            SimulatorEvent::ConnectionAdopted { flow, server_id } => {
                table.adopt_connection(flow, server_id);
            }
            SimulatorEvent::Connected { flow, took } => {
                let mut commands = Vec::new();
                table.attempt_connected(now, flow, took, &mut commands);
                self.write_commands(commands);
            }
            SimulatorEvent::ConnectionLoad { flow, load } => {
                table.update_connection_load(flow, load);
            }
            SimulatorEvent::UnknownSignal => {}
            SimulatorEvent::AttemptEnded {
                outcome,
                is_answered,
            } => self.attempt_ended(now, outcome, is_answered),
            SimulatorEvent::ClientLeft { flow } => self.client_left(now, flow),
            SimulatorEvent::TimerExpired { number } => self.timer_expired(now, number),
            SimulatorEvent::HealthChecked {
                server_id,
                passed,
                report,
            } => {
                let mut commands = Vec::new();
                table.health_checked(now, server_id, passed, report, &mut commands);
                self.write_commands(commands);
            }
            // A message of another protocol version is ignored.
            SimulatorEvent::GossipReceived { placement } => {
                if let Some(placement) = placement {
                    table.receive_gossip(now, placement);
                }
            }
        }
    }

    fn update_endpoints(&mut self, now: Time, update: EndpointUpdate) {
        let table = &mut self.flow_table;
        match update {
            EndpointUpdate::Delta(endpoints) => table.update_endpoints(now, endpoints, false),
            EndpointUpdate::Snapshot(endpoints) => table.update_endpoints(now, endpoints, true),
            EndpointUpdate::PollFailed => table.on_endpoint_poll_failed(now),
        }
    }

    fn accept(&mut self, now: Time, flow: Flow) {
        let mut commands = Vec::new();
        let identity = AdmissionAttributes::default();
        self.flow_table.accept(now, flow, identity, &mut commands);
        self.write_commands(commands);
    }

    fn attempt_ended(&mut self, now: Time, attempt: EndedAttempt, is_answered: bool) {
        let flow = attempt.flow;
        if is_answered {
            self.flow_table.mark_answered(flow);
        }
        let mut commands = Vec::new();
        self.flow_table.attempt_ended(now, attempt, &mut commands);
        self.write_commands(commands);
        self.remove_if_finished(flow);
    }

    fn client_left(&mut self, now: Time, flow: FlowId) {
        let mut commands = Vec::new();
        self.flow_table.client_left(now, flow, &mut commands);
        self.write_commands(commands);
        self.remove_if_finished(flow);
    }

    fn timer_expired(&mut self, now: Time, number: u64) {
        if number == self.timer_number {
            self.timer_expires_at = None;
        }
        let mut commands = Vec::new();
        self.flow_table.timer_expired(now, &mut commands);
        self.write_commands(commands);
    }

    /// Returns the commands of the batch, and sets a timer if the flow table needs an earlier one than
    /// is set.
    pub fn take_commands(&mut self, now: Time) -> String {
        self.schedule_timer(now);
        mem::take(&mut self.commands)
    }

    fn schedule_timer(&mut self, now: Time) {
        let Some(wait) = self.flow_table.time_to_next_timer(now) else {
            return;
        };
        let wait = wait.clamp(TIMER_MIN, TIMER_MAX);
        let expires_at = now + wait;
        if self.timer_expires_at.is_none_or(|at| expires_at < at) {
            self.timer_number += 1;
            self.timer_expires_at = Some(expires_at);
            wire::write_timer(&mut self.commands, self.timer_number, wait);
        }
    }

    fn write_commands(&mut self, commands: Vec<PolicyCommand>) {
        for command in commands {
            match command {
                PolicyCommand::Reject { flow, .. } | PolicyCommand::Fail { flow } => {
                    self.remove_if_finished(flow);
                }
                PolicyCommand::CancelAttempt { flow, .. }
                    if !self.flow_table.has_attempt_in_flight(flow) =>
                {
                    continue;
                }
                _ => {}
            }
            wire::write_command(&mut self.commands, command);
        }
    }

    /// Removes a flow if its client isn't waiting for an answer and no attempt is in flight.
    fn remove_if_finished(&mut self, flow: FlowId) {
        if !self.flow_table.awaits_answer(flow) && !self.flow_table.has_attempt_in_flight(flow) {
            // As no attempt is in flight, no command is issued and the time is not used.
            self.flow_table.remove(0, flow, &mut Vec::new());
        }
    }
}
