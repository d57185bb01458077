//! What the stand-ins share: the model, the clients, the rule checker and the figures behind one
//! lock that is never held over a wait, and how each server's status reaches its listeners. It owns
//! the run's time and its block of loopback addresses.

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

/// How often the figures that walk all servers are taken.
const SAMPLE: Time = 500 * MS;

/// The run, shared by all its tasks.
pub struct SharedRun {
    pub scenario: Scenario,
    /// The addresses of its stand-ins and balancers.
    pub addresses: AddressBlock,
    state: Mutex<RunState>,
    origin: OnceLock<Instant>,
    /// The wall clock at the run's start, in milliseconds.
    unix: u64,
    /// Notified when a balancer may see more of the endpoint list.
    pub news: watch::Sender<u64>,
}

impl SharedRun {
    pub fn new(
        scenario: Scenario,
        seed: u64,
        record: Option<Writer>,
    ) -> Result<Arc<Self>, SocketRunError> {
        let addresses = AddressBlock::claim()?;
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let state = RunState::new(&scenario, seed, record);
        Ok(Arc::new(SharedRun {
            state: Mutex::new(state),
            origin: OnceLock::new(),
            unix: unix.as_millis() as u64,
            news: watch::Sender::new(0),
            addresses,
            scenario,
        }))
    }

    pub fn lock(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the run began; 0 before.
    pub fn now(&self) -> Time {
        self.origin
            .get()
            .map_or(0, |origin| origin.elapsed().as_nanos() as Time)
    }

    pub fn begins(&self) {
        let _ = self.origin.set(Instant::now());
    }

    pub fn begun(&self) -> bool {
        self.origin.get().is_some()
    }

    pub fn observe(&self, seen: Observation) {
        self.lock().observe(seen);
    }

    pub fn standing(&self) -> usize {
        self.lock().standing
    }

    pub fn zone(&self, balancer: usize) -> usize {
        balancer % self.scenario.zones.number
    }

    /// A server's stand-in begins to listen, at one address for each zone.
    pub fn joins(self: &Arc<Self>, server: usize) {
        let mut inner = self.lock();
        let one = &inner.model.servers[server];
        let (zone, cell, machine) = (one.zone, one.cell, one.machine);
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

    /// The model goes on; what concerns balancers' processes is returned.
    pub fn tick(self: &Arc<Self>, now: Time) -> Vec<FleetEvent> {
        let mut inner = self.lock();
        let events = inner.model.tick(now);
        let seconds = super::TICK as f64 / 1e9;
        let (wanted, served) = (
            inner.population.wanted * seconds,
            std::mem::take(&mut inner.served),
        );
        inner.figures.worth(now, (wanted, served), seconds);
        if inner.sampled + SAMPLE <= now {
            inner.sampled = now;
            let utilizations: Vec<f64> = inner.model.utilizations(now).collect();
            inner.figures.load(now, &utilizations);
        }
        drop(inner);
        self.happen(events)
    }

    /// Carries out what happened in the model; what concerns balancers' processes is returned.
    pub fn happen(self: &Arc<Self>, events: Vec<FleetEvent>) -> Vec<FleetEvent> {
        let mut rest = Vec::new();
        for one in events {
            match one {
                FleetEvent::ConnectionsReset { ids, .. } => self.tell(&ids, ServerSignal::Reset),
                FleetEvent::ConnectionsSilenced { ids, .. } => {
                    self.tell(&ids, ServerSignal::Silence)
                }
                FleetEvent::ClientsMigrated { ids, .. } => self.tell(&ids, ServerSignal::Migrate),
                FleetEvent::ServerStarted { server } => {
                    self.joins(server);
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
                FleetEvent::EndpointsChanged | FleetEvent::DiscoveryRecovered => self.spread_list(),
                // Whoever talks across the cut finds out for itself.
                FleetEvent::ZoneConnectivityChanged { .. } => {}
                FleetEvent::BalancerRestartRequested { .. } | FleetEvent::BalancerKilled { .. } => {
                    rest.push(one)
                }
            }
        }
        self.tell_lives();
        rest
    }

    fn tell(&self, ids: &[u64], what: ServerSignal) {
        let mut inner = self.lock();
        for id in ids {
            if let Some(known) = inner.flows.get_mut(id) {
                if what != ServerSignal::Silence {
                    known.by_server = Some(what == ServerSignal::Migrate);
                }
                if let Some(signals) = &known.signals {
                    let _ = signals.send(what);
                }
            }
        }
    }

    fn tell_lives(&self) {
        let inner = self.lock();
        for (status, server) in inner.statuses.iter().zip(&inner.model.servers) {
            status.send_if_modified(|old| std::mem::replace(old, server.status) != server.status);
        }
    }

    /// Each balancer may see the endpoint list as it is now, after its own delay.
    fn spread_list(self: &Arc<Self>) {
        let mut inner = self.lock();
        for balancer in 0..inner.visible.len() {
            let Some(delay) = inner.model.discovery() else {
                continue;
            };
            let shared = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(super::span(delay)).await;
                let mut inner = shared.lock();
                if inner.model.discovery().is_some() {
                    inner.visible[balancer] = inner.model.version();
                }
                drop(inner);
                shared.news.send_modify(|count| *count += 1);
            });
        }
    }

    /// The list as one balancer gets it, in discovery's form; what it tells is noted as told.
    pub fn list(&self, balancer: usize, from: Option<u64>) -> Value {
        let mut inner = self.lock();
        let zone = self.zone(balancer);
        let (version, entries) = match from {
            Some(from) => (
                inner.visible[balancer],
                inner.model.entries_between(from, inner.visible[balancer]),
            ),
            None => (inner.model.version(), inner.model.since(0)),
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
                "startedAtMs": if entry.started == 0 { 0 } else { self.unix() + entry.started / MS },
            }));
        }
        json!({"generation": version, "reset": from.is_none(), "instances": instances})
    }

    /// The wall clock when the run began, in milliseconds.
    fn unix(&self) -> u64 {
        match self.origin.get() {
            Some(origin) => {
                let now = SystemTime::now()
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap_or_default();
                (now.as_millis() as u64).saturating_sub(origin.elapsed().as_millis() as u64)
            }
            None => self.unix,
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
