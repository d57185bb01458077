//! The clients and the plain front before the balancers. It owns who there is, what each wants and when it comes again; it must
//! never know a server. The front deals clients out in turn and notices late that a balancer has died.

use std::collections::BTreeMap;

use nettlemux_policy::{MS, SEC, Time};

use crate::model::FleetModel;
use crate::observation::Idempotency;
use crate::rng::Rng;
use crate::scenario::Scenario;
use crate::server::ServerConnection;
use crate::time::seconds;

/// How soon a client that was told to move comes again, from and to.
const MOVED: [Time; 2] = [50 * MS, 500 * MS];
/// And one whose connection broke.
const BROKEN: [Time; 2] = [100 * MS, SEC];
/// How soon one that found its balancer dead tries the front again.
const REFUSED: Time = 200 * MS;

#[derive(Clone, Debug)]
pub struct Client {
    pub class: usize,
    pub tenant: usize,
    pub group: Option<u32>,
    pub zone: usize,
    pub load: f64,
    /// Worth of a second of good service to it.
    pub value: f64,
    /// When it will want nothing more.
    pub ends: Time,
    /// Tries since it was last served.
    pub tries: usize,
    /// Its connection broke or was moved.
    pub reconnecting: bool,
    /// It was told when to come back, and comes then.
    pub told: bool,
    /// It has wanted to be served since.
    pub since: Time,
    /// It has given up for good, or has had what it wanted.
    pub gone: bool,
}

impl Client {
    /// What it is to a server that it connects to.
    pub fn connection(&self) -> ServerConnection {
        ServerConnection {
            load: self.load,
            group: self.group,
            class: self.class,
            value: self.value,
        }
    }
}

pub struct ClientPopulation {
    clients: BTreeMap<u64, Client>,
    next: u64,
    rng: Rng,
    /// Worth of a second of good service to all who are there, served or not.
    pub wanted: f64,
}

impl ClientPopulation {
    pub fn new(seed: u64) -> Self {
        ClientPopulation {
            clients: BTreeMap::new(),
            next: 1,
            rng: Rng::new(seed, 2),
            wanted: 0.0,
        }
    }

    pub fn get(&self, id: u64) -> Option<&Client> {
        self.clients.get(&id)
    }

    /// How long until the next client comes.
    pub fn next_arrival(&mut self, world: &FleetModel) -> Time {
        let clients = &world.scenario.clients;
        let extra = match clients.tenants.first() {
            Some(share) => share * (world.tenant_surge - 1.0),
            None => 0.0,
        };
        let rate = clients.rate * (world.surge + extra.max(0.0));
        if rate <= 0.0 {
            SEC
        } else {
            seconds(self.rng.exponential(1.0 / rate)).max(1)
        }
    }

    /// A new client, who wants what it wants from now on.
    pub fn arrive(&mut self, now: Time, world: &FleetModel) -> u64 {
        let scenario = &world.scenario;
        let class = self
            .rng
            .weighted_index(scenario.types.iter().map(|t| t.share));
        let of = &scenario.types[class];
        let shares = &scenario.clients.tenants;
        // What a tenant brings beyond its share is worth less.
        let extra = shares
            .first()
            .map_or(0.0, |share| share * (world.tenant_surge - 1.0).max(0.0));
        let surplus = extra > 0.0 && self.rng.uniform() < extra / (world.surge + extra);
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

    /// It wants nothing more: the one place where it is given back.
    pub fn over(&mut self, id: u64) {
        if let Some(client) = self.clients.remove(&id) {
            self.wanted = if self.clients.is_empty() {
                0.0
            } else {
                (self.wanted - client.value).max(0.0)
            };
        }
    }

    /// A connection's load changes: what it is now, and how long until the next change.
    pub fn change_load(&mut self, id: u64, scenario: &Scenario) -> Option<(f64, Time)> {
        let client = self.clients.get_mut(&id)?;
        client.load = self.rng.log_normal(
            scenario.types[client.class].load,
            scenario.clients.load_spread,
        );
        let wait = seconds(self.rng.exponential(scenario.clients.load_change_interval)).max(MS);
        Some((client.load, wait))
    }

    pub fn first_change(&mut self, scenario: &Scenario) -> Option<Time> {
        let every = scenario.clients.load_change_interval;
        (every > 0.0).then(|| seconds(self.rng.exponential(every)).max(MS))
    }

    pub fn idempotency(&self, id: u64, scenario: &Scenario) -> Idempotency {
        self.clients.get(&id).map_or(Idempotency::Idempotent, |c| {
            scenario.types[c.class].idempotency()
        })
    }

    /// It is served.
    pub fn connected(&mut self, id: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            (client.tries, client.told) = (0, false);
        }
    }

    fn spread(&mut self, [from, to]: [Time; 2]) -> Time {
        from + (self.rng.uniform() * (to - from) as f64) as Time
    }

    /// It was turned away, with a Retry-After where it was told one; when it tries again.
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

    /// Its flow failed, and may have run: only what may be repeated is tried again.
    pub fn failed(&mut self, id: u64, scenario: &Scenario) -> Option<Time> {
        if self.idempotency(id, scenario) == Idempotency::NonIdempotent {
            self.clients.get_mut(&id)?.gone = true;
            return None;
        }
        self.rejected(id, None, scenario)
    }

    /// It was told to move, or its connection broke; when it comes again.
    pub fn reconnect_delay(&mut self, now: Time, id: u64, moved: bool) -> Option<Time> {
        let wait = self.spread(if moved { MOVED } else { BROKEN });
        let client = self.clients.get_mut(&id).filter(|client| !client.gone)?;
        (client.reconnecting, client.told, client.since) = (true, false, now);
        Some(wait)
    }

    /// It found nobody at the balancer that it was dealt.
    pub fn refused(&mut self) -> Time {
        self.spread([REFUSED, 2 * REFUSED])
    }
}

/// The front: deals clients out in turn among the balancers of their zone that it takes for alive.
pub struct FrontEnd {
    zones: Vec<Vec<usize>>,
    /// When it notices that a balancer has died; none while it is well.
    notices: Vec<Option<Time>>,
    turns: Vec<usize>,
}

impl FrontEnd {
    pub fn new(balancers: usize, zones: usize) -> Self {
        let of = |zone: usize| (0..balancers).filter(|b| b % zones == zone).collect();
        FrontEnd {
            zones: (0..zones).map(of).collect(),
            notices: vec![None; balancers],
            turns: vec![0; zones],
        }
    }

    /// The balancer for a client of that zone; another zone's where its own has none; none where there is none at all.
    pub fn pick_balancer(&mut self, now: Time, zone: usize) -> Option<usize> {
        let zones = self.zones.len();
        for other in 0..zones {
            let zone = (zone + other) % zones;
            let among = &self.zones[zone];
            for _ in 0..among.len() {
                self.turns[zone] = (self.turns[zone] + 1) % among.len();
                let balancer = among[self.turns[zone]];
                if self.notices[balancer].is_none_or(|at| now < at) {
                    return Some(balancer);
                }
            }
        }
        None
    }

    pub fn mark_dead(&mut self, balancer: usize, noticed: Time) {
        self.notices[balancer] = Some(noticed);
    }

    pub fn mark_alive(&mut self, balancer: usize) {
        self.notices[balancer] = None;
    }
}

#[cfg(test)]
mod tests;
