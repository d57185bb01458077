//! The periodic step of the model, and the figures that are sampled periodically.

use nettlemux_fleet_model::server::ServerStatus;
use nettlemux_policy::{MS, SEC, Time};

use super::event::Event;
use super::simulation::Simulation;

/// The interval at which the model advances.
pub(super) const TICK_INTERVAL: Time = 100 * MS;
/// The interval at which the figures over all servers are sampled.
pub(super) const SAMPLE_INTERVAL: Time = 500 * MS;

impl Simulation<'_> {
    /// Advances the model, adds the worth served since the last step to the figures, and applies the
    /// model's events.
    pub(super) fn tick_model(&mut self) {
        let events = self.model.tick(self.now);
        let seconds = TICK_INTERVAL as f64 / SEC as f64;
        let wanted = self.clients.demanded_value * seconds;
        let served = self.model.served_value(self.now) * seconds;
        self.figures.worth(self.now, (wanted, served), seconds);
        self.apply_fleet_events(events);
        self.schedule(self.now + TICK_INTERVAL, Event::ModelTick);
    }

    /// Samples the utilization and the message times of all servers.
    pub(super) fn sample(&mut self) {
        let utilizations: Vec<f64> = self.model.utilizations(self.now).collect();
        self.figures.load(self.now, &utilizations);
        let fleet = &self.model.scenario.fleet;
        for server in self
            .model
            .servers
            .iter()
            .filter(|server| server.status == ServerStatus::Up)
        {
            let seconds = server.mean_message_seconds(fleet, self.now);
            self.figures
                .message(self.now, seconds, server.connections.len() as u64);
        }
        self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
    }
}
