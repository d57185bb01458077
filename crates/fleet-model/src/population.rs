//! The clients. It owns who they are, what each wants and when it tries again, and must never know
//! a server.

use std::collections::BTreeMap;

use nettlemux_policy::{MS, SEC, Time};

use crate::model::FleetModel;
use crate::observation::Idempotency;
use crate::rng::Rng;
use crate::scenario::Scenario;
use crate::server::ServerConnection;
use crate::time::seconds;

/// The shortest and the longest delay of a client that was told to migrate.
const MIGRATED_DELAY: [Time; 2] = [50 * MS, 500 * MS];
/// The same for a client whose connection broke.
const BROKEN_DELAY: [Time; 2] = [100 * MS, SEC];
/// The shortest delay of a client whose balancer refused it; the longest is twice this.
const REFUSED_DELAY: Time = 200 * MS;

/// A client, from its arrival until it has got what it wanted or has given up.
#[derive(Clone, Debug)]
pub struct Client {
    /// The index of its traffic class.
    pub class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// Its group, where clients have groups.
    pub group: Option<u32>,
    /// The index of its zone.
    pub zone: usize,
    /// The load that its connection brings.
    pub load: f64,
    /// Worth of a second of good service to it.
    pub value: f64,
    /// When it has got what it wanted.
    pub ends: Time,
    /// How often it has tried since it was last connected.
    pub tries: usize,
    /// Whether its connection broke or was migrated.
    pub reconnecting: bool,
    /// Whether it follows a Retry-After.
    pub told: bool,
    /// Since when it has wanted to be connected.
    pub since: Time,
    /// Whether it has given up for good or has got what it wanted.
    pub gone: bool,
}

impl Client {
    /// Returns what the client's connection is to a server.
    pub fn connection(&self) -> ServerConnection {
        ServerConnection {
            load: self.load,
            group: self.group,
            class: self.class,
            value: self.value,
        }
    }
}

/// All clients that are there.
pub struct ClientPopulation {
    clients: BTreeMap<u64, Client>,
    next: u64,
    rng: Rng,
    /// Worth of a second of good service to all who are there, served or not.
    pub wanted: f64,
}

impl ClientPopulation {
    /// Makes an empty population with the random stream of this seed.
    pub fn new(seed: u64) -> Self {
        ClientPopulation {
            clients: BTreeMap::new(),
            next: 1,
            rng: Rng::new(seed, 2),
            wanted: 0.0,
        }
    }

    /// Returns a client that is still there.
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
            .weighted_index(scenario.types.iter().map(|t| t.share));
        let of = &scenario.types[class];
        let shares = &scenario.clients.tenants;
        // What a tenant brings beyond its quota is worth less.
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
        // Few groups are large: squared, so that the first tenth holds a third of the clients.
        let group = (groups > 0).then(|| (self.rng.uniform().powi(2) * groups as f64) as u32);
        let client = Client {
            class,
            tenant,
            group,
            zone: self.rng.index_below(scenario.zones.number),
            load: self.rng.log_normal(of.load, scenario.clients.load_spread),
            value: of.value
                * if surplus {
                    scenario.clients.surplus_weight
                } else {
                    1.0
                },
            ends: now + seconds(self.rng.exponential(scenario.clients.life)).max(50 * MS),
            tries: 0,
            reconnecting: false,
            told: false,
            since: now,
            gone: false,
        };
        self.wanted += client.value;
        let id = self.next;
        self.next += 1;
        self.clients.insert(id, client);
        id
    }

    /// Removes a client that wants nothing more. Every client leaves here.
    pub fn remove(&mut self, id: u64) {
        if let Some(client) = self.clients.remove(&id) {
            self.wanted = if self.clients.is_empty() {
                0.0
            } else {
                (self.wanted - client.value).max(0.0)
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

    /// Draws the time until the first change of a connection's load, where loads change.
    pub fn first_change(&mut self, scenario: &Scenario) -> Option<Time> {
        let every = scenario.clients.load_change_interval;
        (every > 0.0).then(|| seconds(self.rng.exponential(every)).max(MS))
    }

    /// Returns whether a client's flow may be repeated.
    pub fn idempotency(&self, id: u64, scenario: &Scenario) -> Idempotency {
        self.clients.get(&id).map_or(Idempotency::Idempotent, |c| {
            scenario.types[c.class].idempotency()
        })
    }

    /// Notes that a client is connected.
    pub fn connected(&mut self, id: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.tries, client.told) = (0, false);
        }
    }

    fn spread(&mut self, [from, to]: [Time; 2]) -> Time {
        from + (self.rng.uniform() * (to - from) as f64) as Time
    }

    /// Notes that a client was rejected. Returns how long it waits before it retries, or `None`
    /// where it gives up.
    pub fn rejected(
        &mut self,
        id: u64,
        retry_after: Option<Time>,
        scenario: &Scenario,
    ) -> Option<Time> {
        let own = seconds(scenario.clients.retry_interval);
        let own = self.spread([own, 2 * own]);
        let client = self.clients.get_mut(&id).filter(|client| !client.gone)?;
        client.tries += 1;
        client.gone = client.tries >= scenario.clients.tries;
        client.told = retry_after.is_some();
        (!client.gone).then(|| retry_after.unwrap_or(own << client.tries.min(4)))
    }

    /// Notes that a client's flow failed. Returns how long it waits before it retries, or `None`
    /// where it gives up, as it does where a repeat would have its effect again.
    pub fn failed(&mut self, id: u64, scenario: &Scenario) -> Option<Time> {
        if self.idempotency(id, scenario) == Idempotency::NonIdempotent {
            self.clients.get_mut(&id)?.gone = true;
            return None;
        }
        self.rejected(id, None, scenario)
    }

    /// Notes that a client was told to migrate or that its connection broke. Returns how long it
    /// waits before it reconnects, or `None` where it has gone.
    pub fn reconnect_delay(&mut self, now: Time, id: u64, moved: bool) -> Option<Time> {
        let wait = self.spread(if moved { MIGRATED_DELAY } else { BROKEN_DELAY });
        let client = self.clients.get_mut(&id).filter(|client| !client.gone)?;
        (client.reconnecting, client.told, client.since) = (true, false, now);
        Some(wait)
    }

    /// Draws how long a client waits whose balancer refused it.
    pub fn refused(&mut self) -> Time {
        self.spread([REFUSED_DELAY, 2 * REFUSED_DELAY])
    }
}
