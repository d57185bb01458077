//! All decisions of one balancer. How it is called: `place` says where a flow goes, `after` what to do
//! about an outcome (a probe's result and an elapsed wait are outcomes too), `wait` how long to wait for
//! the next. `list`, `list_failed`, `inherit`, `told_load` and `heard` bring news and return nothing,
//! `change` other settings. The plain types are in `types.rs`; times are nanoseconds of the caller's clock.
//!
//! The design (docs/design.md): servers are probed for load over capacity, β. Past T_H our largest
//! connections there are moved off until they cover our part of the excess. A smooth weighted round robin
//! places clients and passes over servers that are hot or hold well over their mean of our connections.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arrayvec::ArrayVec;
use nanorand::{Rng, WyRand};
use nettlemux_candidates::{LongList, WHOLE_LIST, hash, hash_name, usable_weight};

use crate::book::{Book, OwnConnection};
use crate::holders::GroupHolders;
use crate::rng::SeededRng;
use crate::types::*;

/// A server is hot above this: 0.8 served more in time than 0.75, 0.85 or the paper's 0.9 for its tunnels.
const T_H: f64 = 0.8;
/// A server asked for less is cool, and is probed half as often unless probes are cheap.
const COOL: f64 = 0.4;
/// Nothing is placed on a server that is asked for more: a gap under T_H keeps clients from being moved soon.
const FULL: f64 = 0.72;
/// The same for servers new to the flow's group, which bring its common work with it.
const NEW: f64 = 0.49;
/// Fresh connections that may come to the home of a group on one and the same figure.
const SPARE: f64 = 4.0;
/// Room kept for flows that bring more value for their load than ours do on the whole.
const RESERVE: f64 = 0.16;
/// A tenant is well over its share from this many times it.
const OVER: f64 = 1.25;
/// Answers are gathered so long for each flow held and server: a thousand times what one look takes.
const TOGETHER: Time = 100_000;
/// The design's start for the probe interval, and its bound.
const PROBE_EVERY: Time = 2 * SEC;
const PROBE_BOUND: Time = 10 * SEC;
/// The most that probes may cost, of the value of our flows: many balancers have few flows to each probe.
const PROBES_WORTH: f64 = 0.02;
/// Probes of all servers within their worth further apart than this: the sparse case of docs/design.md.
const SPARSE: Time = 3 * SEC;
/// There a flow goes only where a figure is this old at most: 0.5 s served no better, 2 s worse.
const FRESH: Time = SEC;
/// There a figure holds nobody off any longer than this: a server that was full is asked again.
const OLD: Time = 8 * SEC;
/// A probe for a flow that has brought nothing for so long is lost.
const LOST: Time = 150 * MS;
/// A group that needs a server gets the roomiest of so many: one fills servers that hold others' groups.
const CHOICE: usize = 4;
/// A figure is kept so long past the next probe that is due.
const KEEP_FIGURE: Time = 5 * SEC;
/// Reports lag by their refresh and delay, so a figure that comes sooner can't show the last moves.
const SETTLE: Time = 2 * SEC;
/// A report is about this old when it comes: what was placed later isn't in it.
const REPORT_AGE: Time = SEC;
/// Reports outside of this are taken for broken: no server lives that is asked for so much.
const SANE: std::ops::Range<f64> = 0.0..100.0;
/// A server is taken to hold so many connections at least: our first one must not count for all of it.
const FEWEST: f64 = 8.0;
/// We may be held up for so long between a look at the clock and what follows from it: what servers remember only for a
/// time has to be sent so much earlier.
const HELD_UP: Time = 150 * MS;
/// How many samples of each kind are kept.
const SAMPLES: usize = 8;
/// First time-out of a server after a failed attempt; it doubles with each further one.
const REST: Time = 500 * MS;
/// Own sends are looked at over this span to tell our usual rate.
const RATE_SPAN: Time = 20 * SEC;
/// Connects that were made together fail together: the window narrows once in this span.
const ROUND: Time = 250 * MS;
/// Times what fills a cold server over the longest warm-up: it fell at 105 attempts in 3 s; this gives 25.
const FILLS: f64 = 4.0;
/// What a cold server may get is drawn for each such slot: longer ones add up in a window, shorter ones meet few flows.
const SLOT: Time = SEC;
/// Connects in flight at once that trouble nobody, ours and all balancers' together; where the window starts.
const CALM: f64 = 8.0;
const CALM_ALL: f64 = 600.0;
/// One attempt in sixteen rounds, 4 s, still notices recovery well before clients have given up for good.
const NARROWEST: f64 = 1.0 / 16.0;
/// Flows that may wait for their turn, for each attempt that may be in flight.
const QUEUE: f64 = 4.0;
/// How soon flows that wait are looked at again: well inside latency objectives; each look walks all servers.
const LOOK_AGAIN: Time = 60 * MS;
/// From news of a drain to the first move: servers that send their clients away themselves have begun to.
const LEAVE: Time = 2 * SEC;

/// One server: its endpoint and the last few samples; what every flow looks at stands first and together.
#[repr(C)]
#[derive(Default)]
struct Server {
    endpoint: Endpoint,
    /// Our attempts that the last figure can't show yet.
    placed: VecDeque<Time>,
    /// Failed attempts since the last established one.
    failed: VecDeque<Time>,
    /// Failed probes since the last that passed.
    unprobed: VecDeque<Time>,
    /// Reports, newest first.
    reports: ArrayVec<(Time, f64), SAMPLES>,
    turn: f64,
    last_connected: Time,
    next_probe: Time,
    /// When a flow last asked for its figure, and when a probe last ended, whatever it brought.
    asked: Time,
    answered: Time,
    shed: Option<Time>,
    /// When it was last listed as ready, as of the news that it isn't.
    drains: Time,
    /// The last slot in which it was sent attempts as a cold one, how many, and where its slots begin.
    sent_cold: (Time, u64),
    phase: Time,
    /// When it last answered that it is full.
    refused: Option<Time>,
}

impl Server {
    /// The slot of the budget for cold servers, and how many attempts it was sent in it.
    fn sent_as_cold(&self, now: Time) -> (Time, u64) {
        let slot = (now + self.phase) / SLOT;
        (
            slot,
            if self.sent_cold.0 == slot {
                self.sent_cold.1
            } else {
                0
            },
        )
    }
}

#[derive(Default)]
pub struct Policy {
    rng: SeededRng,
    classes: Vec<TrafficClass>,
    zone: u64,
    balancers: f64,
    shares: Vec<f64>,
    surplus: f64,
    max_attempts: usize,
    margin: Time,
    retry_after: Option<Time>,
    second_copies: bool,
    may_call_off: bool,
    probes: bool,
    /// Balancers tell one another which servers hold a group.
    may_gossip: bool,
    holders: GroupHolders,
    /// What a probe costs, in flows of ours.
    probe_price: f64,
    every: Time,
    /// Few of our flows come to each server: one without ours is probed when a flow may go there.
    sparse: bool,
    /// When to look at held flows again, where a figure that they wait for has come.
    look: Option<Time>,
    /// Until then figures that they wait for are on their way.
    pending: Time,
    next_ask: Option<Time>,
    /// When the next server is due for a probe.
    next_probe: Option<Time>,
    /// Cold servers: their share at the start, when they are warm, how many times that they may get.
    cold: (f64, Time, f64),
    /// When the last of the servers is warm, and our pace for cold ones when a flow was last placed.
    cold_until: Time,
    paced: (Time, BTreeMap<u64, f64>),
    servers: BTreeMap<ServerId, Server>,
    book: Book,
    /// When our last attempts were established, and where.
    settled: VecDeque<(Time, ServerId)>,
    began: Option<Time>,
    window: Window,
    /// Flows told «not yet» since the last wait.
    held: usize,
    /// When to move the next clients off servers that drain.
    leaving: Option<Time>,
    /// Servers that drain send their clients away themselves, or clients needn't be told.
    they_move: bool,
    /// The least expected β when a flow was last placed, and when that was.
    least: (Time, f64),
    /// Up to how many servers all are looked at, and what is kept of a longer list.
    whole_list: usize,
    long: Option<LongList>,
    /// Sets our flows without a group apart from others'.
    salt: u64,
    draining: BTreeSet<ServerId>,
}

/// Where a flow may go: servers to ask before, servers to turn among, and the least expected β of all.
struct Choice {
    ask: Vec<ServerId>,
    among: Vec<ServerId>,
    least: f64,
}

/// How many attempts may be in flight at once: widened by those that are established, narrowed when
/// servers that answer fail or are late, which is the sign of something they share.
#[derive(Default)]
struct Window {
    /// Where it starts.
    calm: f64,
    width: f64,
    /// Widened quickly up to here, then by one a round.
    steady: f64,
    narrowed: Time,
}

impl Window {
    /// Whether another attempt may go out. A width under one is one attempt in so many rounds.
    fn full(&self, now: Time, in_flight: usize) -> bool {
        let pause = (ROUND as f64 / self.width) as Time;
        in_flight as f64 >= self.width.max(1.0) || self.width < 1.0 && now < self.narrowed + pause
    }

    fn widen(&mut self) {
        self.width += if self.width < self.steady {
            1.0
        } else {
            1.0 / self.width
        };
    }

    /// Once a round at most, since the attempts of one round fail together.
    fn narrow(&mut self, now: Time) {
        if now >= self.narrowed + ROUND {
            self.width = (self.width / 2.0).max(NARROWEST);
            (self.steady, self.narrowed) = (self.width, now);
        }
    }
}

impl Policy {
    /// A balancer that knows no servers yet.
    pub fn new(seed: u64, zone: u64, classes: Vec<TrafficClass>) -> Self {
        Policy {
            rng: SeededRng(WyRand::new_seed(seed)),
            classes,
            zone,
            balancers: 1.0,
            surplus: 1.0,
            max_attempts: 1,
            margin: 10 * MS,
            every: PROBE_EVERY,
            cold: (0.1, 30 * SEC, 1.0),
            window: Window {
                calm: CALM,
                width: CALM,
                steady: f64::INFINITY,
                narrowed: 0,
            },
            they_move: true,
            whole_list: WHOLE_LIST,
            salt: hash(seed),
            ..Policy::default()
        }
    }

    /// Goes on under other settings, which keep the places of traffic classes and tenants in hand.
    pub fn apply_settings(&mut self, new: Policy) {
        let old = std::mem::replace(self, new);
        (self.rng, self.servers, self.book) = (old.rng, old.servers, old.book);
        self.window = Window {
            calm: self.window.calm,
            ..old.window
        };
        (self.settled, self.began, self.cold_until) = (old.settled, old.began, old.cold_until);
        (self.every, self.sparse, self.next_probe) =
            (old.every, old.sparse && self.probes, old.next_probe);
        (self.held, self.look, self.least) = (old.held, old.look, old.least);
        (self.holders, self.leaving) = (old.holders, old.leaving);
        (self.long, self.salt, self.draining) = (old.long, old.salt, old.draining);
    }

    /// How many attempts a flow may have, and how long before its deadline we answer.
    pub fn attempts(
        mut self,
        most: usize,
        margin: Time,
        second_copies: bool,
        may_call_off: bool,
    ) -> Self {
        (self.max_attempts, self.margin) = (most.max(1), margin);
        (self.second_copies, self.may_call_off) = (second_copies, may_call_off);
        self
    }

    /// How many balancers place on these servers, and whether they may tell one another what is held where.
    pub fn among(mut self, balancers: f64, may_gossip: bool) -> Self {
        (self.balancers, self.may_gossip) = (balancers.max(1.0), may_gossip);
        self.window.calm = (CALM_ALL / self.balancers).clamp(1.0, CALM);
        self.window.width = self.window.calm;
        self
    }

    /// Each tenant's share, and the part of its value that a flow over it keeps.
    pub fn tenants(mut self, shares: Vec<f64>, surplus: f64) -> Self {
        (self.shares, self.surplus) = (shares, surplus);
        self
    }

    /// The longest Retry-After that clients are told, where they are told any.
    pub fn retry_after(mut self, longest: Option<Time>) -> Self {
        self.retry_after = longest;
        self
    }

    /// Whether servers may be probed, and what part of a flow's value a probe costs.
    pub fn probing(mut self, allowed: bool, price: f64) -> Self {
        (self.probes, self.probe_price) = (allowed, price.max(0.0));
        self
    }

    /// Whether the list has to be asked for, and whether clients are to be told before their server goes.
    pub fn told(mut self, ask: bool, warn: bool) -> Self {
        (self.next_ask, self.they_move) = (ask.then_some(0), !warn);
        self
    }

    /// A cold server has this share of its capacity, is warm after so long and falls at so many times it in a window.
    pub fn cold(mut self, start: f64, warm_up: Time, multiple: f64, window: Time) -> Self {
        self.cold = (
            start,
            warm_up,
            multiple * window as f64 / (window + SLOT) as f64,
        );
        self
    }

    /// Up to how many servers a list is looked at whole.
    pub fn whole_list(mut self, servers: usize) -> Self {
        self.whole_list = servers;
        self
    }

    /// News of the list: changed entries, or all of them.
    pub fn update_endpoints(&mut self, now: Time, entries: &[Endpoint], is_complete: bool) {
        for server in self.servers.values_mut() {
            // Also where a complete list tells of the drain.
            server.drains = if server.endpoint.state == EndpointState::Ready {
                now
            } else {
                server.drains
            };
            server.endpoint.state = if is_complete {
                EndpointState::Removed
            } else {
                server.endpoint.state
            };
        }
        for entry in entries {
            if entry.started > 0 {
                self.cold_until = self.cold_until.max(entry.started + self.cold.1);
            }
            let fresh = Server {
                endpoint: *entry,
                turn: self.rng.0.generate::<f64>(),
                drains: now,
                // Guards against all balancers probing a server in step.
                next_probe: now + self.rng.0.generate_range(0..PROBE_EVERY),
                // Balancers don't agree on who goes first: each draws its slots.
                phase: self.rng.0.generate_range(0..SEC << 20),
                ..Server::default()
            };
            match self.servers.get_mut(&entry.server_id) {
                Some(known) if known.endpoint.started == entry.started => known.endpoint = *entry,
                // A restart under the same id: nothing measured holds any more.
                _ => drop(self.servers.insert(entry.server_id, fresh)),
            }
        }
        self.follow(entries, is_complete);
        let book = &self.book;
        self.servers.retain(|server_id, server| {
            server.endpoint.state != EndpointState::Removed || book.at(*server_id) > 0.0
        });
        let draining = self
            .servers
            .values()
            .filter(|server| server.endpoint.state == EndpointState::Draining);
        self.draining = draining.map(|server| server.endpoint.server_id).collect();
        let drains = !self.drained(now).is_empty();
        self.leaving = self.leaving.or(drains.then_some(now + LEAVE));
        // Not put off: guards against a list that changes many times a second and probes that never come due.
        self.next_probe = self
            .due(now)
            .map(|due| self.next_probe.map_or(due, |at| at.min(due)));
    }

    /// Keeps what the news say of a long list.
    fn follow(&mut self, entries: &[Endpoint], is_complete: bool) {
        let known = self.long.take();
        if self.servers.len() <= self.whole_list {
            return;
        }
        let all = || {
            self.servers
                .values()
                .map(|server| server.endpoint)
                .collect()
        };
        let news: Vec<Endpoint> = if is_complete || known.is_none() {
            all()
        } else {
            entries.to_vec()
        };
        let mut long = known.unwrap_or_default();
        for entry in news {
            long.update(
                entry.server_id,
                entry.zone,
                entry.weight,
                entry.state == EndpointState::Ready,
            );
        }
        (self.long, self.sparse) = (Some(long), self.probes);
    }

    /// On a long list the servers that this flow may go to: its group's candidates and holders, or its own.
    fn scope(&self, flow: &Flow, far: bool) -> Option<Vec<ServerId>> {
        let long = self.long.as_ref()?;
        let group = flow.group.as_ref();
        let holders = group
            .and_then(|group| self.book.by_group.get(group))
            .into_iter()
            .flatten();
        let key = group.map_or_else(|| hash(self.salt ^ flow.id), |group| hash_name(group));
        Some(long.scope(key, self.zone, far, holders))
    }

    /// The list could not be had; it is asked for again after a while.
    pub fn endpoint_poll_failed(&mut self, now: Time) {
        self.next_ask = Some(now + SEC + self.rng.0.generate_range(0..SEC));
    }

    /// A connection that flowed through this balancer before it started.
    pub fn adopt_connection(&mut self, flow: &Flow, server_id: ServerId) {
        self.book.enter(0, flow, server_id, true);
    }

    /// A connection's load now.
    pub fn update_connection_load(&mut self, flow: FlowId, load: f64) {
        if load.is_finite() && load >= 0.0 {
            self.book.told(flow, load);
        }
    }

    /// Another balancer has placed a connection of this group there.
    pub fn receive_gossip(&mut self, now: Time, placement: GroupPlacement) {
        if self.may_gossip && self.servers.contains_key(&placement.server_id) {
            self.holders.note(now, placement);
        }
    }

    /// Where to send this flow.
    pub fn place(&mut self, now: Time, flow: &Flow) -> Placement {
        self.began.get_or_insert(now);
        let left = flow.deadline.saturating_sub(now + self.margin);
        let two_out = !self.second_copies && flow.attempts.iter().any(|c| c.in_flight);
        let jammed = self.window.width < self.window.calm
            && flow.attempts.iter().any(|c| !c.known_unexecuted);
        if left == 0 || two_out || jammed || flow.attempts.len() >= self.max_attempts {
            return self.reject_or_fail(now, flow);
        }
        // Guards against a storm of attempts that jams what all servers share (the store) and stays.
        if self.window.full(now, self.book.in_flight.len()) {
            return self.hold(now, flow);
        }
        // Guards against walking all servers for each of the flows that wait, while nothing has come since
        // they were last looked at, or none has room at this moment.
        let worth = if self.worthy(flow) { RESERVE } else { 0.0 };
        let none =
            !flow.reconnecting && self.least.0 == now && self.least.1 >= T_H.min(worth + FULL);
        if none || flow.accepted_at < now && now < self.pending {
            return self.hold(now, flow);
        }
        // Rule 4: cold servers only within our part of their budget. The pace walks a long list once a second.
        if self.long.is_none() || now >= self.paced.0 + SEC {
            self.paced = (
                now,
                if now < self.cold_until {
                    self.pace(now)
                } else {
                    BTreeMap::new()
                },
            );
        }
        // Guards against a flow whose candidates are all away or full: further ones, then the whole list.
        let mut choice = self.choose(
            now,
            flow,
            worth,
            self.scope(flow, self.may_gossip).as_deref(),
        );
        if choice.among.is_empty() && self.long.is_some() {
            choice = self.choose(now, flow, worth, self.scope(flow, true).as_deref());
        }
        let whole =
            choice.among.is_empty() && self.long.as_mut().is_some_and(|long| long.may_walk(now));
        if whole {
            choice = self.choose(now, flow, worth, None);
        }
        let Choice { ask, among, least } = choice;
        let first = flow.attempts.is_empty() && !(flow.reconnecting && self.afresh(now));
        if first && (whole || self.long.is_none()) {
            self.least = (now, least);
        }
        // When many wait the figures that there are must do: looking at all of them again costs too much.
        let waits =
            now < flow.accepted_at + self.class(flow).latency_objective && left > 2 * LOOK_AGAIN;
        let asks = !ask.is_empty() && !self.crowded() && waits;
        if asks
            && self
                .long
                .as_mut()
                .is_none_or(|long| long.probes.pay(now, ask.len()))
        {
            return self.ask(now, &ask);
        }
        let Some(server_id) = self.turn(&among) else {
            return self.hold(now, flow);
        };
        let server = self.servers.get_mut(&server_id).expect("a listed server");
        let (slot, sent) = server.sent_as_cold(now);
        server.sent_cold = (slot, sent + 1);
        server.placed.push_back(now);
        self.book.enter(now, flow, server_id, false);
        // All the time that is left: an attempt that was given up has cost the store its call all the same.
        let latest_send = self
            .send_by(flow)
            .saturating_sub(now + self.margin + HELD_UP);
        Placement::Forward {
            server_id,
            timeout: left,
            send_within: left.min(latest_send),
        }
    }

    /// Looks at these servers, or at all, for where the flow may go.
    fn choose(&self, now: Time, flow: &Flow, worth: f64, scope: Option<&[ServerId]>) -> Choice {
        let of_scope = |scope: &[ServerId]| {
            scope
                .iter()
                .filter_map(|server_id| self.servers.get(server_id))
                .collect()
        };
        let listed: Vec<&Server> = scope.map_or_else(|| self.servers.values().collect(), of_scope);
        let part = listed.len() as f64 / self.servers.len().max(1) as f64;
        // Rules 2 and 3: only ready servers, and only where a repeat can do no harm.
        let allowed = listed
            .into_iter()
            .filter(|server| self.may_send(now, flow, server));
        let has_budget = |server: &Server| self.cold_budget(now, server, &self.paced.1) > 0;
        let warm = allowed.filter(|server| self.warmth(now, server) >= 1.0 || has_budget(server));
        // Each server with its figure: worked out once for a flow, as this is most of what a flow costs us.
        let warm: Vec<Seen> = warm
            .map(|server| (server, self.utilization(now, server)))
            .collect();
        // Guards against one server that answers nothing and soon holds all attempts that may be in flight.
        let target = self.class(flow).latency_objective;
        let late = self
            .book
            .in_flight
            .values()
            .filter(|(_, at)| at + target < now);
        let overdue: BTreeSet<ServerId> = late.map(|(server_id, _)| *server_id).collect();
        let answers = |server_id: ServerId| {
            !flow.attempts.iter().any(|c| c.server_id == server_id) && !overdue.contains(&server_id)
        };
        let healthy = prefer(warm, |server| {
            self.healthy(now, server) && answers(server.endpoint.server_id)
        });
        let number = healthy.len().max(1) as f64;
        let own_there = |_| {
            healthy
                .iter()
                .map(|(server, _)| self.book.at(server.endpoint.server_id))
                .sum()
        };
        let mean_own = scope.map_or(self.book.own.len() as f64, own_there) / number;
        let unknown = |server: &Server| self.stale(now, server, OLD);
        let (mut sum, mut count, mut placed, mut roomy) = (0.0, 0.0, 0, 0.0);
        for (server, utilization) in &healthy {
            placed += server.placed.len();
            (sum, count) =
                utilization.map_or((sum, count), |utilization| (sum + utilization, count + 1.0));
            roomy += if utilization.is_some_and(|utilization| utilization < FULL) || unknown(server)
            {
                1.0
            } else {
                0.0
            };
        }
        let mean = sum / f64::max(count, 1.0);
        // What we placed lately counts at once, as two mean connections since it is set up and may bring its
        // group; others place as we do on average. Guards against all filling a server on one figure.
        let each = 2.0 * mean / (mean_own * self.balancers).max(FEWEST);
        let lately = placed as f64 / number;
        // Guards against a balancer that has just restarted and turns away those of the next one, or puts
        // all on the first server that shows room: they bring no new load, the figures have it.
        let returns = flow.reconnecting && self.afresh(now);
        // Guards against one attempt of ours taken for one of each of hundreds. All go where there is room.
        let lag = (REPORT_AGE + FRESH) as f64 / RATE_SPAN as f64;
        let usual = lag * part * self.settled.len() as f64 / f64::max(roomy, 1.0);
        let theirs = match () {
            () if self.may_gossip || self.sparse => (self.balancers - 1.0) * usual,
            () if returns => -lately,
            () => (self.balancers - 1.0) * lately,
        };
        let expected = |(server, utilization): &Seen| {
            utilization.map_or(mean, |utilization| {
                utilization + each * (server.placed.len() as f64 + theirs)
            })
        };
        let holders = flow
            .group
            .as_ref()
            .and_then(|group| self.book.by_group.get(group));
        // Guards against servers that drop what they hold since more and more is placed on them, and, as
        // holders of the flow's group take more, against common work that is paid for on every server.
        let name = flow.group.as_ref().map_or(0, |group| hash_name(group));
        let told = self.may_gossip && flow.group.is_some() && self.holders.knows(name as u16);
        let ours = |server_id: ServerId| {
            !self.may_gossip && holders.is_some_and(|holders| holders.contains_key(&server_id))
        };
        let others = |server_id: ServerId| told && self.holders.holds(now, name as u16, server_id);
        let holds =
            |server: &Server| ours(server.endpoint.server_id) || others(server.endpoint.server_id);
        let is_near = |server: &Server| server.endpoint.zone == self.zone;
        // Guards against many balancers that each hold few of a group and spread it: they agree on an order
        // of servers for it, whose first is its home, with room but for a few more on the same figure.
        let rank = |server: &Server| hash(name ^ server.endpoint.server_id);
        let alone = flow.group.is_some() && holders.is_none() && !told;
        let homes = healthy
            .iter()
            .filter(|(server, _)| alone && is_near(server));
        let home = homes
            .min_by_key(|(server, _)| rank(server))
            .map(|(server, _)| server.endpoint.server_id);
        let room = |server: &Server| match () {
            () if returns => T_H.min(worth + mean.clamp(NEW, FULL)),
            () if holds(server) => T_H.min(worth + FULL),
            () if home == Some(server.endpoint.server_id) => {
                T_H.min(worth + (T_H - SPARE * each).clamp(NEW, FULL))
            }
            // Where no loads are told nothing brings more for its load than the rest.
            () if told && self.book.told.is_empty() => NEW,
            () => T_H.min(worth + NEW),
        };
        let (mut least, mut open) = (f64::INFINITY, healthy);
        open.retain(|seen| {
            let ahead = if unknown(seen.0) { 0.0 } else { expected(seen) };
            least = least.min(ahead);
            ahead < T_H && ahead < room(seen.0)
        });
        // Guards against the few that one of hundreds of balancers holds being taken for too many.
        let slack = if self.may_gossip { FEWEST } else { 1.0 };
        // Some are candidates more often than others: the rotation alone would give them more flows.
        let times = if flow.group.is_none() && scope.is_some() {
            1.0
        } else {
            1.5
        };
        let mut kin = prefer(open, |server| {
            self.book.at(server.endpoint.server_id) <= times * mean_own + slack
        });
        // A crossing is paid for once, a group's common work on each server as long as it holds any.
        kin = if self.may_gossip {
            prefer(kin, holds)
        } else {
            kin
        };
        kin = prefer(prefer(kin, is_near), holds);
        // The one whose turn it is, or, for a group that needs a server, the roomiest of a few.
        let next = |server: &Server| server.turn + usable_weight(server.endpoint.weight);
        let mut ask = kin
            .iter()
            .copied()
            .max_by(|a, b| next(a.0).total_cmp(&next(b.0)))
            .into_iter()
            .collect();
        if flow.group.is_some() && !kin.iter().any(|(server, _)| holds(server)) {
            kin.sort_by_key(|(server, _)| rank(server));
            kin.truncate(if self.may_gossip {
                CHOICE
            } else {
                1 + usize::from(scope.is_some())
            });
            ask = std::mem::take(&mut kin);
            kin.extend(
                ask.iter()
                    .copied()
                    .min_by(|a, b| expected(a).total_cmp(&expected(b))),
            );
        }
        ask.retain(|(server, _)| self.stale(now, server, FRESH));
        let [ask, among] = [ask, kin].map(|of| {
            of.iter()
                .map(|(s, _)| s.endpoint.server_id)
                .collect::<Vec<ServerId>>()
        });
        Choice { ask, among, least }
    }

    /// What to do after this outcome.
    pub fn on_event(&mut self, now: Time, event: PolicyEvent) -> Actions {
        let mut actions = Actions::default();
        match event {
            PolicyEvent::Connected { flow, .. } => {
                if let Some(server_id) = self.book.connected(flow) {
                    actions.gossip = self.tell(now, flow, server_id);
                    self.window.widen();
                    let warm = self
                        .servers
                        .get(&server_id)
                        .is_some_and(|server| self.warmth(now, server) >= 1.0);
                    if let Some(server) = self.servers.get_mut(&server_id) {
                        server.failed.clear();
                        server.last_connected = now;
                        self.settled.extend(warm.then_some((now, server_id)));
                    }
                    let old = self.settled.partition_point(|(at, _)| at + RATE_SPAN < now);
                    self.settled.drain(..old);
                }
            }
            PolicyEvent::AttemptEnded {
                flow,
                server_id,
                end,
                unanswered,
            } => {
                let own = self.book.strike(flow);
                let setting_up = own.as_ref().is_some_and(|own| !own.connected);
                self.they_move |= end == AttemptEnd::Cancelled
                    && own.is_some_and(|own| own.connected && !own.moved);
                let shared = matches!(end, AttemptEnd::TimedOut | AttemptEnd::Error);
                if shared
                    && self
                        .servers
                        .get(&server_id)
                        .is_some_and(|server| self.healthy(now, server))
                {
                    self.window.narrow(now);
                }
                if let Some(server) = self.servers.get_mut(&server_id).filter(|_| setting_up) {
                    server.placed.pop_back();
                    server.refused = if end == AttemptEnd::Overloaded {
                        Some(now)
                    } else {
                        server.refused
                    };
                    if shared
                        || matches!(
                            end,
                            AttemptEnd::Unreachable
                                | AttemptEnd::Overloaded
                                | AttemptEnd::ConnectionLost
                        )
                    {
                        keep(&mut server.failed, now);
                    }
                }
                actions.placement = unanswered.map(|flow| self.place(now, flow));
            }
            PolicyEvent::ClientLeft { flow } => {
                let in_flight = self.book.own.get(&flow).is_some_and(|own| !own.connected);
                actions
                    .cancel
                    .extend((self.may_call_off && in_flight).then_some(flow));
            }
            PolicyEvent::HealthChecked {
                server_id,
                passed,
                report,
            } => {
                self.pending = 0;
                let waits = self.sparse && self.held > 0;
                self.look = self
                    .look
                    .or(waits.then_some(now + self.gather().min(LOOK_AGAIN)));
                if let Some(server) = self.servers.get_mut(&server_id) {
                    server.answered = now;
                    if passed {
                        server.unprobed.clear();
                    } else {
                        keep(&mut server.unprobed, now);
                        server.next_probe = server.next_probe.min(now + PROBE_EVERY);
                        self.next_probe = self.next_probe.map(|at| at.min(now + PROBE_EVERY));
                    }
                    let hot = report
                        .utilization
                        .is_some_and(|utilization| utilization > T_H);
                    if let Some(long) = self.long.as_mut().filter(|_| hot || !passed) {
                        long.probes.watch(now, server_id);
                    }
                    if let Some(utilization) = report
                        .utilization
                        .filter(|utilization| passed && SANE.contains(utilization))
                    {
                        server.reports.truncate(SAMPLES - 1);
                        server.reports.insert(0, (now, utilization));
                        server.placed.retain(|at| at + REPORT_AGE > now);
                        let each = report
                            .connections
                            .filter(|count| *count >= 1.0)
                            .map(|count| utilization / count);
                        for flow in self.book.by_server.get(&server_id).into_iter().flatten() {
                            let own = self.book.own.get_mut(flow).expect("our connection");
                            own.estimate = own.estimate.or(each);
                        }
                        actions.migrate = self.shed(now, server_id);
                    }
                }
            }
            PolicyEvent::TimerExpired => {
                (self.held, self.look) = (0, self.look.filter(|at| *at > now))
            }
        }
        if self.next_probe.is_some_and(|at| at <= now) {
            actions.health_checks = if self.long.is_some() {
                self.probe_some(now)
            } else {
                self.probe_due(now)
            };
            self.next_probe = self.due(now);
        }
        if self.leaving.is_some_and(|at| at <= now) {
            let drained = self.drained(now);
            self.leaving = (!drained.is_empty()).then_some(now + LOOK_AGAIN);
            let mut goes = |chance| self.rng.0.generate::<f64>() < chance;
            actions.migrate.extend(
                drained
                    .into_iter()
                    .filter(|(_, chance)| goes(*chance))
                    .map(|(flow, _)| flow),
            );
        }
        actions
            .migrate
            .iter()
            .for_each(|flow| self.book.own.get_mut(flow).expect("our connection").moved = true);
        actions.poll_endpoints = self.next_ask.take_if(|at| *at <= now).is_some();
        actions
    }

    /// All servers whose probe is due.
    fn probe_due(&mut self, now: Time) -> Vec<ServerId> {
        let mut probes = Vec::new();
        let paid = self.probe_every(now, self.servers.len());
        self.sparse = self.probes && paid > SPARSE;
        let paid = if self.sparse {
            self.probe_every(now, self.book.by_server.len())
        } else {
            paid
        };
        self.every = paid.clamp(PROBE_EVERY, PROBE_BOUND);
        for server in self.servers.values_mut() {
            if server.next_probe <= now && server.endpoint.state == EndpointState::Ready {
                // Where twice the probes are paid for a cool one isn't spared: it may fill meanwhile.
                let cool = server
                    .reports
                    .first()
                    .is_some_and(|(_, utilization)| *utilization < COOL);
                let times = if cool && 2 * paid > PROBE_EVERY { 2 } else { 1 };
                server.next_probe = now + PROBE_BOUND.min(times * self.every);
                let ours = self.book.by_server.contains_key(&server.endpoint.server_id);
                if !self.sparse || ours || now < server.asked + LOST {
                    probes.push(server.endpoint.server_id);
                }
            }
        }
        probes
    }

    /// On a long list: as many as the budget allows.
    fn probe_some(&mut self, now: Time) -> Vec<ServerId> {
        let Some(long) = self.long.as_mut() else {
            return Vec::new();
        };
        let ready = |server_id| {
            self.servers
                .get(&server_id)
                .filter(|server| server.endpoint.state == EndpointState::Ready)
        };
        let last_figure =
            |server_id| ready(server_id).map(|server| server.answered.max(server.asked));
        let probes = long
            .probes
            .next(now, &self.book.by_server, BTreeSet::len, last_figure);
        probes.iter().for_each(|server_id| {
            _ = self
                .servers
                .entry(*server_id)
                .and_modify(|server| server.asked = now)
        });
        probes
    }

    /// How long to wait for the next outcome at most.
    pub fn time_to_next_timer(&self, now: Time) -> Option<Time> {
        let held = (self.held > 0).then_some(now + LOOK_AGAIN.max(self.gather()));
        let all = [
            self.next_probe,
            self.next_ask,
            held,
            self.leaving,
            self.look,
        ];
        all.into_iter()
            .flatten()
            .min()
            .map(|at| at.saturating_sub(now))
    }

    /// How long answers are gathered before the next look at all that is held: each looks at all servers.
    fn gather(&self) -> Time {
        (TOGETHER * (self.held * self.servers.len().min(self.whole_list)) as Time)
            .min(2 * LOOK_AGAIN)
    }

    /// Whether we have started lately, from nothing: all that we hold was made since.
    fn afresh(&self, now: Time) -> bool {
        let young = self.began.is_none_or(|began| now < began + RATE_SPAN);
        young && self.book.own.len() <= self.settled.len() + self.book.in_flight.len()
    }

    /// The probe interval: as long as keeps probes within their worth, by how many of our flows come to them.
    fn probe_every(&self, now: Time, servers: usize) -> Time {
        let settled = self
            .settled
            .iter()
            .filter(|(at, _)| at + RATE_SPAN >= now)
            .count();
        // Until a span has passed, what was inherited tells: connections live for three. Where nothing was, our
        // part of what servers hold: guards against figures that stand for 10 s, and hundreds that expect eight.
        let young = self.began.is_none_or(|began| now < began + RATE_SPAN);
        let part = (FEWEST * (self.servers.len() as f64 / self.balancers).min(1.0)) as usize;
        let expected = if self.afresh(now) {
            part
        } else {
            self.book.own.len() / 3
        };
        let flows = settled.max(if young { expected } else { 1 }).max(1);
        let probes = PROBES_WORTH * flows as f64 / self.probe_price.max(f64::MIN_POSITIVE);
        (RATE_SPAN as f64 * servers as f64 / probes) as Time
    }

    /// When the next probe is due, kept so that not every outcome walks all servers.
    fn due(&self, now: Time) -> Option<Time> {
        if self.long.is_some() {
            return self.probes.then_some(now + ROUND);
        }
        let ready = self
            .servers
            .values()
            .filter(|s| self.probes && s.endpoint.state == EndpointState::Ready);
        // Probes that are nearly due go out together: each look walks all servers.
        ready
            .map(|server| server.next_probe)
            .min()
            .map(|at| at.max(now + ROUND / 2))
    }

    fn class(&self, flow: &Flow) -> TrafficClass {
        let unknown = TrafficClass {
            latency_objective: 0,
            priority_weight: 0.0,
            idempotency: Idempotency::NonIdempotent,
        };
        self.classes.get(flow.class).copied().unwrap_or(unknown)
    }

    /// Not yet, while the latency objective may still be met and few wait; else never.
    fn hold(&mut self, now: Time, flow: &Flow) -> Placement {
        let waited = now.saturating_sub(flow.accepted_at);
        // Guards against a short-lived try that is looked at again only when its time has run out.
        let short = flow.deadline <= now + self.margin + LOOK_AGAIN.max(self.gather());
        if short || waited >= self.class(flow).latency_objective || self.crowded() {
            return self.reject_or_fail(now, flow);
        }
        self.held += 1;
        Placement::Wait
    }

    fn crowded(&self) -> bool {
        self.held as f64 >= QUEUE * self.window.width.max(1.0)
    }

    /// Holds a flow until these have told their load.
    fn ask(&mut self, now: Time, ask: &[ServerId]) -> Placement {
        for server_id in ask {
            let server = self.servers.get_mut(server_id).expect("a listed server");
            if server.asked + LOST < now {
                (server.asked, server.next_probe, self.next_probe) = (now, now, Some(now));
                self.pending = now + LOOK_AGAIN;
                self.long
                    .as_mut()
                    .into_iter()
                    .for_each(|long| long.probes.want(*server_id));
            }
        }
        self.held += 1;
        Placement::Wait
    }

    /// Whether a server's figure is too old to go by, and none was asked for in vain just now.
    fn stale(&self, now: Time, server: &Server, age: Time) -> bool {
        let told = server.reports.first().is_some_and(|(at, _)| now < at + age);
        self.sparse && !told && server.answered + FRESH <= now
    }

    /// What the others should know of this connection.
    fn tell(&mut self, now: Time, flow: FlowId, server_id: ServerId) -> Option<GroupPlacement> {
        let group = hash_name(
            self.book
                .own
                .get(&flow)?
                .group
                .as_ref()
                .filter(|_| self.may_gossip)?,
        ) as u16;
        let placement = GroupPlacement { group, server_id };
        if self.holders.fresh(now, placement) {
            return None;
        }
        let may_send = self.holders.may_send(now, self.balancers);
        if self.long.as_mut().is_none_or(|long| long.may_sweep(now)) {
            self.holders.sweep(now);
        }
        may_send
            .then(|| self.receive_gossip(now, placement))
            .map(|()| placement)
    }

    /// Whether the flow brings value for its load as ours do; a tenant over its share brings the surplus.
    fn worthy(&self, flow: &Flow) -> bool {
        let (mut load, mut value) = (0.0, 0.0);
        for (class, (count, sum)) in &self.book.told {
            load += sum;
            value += self
                .classes
                .get(*class)
                .map_or(0.0, |known| known.priority_weight * count);
        }
        let (count, sum) = self
            .book
            .told
            .get(&flow.class)
            .copied()
            .unwrap_or((0.0, 0.0));
        let held = self.book.by_tenant.get(&flow.tenant).copied().unwrap_or(0) as f64;
        let share = self.shares.get(flow.tenant).copied().unwrap_or(1.0);
        let over = held > OVER * share * self.book.own.len() as f64;
        let own = self.class(flow).priority_weight * if over { self.surplus } else { 1.0 };
        // Compared crosswise: no load told makes all alike.
        own * count * load >= value * sum
    }

    /// The answer for a flow that is given up: rejected where the client may safely come again, and told when.
    fn reject_or_fail(&mut self, now: Time, flow: &Flow) -> Placement {
        let may_have_run = flow.attempts.iter().any(|c| !c.known_unexecuted);
        // Guards against a client that is sent back when servers have forgotten what it asked for.
        let remembered = self
            .send_by(flow)
            .saturating_sub(now + self.margin + HELD_UP);
        match self.class(flow).idempotency {
            Idempotency::NonIdempotent if may_have_run => return Placement::Fail,
            Idempotency::Deduplicated { scope, .. }
                if may_have_run && scope != DeduplicationScope::All =>
            {
                return Placement::Fail;
            }
            Idempotency::Deduplicated { .. } if remembered == 0 => return Placement::Fail,
            _ => {}
        }
        // Spread, lest clients rejected together come again together; in a jam as late as settings allow.
        let retry_after = self.retry_after.map(|most| {
            let most = if self.window.width < self.window.calm {
                most
            } else {
                most.min(SEC)
            };
            let most = most.min(remembered);
            self.rng.0.generate_range(most / 8..=most)
        });
        Placement::Reject { retry_after }
    }

    /// Rules 2 and 3 for one server.
    fn may_send(&self, now: Time, flow: &Flow, server: &Server) -> bool {
        if server.endpoint.state != EndpointState::Ready {
            return false;
        }
        let mut ran = flow.attempts.iter().filter(|c| !c.known_unexecuted);
        match self.class(flow).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::Deduplicated { scope, .. } => {
                let first =
                    |c: &Attempt| self.servers.get(&c.server_id).map(|first| first.endpoint);
                let same = |c| {
                    scope == DeduplicationScope::All
                        || first(c).is_some_and(|l| scope.same(&l, &server.endpoint))
                };
                // The margin covers the way to the server.
                now + self.margin + HELD_UP < self.send_by(flow) && ran.all(same)
            }
        }
    }

    /// Until when an attempt may be sent: a deduplicated flow's while servers know all that may have run. Guards
    /// against a repeat that is placed in time and whose connection comes up late.
    fn send_by(&self, flow: &Flow) -> Time {
        let Idempotency::Deduplicated { window, .. } = self.class(flow).idempotency else {
            return Time::MAX;
        };
        let ran = flow.attempts.iter().filter(|c| !c.known_unexecuted);
        ran.map(|c| c.at.saturating_add(window))
            .min()
            .unwrap_or(Time::MAX)
    }

    /// Whether a server answers: not resting after failed attempts, nor silent to probes and flows alike.
    fn healthy(&self, now: Time, server: &Server) -> bool {
        let resting = server
            .failed
            .back()
            .is_some_and(|last| now < last + (REST << server.failed.len().min(4)));
        // A broken probe path alone tells nothing while flows are established.
        let silent = server.unprobed.len() >= 2 && server.last_connected < server.unprobed[0];
        !resting && !silent
    }

    /// The server's β while the figure is fresh enough.
    fn utilization(&self, now: Time, server: &Server) -> Option<f64> {
        let &(at, utilization) = server.reports.first()?;
        // Guards against reports that are stuck, which would shut a server, or all of them, for good: live
        // ones are noisy.
        let stuck =
            server.reports.is_full() && server.reports.iter().all(|(_, old)| *old == utilization);
        // Not by the next probe, which is put off for good while probes fail.
        let due = at + PROBE_BOUND.min(2 * self.every);
        (now < due + KEEP_FIGURE && (!stuck || utilization == 0.0)).then_some(utilization)
    }

    /// The share of its capacity that a server has at least.
    fn warmth(&self, now: Time, server: &Server) -> f64 {
        let (start, warm_up, _) = self.cold;
        let age = now.saturating_sub(server.endpoint.started);
        let warm = server.endpoint.started == 0 || age >= warm_up;
        if warm {
            1.0
        } else {
            start + (1.0 - start) * age as f64 / warm_up as f64
        }
    }

    /// For each kind of machine what a warm server takes of ours, in attempts a nanosecond: half of what warm ones
    /// lately established, not of what is sent, which would rise in a storm, or what fills one, as each of hundreds
    /// establishes too few. Where one refuses, the lower of both: guards against a jam, in which the few warm ones
    /// hold all that there is, or take and drop the same clients again and again, and all turn to cold ones.
    fn pace(&self, now: Time) -> BTreeMap<u64, f64> {
        let span = now
            .saturating_sub(self.began.unwrap_or(now))
            .clamp(SEC, RATE_SPAN);
        let mut kinds: BTreeMap<u64, (f64, f64, f64, bool)> = BTreeMap::new();
        let (mut sum, mut count) = (0.0, 0.0);
        let is_warm = |server: &Server| {
            server.endpoint.state == EndpointState::Ready && self.warmth(now, server) >= 1.0
        };
        for server in self.servers.values() {
            if is_warm(server) {
                let (warm, held, _, refuses) = kinds.entry(server.endpoint.machine).or_default();
                (*warm, *held) = (*warm + 1.0, *held + self.book.at(server.endpoint.server_id));
                *refuses |= server.refused.is_some_and(|at| now < at + span);
                (sum, count) = self
                    .utilization(now, server)
                    .map_or((sum, count), |b| (sum + b, count + 1.0));
            }
        }
        for (_, server_id) in self.settled.iter().filter(|(at, _)| at + span >= now) {
            let warm = self.servers.get(server_id).filter(|server| is_warm(server));
            warm.into_iter().for_each(|server| {
                kinds.entry(server.endpoint.machine).or_default().2 += 0.5 / span as f64
            });
        }
        let load = if count > 0.0 {
            (sum / count).clamp(0.25, 1.0)
        } else {
            1.0
        };
        let (out, time) = (
            self.book.in_flight.len() as f64,
            self.cold.1.max(SEC) as f64 / FILLS,
        );
        let each = |(warm, held, settled, refuses): (f64, f64, f64, bool)| {
            let fills = (held - out).max(0.0) / load / time;
            (if refuses {
                settled.min(fills)
            } else {
                settled.max(fills)
            }) / warm.max(1.0)
        };
        kinds
            .into_iter()
            .map(|(machine, kind)| (machine, each(kind)))
            .collect()
    }

    /// Connects that may still go to a cold server in this slot: on average what the pace gives, rounded up or down
    /// by a draw that stands for the slot. Nothing is saved up. Guards against hundreds that each saved one and
    /// spend it at once: the sum over all balancers is the sum of their paces, and chance, at any moment.
    fn cold_budget(&self, now: Time, server: &Server, pace: &BTreeMap<u64, f64>) -> u64 {
        let pace = pace.get(&server.endpoint.machine).copied().unwrap_or(0.0);
        let mean = self.cold.2 * self.warmth(now, server) * pace * SLOT as f64;
        let (slot, sent) = server.sent_as_cold(now);
        let chance = hash(server.phase ^ slot) as f64 / u64::MAX as f64;
        ((mean + chance) as u64).saturating_sub(sent)
    }

    /// The rotation: smooth weighted round robin over these servers.
    fn turn(&mut self, among: &[ServerId]) -> Option<ServerId> {
        let mut total = 0.0;
        for server_id in among {
            let server = self.servers.get_mut(server_id)?;
            let weight = usable_weight(server.endpoint.weight);
            server.turn += weight;
            total += weight;
        }
        let turn = |server_id: &ServerId| self.servers[server_id].turn;
        let first = among
            .iter()
            .copied()
            .reduce(|a, b| if turn(&b) > turn(&a) { b } else { a })?;
        self.servers.get_mut(&first)?.turn -= total;
        Some(first)
    }

    /// The next own connection to move off each server that drains, and how likely it goes now: evenly while
    /// a replacement warms up, if there is room. Guards against clients whose server goes without notice, and
    /// hundreds of balancers that move theirs at once. One that is gone keeps its: it was listed wrongly.
    fn drained(&self, now: Time) -> Vec<(FlowId, f64)> {
        let cool = |server: &Server| {
            self.utilization(now, server)
                .is_none_or(|utilization| utilization < NEW)
        };
        let mut looked_at = self.servers.values().take(self.whole_list);
        let room =
            looked_at.any(|server| server.endpoint.state == EndpointState::Ready && cool(server));
        let drains = self
            .draining
            .iter()
            .filter(|_| !self.they_move)
            .filter_map(|server_id| self.servers.get(server_id));
        let stays = |flow: &&FlowId| self.book.own[flow].connected && !self.book.own[flow].moved;
        let next = |server: &Server| {
            let mut held = self
                .book
                .by_server
                .get(&server.endpoint.server_id)?
                .iter()
                .filter(stays);
            let (flow, more) = (*held.next()?, held.count());
            let left = (server.drains + self.cold.1.max(2 * LEAVE))
                .saturating_sub(now)
                .max(LOOK_AGAIN);
            let due = room && now >= server.drains + LEAVE;
            Some((
                flow,
                if due {
                    (more + 1) as f64 * LOOK_AGAIN as f64 / left as f64
                } else {
                    0.0
                },
            ))
        };
        drains.filter_map(next).collect()
    }

    /// Own connections to move off a hot server.
    fn shed(&mut self, now: Time, server_id: ServerId) -> Vec<FlowId> {
        let server = &self.servers[&server_id];
        let Some(utilization) = self.utilization(now, server) else {
            return Vec::new();
        };
        // Reports lag: a figure that can't show the last moves yet must not cause a second shedding.
        if utilization <= T_H || server.shed.is_some_and(|at| now < at + SETTLE) {
            return Vec::new();
        }
        // Also when all are hot: `place` lets nobody in then, so this doesn't shuffle clients, it sheds
        // load, and those that stay are served. Guards against a fleet held at full load that serves no
        // message in time.
        let fraction = (utilization - T_H) / utilization;
        let flows = || self.book.by_server.get(&server_id).into_iter().flatten();
        let here = || {
            flows()
                .map(|id| (id, &self.book.own[id]))
                .filter(|(_, own)| own.connected)
        };
        let any_told = here().any(|(_, own)| own.load.is_some());
        let figure = |own: &OwnConnection| if any_told { own.load } else { own.estimate };
        let mut mine: Vec<(FlowId, Option<f64>)> =
            here().map(|(id, own)| (*id, figure(own))).collect();
        let told: Vec<f64> = mine.iter().filter_map(|m| m.1).collect();
        let usual = if told.is_empty() {
            1.0
        } else {
            told.iter().sum::<f64>() / told.len() as f64
        };
        let load = |m: &(FlowId, Option<f64>)| m.1.unwrap_or(usual);
        mine.sort_by(|a, b| load(b).total_cmp(&load(a)).then(a.0.cmp(&b.0)));
        let goal = fraction * mine.iter().map(load).sum::<f64>();
        let mut covered = 0.0;
        let mut moves = Vec::new();
        for m in &mine {
            // Guards against several balancers that each round up: together they would empty the server.
            // The one that goes past the goal is moved as often as it takes to meet the goal on average.
            if covered + self.rng.0.generate::<f64>() * load(m) >= goal {
                break;
            }
            covered += load(m);
            moves.push(m.0);
        }
        let server = self.servers.get_mut(&server_id).expect("a listed server");
        server.shed = if moves.is_empty() {
            server.shed
        } else {
            Some(now)
        };
        moves
    }
}

/// A server and its β now.
type Seen<'a> = (&'a Server, Option<f64>);

/// Those that pass, or all of them where none does.
fn prefer<'a>(mut of: Vec<Seen<'a>>, passes: impl Fn(&Server) -> bool) -> Vec<Seen<'a>> {
    if of.iter().any(|(server, _)| passes(server)) {
        of.retain(|(server, _)| passes(server));
    }
    of
}

fn keep(samples: &mut VecDeque<Time>, sample: Time) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(SAMPLES));
}
