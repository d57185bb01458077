//! The balancers of the simulator, and the handling of event batches for them.

use std::collections::BTreeMap;
use std::io::BufRead;

use nettlemux_policy::Time;

use crate::balancer::SimulatedBalancer;
use crate::wire::{
    self, BatchLine, EndpointTables, EventContext, EventLine, Lines, SimulatorEvent, WireError,
    WireProblem,
};

/// The balancers of one simulator.
#[derive(Default)]
pub struct SimulatorHost {
    /// The balancers by name.
    balancers: BTreeMap<String, SimulatedBalancer>,
    /// The endpoint tables that events refer to, by number.
    endpoint_tables: EndpointTables,
}

/// The balancer that events are for, and the commands in reply to them.
struct SelectedBalancer {
    name: String,
    commands: String,
}

impl SimulatorHost {
    /// Handles the lines of a batch after its first line and returns the reply to the batch.
    ///
    /// # Errors
    /// Returns an error if the batch can't be read, or refers to a balancer or an endpoint table
    /// that doesn't exist.
    pub fn handle_batch<R: BufRead>(
        &mut self,
        now: Time,
        lines: &mut Lines<R>,
    ) -> Result<String, WireError> {
        let mut reply = String::new();
        let mut selected: Option<SelectedBalancer> = None;
        loop {
            let line = lines.expect_line(wire::BATCH_END)?;
            match BatchLine::parse(&line)? {
                BatchLine::End => {
                    self.finish_reply_part(now, selected, &mut reply);
                    wire::write_batch_end(&mut reply);
                    return Ok(reply);
                }
                BatchLine::SelectBalancer(name) => {
                    self.finish_reply_part(now, selected.take(), &mut reply);
                    selected = Some(SelectedBalancer {
                        name: name.to_string(),
                        commands: String::new(),
                    });
                }
                BatchLine::EndpointTable { number, count } => {
                    let endpoints = wire::read_endpoints(lines, count)?;
                    self.endpoint_tables.insert(number, endpoints);
                }
                BatchLine::Event(event) => {
                    let selected = selected.as_mut().ok_or_else(|| {
                        WireError::new("balancer", WireProblem::NoBalancerSelected)
                    })?;
                    self.handle_event(now, event, selected)?;
                }
            }
        }
    }

    fn handle_event(
        &mut self,
        now: Time,
        event: EventLine,
        selected: &mut SelectedBalancer,
    ) -> Result<(), WireError> {
        let name = &selected.name;
        if event.creates_balancer() {
            let creation = event.parse_creation()?;
            let balancer = SimulatedBalancer::new(creation.seed, &creation.settings)?;
            self.balancers.insert(name.clone(), balancer);
            return Ok(());
        }
        let balancer = self.balancers.get_mut(name).ok_or_else(|| {
            let problem = WireProblem::BalancerNotRunning(name.clone());
            WireError::new("balancer", problem)
        })?;
        let event = event.parse(EventContext {
            now,
            load_report_format: balancer.load_report_format(),
            traffic_classes: balancer.traffic_classes(),
            endpoint_tables: &self.endpoint_tables,
        })?;
        if matches!(event, SimulatorEvent::Removed) {
            self.balancers.remove(name);
            return Ok(());
        }
        balancer.handle(now, event, &mut selected.commands);
        Ok(())
    }

    /// Sets the timer of the selected balancer if needed and appends its commands to the reply.
    fn finish_reply_part(
        &mut self,
        now: Time,
        selected: Option<SelectedBalancer>,
        reply: &mut String,
    ) {
        let Some(mut selected) = selected else {
            return;
        };
        if let Some(balancer) = self.balancers.get_mut(&selected.name) {
            balancer.schedule_timer(now, &mut selected.commands);
            wire::write_balancer_commands(reply, &selected.name, &selected.commands);
        }
    }
}
