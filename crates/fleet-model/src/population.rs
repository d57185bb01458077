//! The clients: their properties, how long each stays, and when it retries. This module must not
//! depend on servers.

use std::collections::BTreeMap;

use nettlemux_policy::{MS, SEC, Time};

use crate::model::FleetModel;
use crate::observation::Idempotency;
use crate::rng::Rng;
use crate::scenario::Scenario;
use crate::server::ServerConnection;
use crate::time::seconds;

/// The shortest and the longest reconnect delay of a client that was told to migrate.
const MIGRATED_RECONNECT_DELAY: [Time; 2] = [50 * MS, 500 * MS];
/// The shortest and the longest reconnect delay of a client whose connection broke.
const BROKEN_RECONNECT_DELAY: [Time; 2] = [100 * MS, SEC];
/// The shortest delay of a client whose connection a balancer refused; the longest is twice this.
const REFUSED_RETRY_DELAY_MIN: Time = 200 * MS;

/// A client, from its arrival until its planned end or until it gives up.
#[derive(Clone, Debug)]
pub struct Client {
    /// The index of its traffic class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// Its group; `None` if the scenario has no groups.
    pub group: Option<u32>,
    /// The index of its zone.
    pub zone: usize,
    /// The load of its connection.
    pub load: f64,
    /// The value of one second of good service to it.
    pub value: f64,
    /// When it plans to disconnect for good.
    pub planned_end: Time,
    /// The number of rejected and failed tries since it was last connected.
    pub unsuccessful_tries: usize,
    /// Whether its connection broke or was migrated.
    pub reconnecting: bool,
    /// Whether its next try follows a Retry-After that it was told.
    pub follows_retry_after: bool,
    /// Since when it has been trying to connect.
    pub connecting_since: Time,
    /// Whether it has given up for good.
    pub gave_up: bool,
}

impl Client {
    /// Returns the client's connection as a server has it.
    pub fn connection(&self) -> ServerConnection {
        ServerConnection {
            load: self.load,
            group: self.group,
            class: self.class,
            value: self.value,
        }
    }
}

/// All current clients.
pub struct ClientPopulation {
    clients: BTreeMap<u64, Client>,
    /// The number of the next client.
    next_id: u64,
    rng: Rng,
    /// The value of one second of good service to all current clients, whether they are served or not.
    pub demanded_value: f64,
}

impl ClientPopulation {
    /// Creates an empty population whose draws derive from this seed.
    pub fn new(seed: u64) -> Self {
        ClientPopulation {
            clients: BTreeMap::new(),
            next_id: 1,
            rng: Rng::new(seed, 2),
            demanded_value: 0.0,
        }
    }

    /// Returns a client, or `None` if it has been removed.
    pub fn get(&self, id: u64) -> Option<&Client> {
        self.clients.get(&id)
    }

    /// Draws the time until the next client arrives.
    pub fn next_arrival(&mut self, model: &FleetModel) -> Time {
        let clients = &model.scenario.clients;
        let extra = match clients.tenants.first() {
            Some(share) => share * (model.tenant_surge - 1.0),
            None => 0.0,
        };
        let rate = clients.rate * (model.surge + extra.max(0.0));
        if rate <= 0.0 {
            SEC
        } else {
            seconds(self.rng.exponential(1.0 / rate)).max(1)
        }
    }

    /// Adds a new client and returns its number.
    pub fn arrive(&mut self, now: Time, model: &FleetModel) -> u64 {
        let scenario = &model.scenario;
        let class = self
            .rng
            .weighted_index(scenario.types.iter().map(|class| class.share));
        let traffic_class = &scenario.types[class];
        let shares = &scenario.clients.tenants;
        // Flows of a tenant beyond its quota have less value.
        let extra = shares
            .first()
            .map_or(0.0, |share| share * (model.tenant_surge - 1.0).max(0.0));
        let surplus = extra > 0.0 && self.rng.uniform() < extra / (model.surge + extra);
        let tenant = match surplus {
            true => 0,
            false if shares.is_empty() => 0,
            false => self.rng.weighted_index(shares.iter().copied()),
        };
        let groups = scenario.clients.groups;
        // The draw is squared so that few groups are large: the first tenth of the groups has a third of
        // the clients.
        let group = (groups > 0).then(|| (self.rng.uniform().powi(2) * groups as f64) as u32);
        let client = Client {
            class,
            tenant,
            group,
            zone: self.rng.index_below(scenario.zones.number),
            load: self
                .rng
                .log_normal(traffic_class.load, scenario.clients.load_spread),
            value: traffic_class.value
                * if surplus {
                    scenario.clients.surplus_weight
                } else {
                    1.0
                },
            planned_end: now + seconds(self.rng.exponential(scenario.clients.life)).max(50 * MS),
            unsuccessful_tries: 0,
            reconnecting: false,
            follows_retry_after: false,
            connecting_since: now,
            gave_up: false,
        };
        self.demanded_value += client.value;
        let id = self.next_id;
        self.next_id += 1;
        self.clients.insert(id, client);
        id
    }

    /// Removes a client that has ended or given up. Every client is removed here.
    pub fn remove(&mut self, id: u64) {
        if let Some(client) = self.clients.remove(&id) {
            self.demanded_value = if self.clients.is_empty() {
                0.0
            } else {
                (self.demanded_value - client.value).max(0.0)
            };
        }
    }

    /// Changes a connection's load. Returns the new load and the time until the next change.
    pub fn change_load(&mut self, id: u64, scenario: &Scenario) -> Option<(f64, Time)> {
        let client = self.clients.get_mut(&id)?;
        client.load = self.rng.log_normal(
            scenario.types[client.class].load,
            scenario.clients.load_spread,
        );
        let wait = seconds(self.rng.exponential(scenario.clients.load_change_interval)).max(MS);
        Some((client.load, wait))
    }

    /// Draws the time until the first change of a connection's load, or returns `None` if loads do not
    /// change.
    pub fn first_load_change(&mut self, scenario: &Scenario) -> Option<Time> {
        let interval = scenario.clients.load_change_interval;
        (interval > 0.0).then(|| seconds(self.rng.exponential(interval)).max(MS))
    }

    /// Returns whether a client's flow may be repeated. An unknown client's flow may.
    pub fn idempotency(&self, id: u64, scenario: &Scenario) -> Idempotency {
        self.clients
            .get(&id)
            .map_or(Idempotency::Idempotent, |client| {
                scenario.types[client.class].idempotency()
            })
    }

    /// Records that a client is connected.
    pub fn record_connected(&mut self, id: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.unsuccessful_tries, client.follows_retry_after) = (0, false);
        }
    }

    /// Draws a time between two times.
    fn draw_between(&mut self, [from, to]: [Time; 2]) -> Time {
        from + (self.rng.uniform() * (to - from) as f64) as Time
    }

    /// Records that a client was rejected. Returns how long it waits before it retries, or `None` if
    /// it gives up.
    pub fn record_rejected(
        &mut self,
        id: u64,
        retry_after: Option<Time>,
        scenario: &Scenario,
    ) -> Option<Time> {
        let interval = seconds(scenario.clients.retry_interval);
        let interval = self.draw_between([interval, 2 * interval]);
        let client = self.clients.get_mut(&id).filter(|client| !client.gave_up)?;
        client.unsuccessful_tries += 1;
        client.gave_up = client.unsuccessful_tries >= scenario.clients.tries;
        client.follows_retry_after = retry_after.is_some();
        (!client.gave_up)
            .then(|| retry_after.unwrap_or(interval << client.unsuccessful_tries.min(4)))
    }

    /// Records that a client's flow failed. Returns how long the client waits before it retries, or
    /// `None` if it gives up. It always gives up if the flow is non-idempotent.
    pub fn record_failed(&mut self, id: u64, scenario: &Scenario) -> Option<Time> {
        if self.idempotency(id, scenario) == Idempotency::NonIdempotent {
            self.clients.get_mut(&id)?.gave_up = true;
            return None;
        }
        self.record_rejected(id, None, scenario)
    }

    /// Records that a client was told to migrate (`migrated`) or that its connection broke. Returns how
    /// long it waits before it reconnects, or `None` if it has given up or been removed.
    pub fn reconnect_delay(&mut self, now: Time, id: u64, migrated: bool) -> Option<Time> {
        let wait = self.draw_between(if migrated {
            MIGRATED_RECONNECT_DELAY
        } else {
            BROKEN_RECONNECT_DELAY
        });
        let client = self.clients.get_mut(&id).filter(|client| !client.gave_up)?;
        (
            client.reconnecting,
            client.follows_retry_after,
            client.connecting_since,
        ) = (true, false, now);
        Some(wait)
    }

    /// Draws how long a client waits before it retries if a balancer refused its connection.
    pub fn refused_retry_delay(&mut self) -> Time {
        self.draw_between([REFUSED_RETRY_DELAY_MIN, 2 * REFUSED_RETRY_DELAY_MIN])
    }
}
