//! What the stand-ins share: the model, the clients, the rule checker and the figures behind one
//! lock that is never held while anybody waits, and how each server's life is told to its
//! listeners. It owns the run's time and its block of loopback addresses.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Instant, SystemTime};

use nettlemux_fleet_model::front_end::FrontEnd;
use nettlemux_fleet_model::model::{FleetEvent, FleetModel};
use nettlemux_fleet_model::observation::{ClosedBy, Observation};
use nettlemux_fleet_model::population::ClientPopulation;
use nettlemux_fleet_model::rng::Rng;
use nettlemux_fleet_model::scenario::Scenario;
use nettlemux_fleet_model::server::ServerStatus;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{EndpointState, MS, Time};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::error::SocketRunError;
use super::{FOREVER, SLACK, server};
use crate::figures::{FigureCollector, Figures};
use crate::record::Writer;
use crate::rules::{RuleChecker, Verdict};

/// Ports of the run's addresses; above them one for each further 250 of a kind.
const CLAIM: u16 = 17_999;
const BALANCERS: u16 = 17_000;
const DISCOVERY: u16 = 17_200;
const SERVERS: u16 = 17_400;
/// Addresses of one port.
const MANY: usize = 250;
/// How often the figures that walk all servers are taken.
const SAMPLE: Time = 500 * MS;

/// What a connection's stand-in at its server is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerSignal {
    Reset,
    /// Say and read nothing any more.
    Silence,
    Migrate,
}

/// What the stand-ins know of a flow.
pub struct Known {
    pub client: u64,
    pub balancer: usize,
    /// Where it is open, or an attempt is out.
    pub server: Option<usize>,
    /// Its server has ended it, and whether it had sent the client away.
    pub by_server: Option<bool>,
    pub tell: Option<mpsc::UnboundedSender<ServerSignal>>,
}

pub struct Inner {
    pub model: FleetModel,
    pub population: ClientPopulation,
    pub front: FrontEnd,
    pub figures: FigureCollector,
    pub rng: Rng,
    pub flows: HashMap<u64, Known>,
    /// By balancer: the version of the endpoint list that it may see, and whether it runs.
    pub visible: Vec<u64>,
    pub alive: Vec<bool>,
    pub standing: usize,
    /// Worth of messages answered in time since the last tick.
    pub served: f64,
    next_flow: u64,
    rules: Option<RuleChecker>,
    record: Option<Writer>,
    failed: Option<io::Error>,
    statuses: Vec<watch::Sender<ServerStatus>>,
    sampled: Time,
}

impl Inner {
    pub fn observe(&mut self, seen: Observation) {
        if let Some(rules) = &mut self.rules {
            rules.observe(&seen);
        }
        if let Some(record) = &mut self.record
            && let Err(e) = record.write(&seen)
        {
            self.failed.get_or_insert(e);
        }
    }

    pub fn number(&mut self) -> u64 {
        self.next_flow += 1;
        self.next_flow
    }

    /// A client sees its connection end without having been told to move.
    pub fn broken(&mut self, at: Time, flow: u64, told: bool) {
        let Some(known) = self.flows.get(&flow) else {
            return;
        };
        let zone = known.balancer % self.model.scenario.zones.number;
        let server_healthy = known.server.is_some_and(|server| {
            let one = &self.model.servers[server];
            one.status == ServerStatus::Up && self.model.reaches(zone, one.zone)
        });
        let (by, told) = match known.by_server {
            Some(told) => (ClosedBy::Server, told),
            None => (ClosedBy::Balancer, told),
        };
        self.observe(Observation::ConnectionClosed {
            at,
            flow,
            by,
            client_notified: told,
            server_healthy,
        });
    }
}

/// The run, shared by all its tasks.
pub struct SharedRun {
    pub scenario: Scenario,
    inner: Mutex<Inner>,
    origin: OnceLock<Instant>,
    /// The wall clock at the run's start, in milliseconds.
    unix: u64,
    block: u8,
    /// Rung when a balancer may see more of the endpoint list.
    pub news: watch::Sender<u64>,
    _claim: TcpListener,
}

impl SharedRun {
    pub fn new(
        scenario: Scenario,
        seed: u64,
        record: Option<Writer>,
    ) -> Result<Arc<Self>, SocketRunError> {
        let (block, claim) = claim()?;
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        // Word takes its way: what is judged at its arrival may be so late.
        let slack = SLACK + seconds(scenario.zones.between.max(scenario.zones.inside));
        let inner = Inner {
            population: ClientPopulation::new(seed),
            front: FrontEnd::new(scenario.balancers.number, scenario.zones.number),
            figures: FigureCollector::new(seconds(scenario.settle)),
            rng: Rng::new(seed, 3),
            flows: HashMap::new(),
            visible: vec![1; scenario.balancers.number],
            alive: vec![false; scenario.balancers.number],
            standing: 0,
            served: 0.0,
            next_flow: 0,
            rules: Some(RuleChecker::new(&scenario, slack)),
            record,
            failed: None,
            statuses: Vec::new(),
            sampled: 0,
            model: FleetModel::new(scenario.clone(), seed),
        };
        Ok(Arc::new(SharedRun {
            inner: Mutex::new(inner),
            origin: OnceLock::new(),
            unix: unix.as_millis() as u64,
            block,
            news: watch::Sender::new(0),
            _claim: claim,
            scenario,
        }))
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
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

    fn address(&self, third: usize, number: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.block, third as u8, (1 + number % MANY) as u8);
        SocketAddr::from((ip, port + (number / MANY) as u16))
    }

    pub fn balancer(&self, balancer: usize) -> SocketAddr {
        self.address(250, balancer, BALANCERS)
    }

    pub fn discovery(&self, balancer: usize) -> SocketAddr {
        self.address(251, balancer, DISCOVERY)
    }

    /// A server as balancers of that zone reach it: what comes over it is delayed by the way
    /// between the zones.
    pub fn server(&self, server: usize, zone: usize) -> SocketAddr {
        self.address(1 + zone, server, SERVERS)
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
                if let Some(tell) = &known.tell {
                    let _ = tell.send(what);
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
                "hostPort": self.server(server, zone).to_string(),
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

    /// The run is over: figures and verdict.
    pub fn finish(&self, end: Time, balancers: &[(f64, f64)]) -> io::Result<(Figures, Verdict)> {
        let mut inner = self.lock();
        let standing = inner
            .model
            .servers
            .iter()
            .map(|server| server.connections.len())
            .sum();
        let verdict = inner.rules.take().expect("finished once").finish(end);
        let figures = std::mem::replace(&mut inner.figures, FigureCollector::new(FOREVER));
        let mut figures = figures.finish(standing, &verdict);
        let cpu = balancers.iter().map(|one| one.0).sum::<f64>() / balancers.len().max(1) as f64;
        figures.0.insert("balancer_cpu", cpu);
        figures.0.insert(
            "balancer_mb",
            balancers.iter().map(|one| one.1).fold(0.0, f64::max),
        );
        match (inner.failed.take(), inner.record.take()) {
            (Some(e), _) => Err(e),
            (None, Some(record)) => record.finish().map(|()| (figures, verdict)),
            (None, None) => Ok((figures, verdict)),
        }
    }
}

/// A block of loopback addresses (127.BLOCK.0.0/16) that no other run holds: held by a listener for
/// as long as the run lasts.
fn claim() -> Result<(u8, TcpListener), SocketRunError> {
    let first = std::process::id() % 250;
    for k in 0..250 {
        let block = (2 + (first + k) % 250) as u8;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(127, block, 255, 1), CLAIM)) {
            return Ok((block, listener));
        }
    }
    Err(SocketRunError::NoFreeAddresses)
}
