//! The balancers of the simulator, and the handling of event batches for them.

use std::collections::BTreeMap;
use std::io::BufRead;

use indexmap::IndexSet;
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

/// The balancers that a batch is about.
#[derive(Default)]
struct BatchScope {
    /// The balancer that the following events are for.
    selected: Option<String>,
    /// The balancers that had an event, in the order of their first ones. Only these may act. What
    /// their commands are is known to the balancers alone.
    with_events: IndexSet<String>,
}

impl BatchScope {
    /// Returns the name of the selected balancer and records that it has an event.
    fn record_event(&mut self) -> Result<&str, WireError> {
        let name = self
            .selected
            .as_deref()
            .ok_or_else(|| WireError::new("balancer", WireProblem::NoBalancerSelected))?;
        if !self.with_events.contains(name) {
            self.with_events.insert(name.to_string());
        }
        Ok(name)
    }
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
        let mut scope = BatchScope::default();
        loop {
            let line = lines.expect_line(wire::BATCH_END)?;
            match BatchLine::parse(&line)? {
                BatchLine::End => return Ok(self.reply(now, &scope)),
                BatchLine::SelectBalancer(name) => scope.selected = Some(name.to_string()),
                BatchLine::EndpointTable { number, count } => {
                    let endpoints = wire::read_endpoints(lines, count)?;
                    self.endpoint_tables.insert(number, endpoints);
                }
                BatchLine::Event(event) => self.handle_event(now, event, scope.record_event()?)?,
            }
        }
    }

    fn handle_event(&mut self, now: Time, event: EventLine, name: &str) -> Result<(), WireError> {
        if event.creates_balancer() {
            let creation = event.parse_creation()?;
            let balancer = SimulatedBalancer::new(creation.seed, &creation.settings)?;
            self.balancers.insert(name.to_string(), balancer);
            return Ok(());
        }
        let balancer = self.balancers.get_mut(name).ok_or_else(|| {
            let problem = WireProblem::BalancerNotRunning(name.to_string());
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
        balancer.handle(now, event);
        Ok(())
    }

    /// Returns the reply to a batch: the commands of the balancers that are alive at its end.
    fn reply(&mut self, now: Time, scope: &BatchScope) -> String {
        let mut reply = String::new();
        for name in &scope.with_events {
            if let Some(balancer) = self.balancers.get_mut(name) {
                let commands = balancer.take_commands(now);
                wire::write_balancer_commands(&mut reply, name, &commands);
            }
        }
        wire::write_batch_end(&mut reply);
        reply
    }
}
