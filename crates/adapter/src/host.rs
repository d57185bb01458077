//! The balancers that the simulator runs, and the batches of events for them.

use std::collections::BTreeMap;
use std::io::BufRead;

use nettlemux_policy::Time;

use crate::balancer::SimulatedBalancer;
use crate::wire::{
    self, BatchLine, EndpointTables, EventContext, EventLine, Lines, SimulatorEvent, WireError,
    WireProblem,
};

/// The balancers of one simulator, by their names.
#[derive(Default)]
pub struct SimulatorHost {
    balancers: BTreeMap<String, SimulatedBalancer>,
    /// The endpoint tables that events refer to, by their numbers.
    endpoint_tables: EndpointTables,
}

/// The events of one balancer within a batch.
struct Selection {
    balancer: String,
    commands: String,
}

impl SimulatorHost {
    /// Handles the rest of a batch and returns the reply to it.
    ///
    /// # Errors
    /// Where the batch can't be read, or refers to what there is none of.
    pub fn handle_batch<R: BufRead>(
        &mut self,
        now: Time,
        lines: &mut Lines<R>,
    ) -> Result<String, WireError> {
        let mut reply = String::new();
        let mut selection: Option<Selection> = None;
        loop {
            let line = lines.expect_line(wire::BATCH_END)?;
            match BatchLine::parse(&line)? {
                BatchLine::End => {
                    self.finish_selection(now, selection, &mut reply);
                    wire::write_batch_end(&mut reply);
                    return Ok(reply);
                }
                BatchLine::SelectBalancer(name) => {
                    self.finish_selection(now, selection.take(), &mut reply);
                    selection = Some(Selection {
                        balancer: name.to_string(),
                        commands: String::new(),
                    });
                }
                BatchLine::EndpointTable { number, count } => {
                    let endpoints = wire::read_endpoints(lines, count)?;
                    self.endpoint_tables.insert(number, endpoints);
                }
                BatchLine::Event(event) => {
                    let selection = selection.as_mut().ok_or_else(|| {
                        WireError::new("balancer", WireProblem::NoBalancerSelected)
                    })?;
                    self.handle_event(now, event, selection)?;
                }
            }
        }
    }

    fn handle_event(
        &mut self,
        now: Time,
        event: EventLine,
        selection: &mut Selection,
    ) -> Result<(), WireError> {
        let name = &selection.balancer;
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
            load_reports: balancer.load_report_format(),
            endpoint_tables: &self.endpoint_tables,
        })?;
        if matches!(event, SimulatorEvent::Removed) {
            self.balancers.remove(name);
            return Ok(());
        }
        balancer.handle(now, event, &mut selection.commands);
        Ok(())
    }

    /// Ends a balancer's part of the reply.
    fn finish_selection(&mut self, now: Time, selection: Option<Selection>, reply: &mut String) {
        let Some(mut selection) = selection else {
            return;
        };
        if let Some(balancer) = self.balancers.get_mut(&selection.balancer) {
            balancer.schedule_timer(now, &mut selection.commands);
            wire::write_balancer_commands(reply, &selection.balancer, &selection.commands);
        }
    }
}
