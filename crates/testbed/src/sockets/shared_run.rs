//! The run as its tasks share it. The model, the clients, the rule checker and the figures are
//! behind one lock, which is never held across an await. Events of the model are passed on to the
//! connections and listeners that they concern. It owns the run's clock and its block of loopback
//! addresses.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Instant, SystemTime};

use nettlemux_fleet_model::model::FleetEvent;
use nettlemux_fleet_model::observation::Observation;
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_fleet_model::server::ServerStatus;
use nettlemux_policy::{EndpointState, MS, Time};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::addresses::AddressBlock;
use super::error::SocketRunError;
use super::run_state::{RunState, ServerSignal};
use super::server;
use crate::figures::Figures;
use crate::record::Writer;
use crate::rules::Verdict;

/// Interval between two samples of the utilization of all servers.
const LOAD_SAMPLE_INTERVAL: Time = 500 * MS;

/// A run, shared by all its tasks.
pub struct SharedRun {
    pub scenario: Scenario,
    /// The addresses of the stand-ins and the balancers.
    pub addresses: AddressBlock,
    state: Mutex<RunState>,
    /// When the run began.
    started_at: OnceLock<Instant>,
    /// Unix time when this was created, in milliseconds.
    created_unix_ms: u64,
    /// Changes when a balancer may see a newer version of the endpoint list.
    pub list_updates: watch::Sender<u64>,
}

impl SharedRun {
    pub fn new(
        scenario: Scenario,
        seed: u64,
        record: Option<Writer>,
    ) -> Result<Arc<Self>, SocketRunError> {
        let addresses = AddressBlock::claim()?;
        let created = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let state = RunState::new(&scenario, seed, record);
        Ok(Arc::new(SharedRun {
            state: Mutex::new(state),
            started_at: OnceLock::new(),
            created_unix_ms: created.as_millis() as u64,
            list_updates: watch::Sender::new(0),
            addresses,
            scenario,
        }))
    }

    pub fn lock(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the run began, or 0 before it begins.
    pub fn now(&self) -> Time {
        self.started_at
            .get()
            .map_or(0, |started_at| started_at.elapsed().as_nanos() as Time)
    }

    /// Starts the clock of the run.
    pub fn start_clock(&self) {
        let _ = self.started_at.set(Instant::now());
    }

    /// Whether the clock of the run has been started.
    pub fn has_started(&self) -> bool {
        self.started_at.get().is_some()
    }

    pub fn observe(&self, observation: Observation) {
        self.lock().observe(observation);
    }

    /// Returns the number of standing connections that are established.
    pub fn established_standing(&self) -> usize {
        self.lock().standing
    }

    /// Returns the zone of a balancer.
    pub fn zone(&self, balancer: usize) -> usize {
        balancer % self.scenario.zones.number
    }

    /// Records a new server and starts its listeners, at one address for each zone.
    pub fn register_server(self: &Arc<Self>, server: usize) {
        let mut inner = self.lock();
        let server_model = &inner.model.servers[server];
        let (zone, cell, machine) = (server_model.zone, server_model.cell, server_model.machine);
        let at = self.now();
        inner.observe(Observation::Server {
            at,
            server,
            zone,
            cell,
            machine,
        });
        if inner.statuses.len() <= server {
            let status = watch::Sender::new(ServerStatus::Up);
            for zone in 0..self.scenario.zones.number {
                tokio::spawn(server::listen(
                    self.clone(),
                    server,
                    zone,
                    status.subscribe(),
                ));
            }
            inner.statuses.push(status);
        }
    }

    /// Advances the model to `now` and handles its events. Returns the events that concern the
    /// balancers' processes.
    pub fn tick(self: &Arc<Self>, now: Time) -> Vec<FleetEvent> {
        let mut inner = self.lock();
        let events = inner.model.tick(now);
        let seconds = super::TICK_INTERVAL as f64 / 1e9;
        let (wanted, served) = (
            inner.population.demanded_value * seconds,
            std::mem::take(&mut inner.served),
        );
        inner.figures.worth(now, (wanted, served), seconds);
        if inner.load_sampled_at + LOAD_SAMPLE_INTERVAL <= now {
            inner.load_sampled_at = now;
            let utilizations: Vec<f64> = inner.model.utilizations(now).collect();
            inner.figures.load(now, &utilizations);
        }
        drop(inner);
        self.handle_events(events)
    }

    /// Handles events of the model. Returns those that concern the balancers' processes.
    pub fn handle_events(self: &Arc<Self>, events: Vec<FleetEvent>) -> Vec<FleetEvent> {
        let mut process_events = Vec::new();
        for event in events {
            match event {
                FleetEvent::ConnectionsReset { ids, .. } => {
                    self.signal_connections(&ids, ServerSignal::Reset)
                }
                FleetEvent::ConnectionsSilenced { ids, .. } => {
                    self.signal_connections(&ids, ServerSignal::Silence)
                }
                FleetEvent::ClientsMigrated { ids, .. } => {
                    self.signal_connections(&ids, ServerSignal::Migrate)
                }
                FleetEvent::ServerStarted { server } => {
                    self.register_server(server);
                    self.observe(Observation::ServerStarted {
                        at: self.now(),
                        server,
                    });
                }
                FleetEvent::ServerCollapsed { server } => {
                    let mut inner = self.lock();
                    inner.figures.fell += 1;
                    inner.observe(Observation::ServerCollapsed {
                        at: self.now(),
                        server,
                    });
                }
                FleetEvent::EndpointsChanged | FleetEvent::DiscoveryRecovered => {
                    self.schedule_list_updates()
                }
                // The stand-ins check the connectivity themselves at each message.
                FleetEvent::ZoneConnectivityChanged { .. } => {}
                FleetEvent::BalancerRestartRequested { .. } | FleetEvent::BalancerKilled { .. } => {
                    process_events.push(event)
                }
            }
        }
        self.publish_server_statuses();
        process_events
    }

    /// Sends a signal to the server's side of these connections.
    fn signal_connections(&self, ids: &[u64], signal: ServerSignal) {
        let mut inner = self.lock();
        for id in ids {
            if let Some(flow) = inner.flows.get_mut(id) {
                if signal != ServerSignal::Silence {
                    flow.closed_by_server = Some(signal == ServerSignal::Migrate);
                }
                if let Some(signals) = &flow.signals {
                    let _ = signals.send(signal);
                }
            }
        }
    }

    /// Passes each server's status on to its listeners.
    fn publish_server_statuses(&self) {
        let inner = self.lock();
        for (status, server) in inner.statuses.iter().zip(&inner.model.servers) {
            status.send_if_modified(|old| std::mem::replace(old, server.status) != server.status);
        }
    }

    /// Makes the current endpoint list visible to each balancer after that balancer's delay.
    fn schedule_list_updates(self: &Arc<Self>) {
        let mut inner = self.lock();
        for balancer in 0..inner.visible_versions.len() {
            let Some(delay) = inner.model.discovery_delay() else {
                continue;
            };
            let shared = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(super::to_duration(delay)).await;
                let mut inner = shared.lock();
                if inner.model.discovery_delay().is_some() {
                    inner.visible_versions[balancer] = inner.model.list_version();
                }
                drop(inner);
                shared.list_updates.send_modify(|count| *count += 1);
            });
        }
    }

    /// Returns the endpoint list that a balancer gets, in the JSON format of discovery, and records
    /// each entry as notified. With `from`, only the changes since that version are returned.
    pub fn endpoint_list(&self, balancer: usize, from: Option<u64>) -> Value {
        let mut inner = self.lock();
        let zone = self.zone(balancer);
        let (version, entries) = match from {
            Some(from) => (
                inner.visible_versions[balancer],
                inner
                    .model
                    .entries_between(from, inner.visible_versions[balancer]),
            ),
            None => (inner.model.list_version(), inner.model.entries_since(0)),
        };
        let at = self.now();
        let mut instances = Vec::new();
        for entry in entries {
            let server = entry.server_id as usize;
            inner.observe(Observation::EndpointNotified {
                at,
                balancer,
                server,
                ready: entry.state == EndpointState::Ready,
            });
            instances.push(json!({
                "instanceId": format!("s{server}"),
                "hostPort": self.addresses.server(server, zone).to_string(),
                "zone": format!("h{}", entry.zone),
                "machineType": "m0",
                "cell": entry.cell,
                "lifecycle": match entry.state {
                    EndpointState::Ready => "Ready",
                    EndpointState::Draining => "Terminating",
                    EndpointState::Removed => "Gone",
                },
                "weight": entry.weight,
                "startedAtMs": if entry.started == 0 { 0 } else { self.start_unix_ms() + entry.started / MS },
            }));
        }
        json!({"generation": version, "reset": from.is_none(), "instances": instances})
    }

    /// Unix time when the run began, in milliseconds. Before the run begins, the time of creation.
    fn start_unix_ms(&self) -> u64 {
        match self.started_at.get() {
            Some(started_at) => {
                let now = SystemTime::now()
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap_or_default();
                (now.as_millis() as u64).saturating_sub(started_at.elapsed().as_millis() as u64)
            }
            None => self.created_unix_ms,
        }
    }

    /// Ends the run and returns its figures and verdict.
    ///
    /// # Errors
    /// The record could not be written.
    pub fn finish(&self, end: Time, balancers: &[(f64, f64)]) -> io::Result<(Figures, Verdict)> {
        self.lock().finish(end, balancers)
    }
}
