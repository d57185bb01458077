//! Slow start: how many attempts a warming server may get from this balancer.
//!
//! The budget of a slot is the ramp rate of the server's kind of machine times its present
//! fraction of capacity. Nothing is saved up: the sum over all balancers stays the sum of their
//! rates at any moment.

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use nettlemux_candidates::hash;

use crate::endpoints::{Server, SlowStartSlots};
use crate::fleet_view::FleetView;
use crate::types::{SEC, Time};

/// Span for which a budget is drawn: longer ones add up in a window, shorter ones meet few flows.
const SLOT: Time = SEC;
/// Slots' offsets are drawn from this range.
const SLOT_OFFSET_RANGE: Time = SEC << 20;
/// Times that a server may be filled over its warm-up.
const FILLS_PER_WARM_UP: f64 = 4.0;
/// Ramp rates of a long list are worked out once in this interval.
const RAMP_RATE_INTERVAL: Time = SEC;
/// Bounds of the mean utilization by which held connections are scaled to what fills a server.
const FILLED_UTILIZATION_MIN: f64 = 0.25;
const FILLED_UTILIZATION_MAX: f64 = 1.0;
/// Part of the rate at which warm servers connected that a warming one may get.
const CONNECT_RATE_FRACTION: f64 = 0.5;

/// For each kind of machine what a warm server takes, in attempts for each nanosecond.
pub(crate) type RampRates = BTreeMap<u64, f64>;

/// How a server warms up, and what it can't stand meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Fraction of its capacity that a server has when it starts.
    pub initial_capacity_fraction: f64,
    /// Time in nanoseconds until it has all of it.
    pub warm_up: Time,
    /// Multiple of its present capacity at which it falls.
    pub overload_multiple: f64,
    /// Window in nanoseconds over which that multiple is counted.
    pub overload_window: Time,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        SlowStartConfig {
            initial_capacity_fraction: 0.1,
            warm_up: 30 * SEC,
            overload_multiple: 2.0,
            overload_window: SLOT,
        }
    }
}

/// Warm servers of one kind of machine.
#[derive(Default)]
struct WarmServers {
    count: f64,
    own_connections: f64,
    /// Own attempts that connected, weighted, for each nanosecond.
    connect_rate: f64,
    /// Whether one of them refused an attempt lately.
    is_refusing: bool,
}

/// Budgets attempts to warming servers.
pub(crate) struct SlowStart {
    config: SlowStartConfig,
    /// Multiple of the ramp rate that a server may get in a slot.
    budget_multiple: f64,
    /// When the last of the servers is warm.
    all_warm_at: Time,
    ramp_rates: RampRates,
    ramp_rates_at: Time,
}

impl SlowStart {
    pub(crate) fn new(config: SlowStartConfig) -> Self {
        let window = config.overload_window;
        SlowStart {
            budget_multiple: config.overload_multiple * window as f64 / (window + SLOT) as f64,
            config,
            all_warm_at: 0,
            ramp_rates: RampRates::new(),
            ramp_rates_at: 0,
        }
    }

    /// Keeps what was known under other settings.
    pub(crate) fn continue_from(&mut self, old: &SlowStart) {
        self.all_warm_at = old.all_warm_at;
    }

    /// Notes when a server started; 0 is long ago.
    pub(crate) fn record_start(&mut self, started: Time) {
        if started > 0 {
            self.all_warm_at = self.all_warm_at.max(started + self.config.warm_up);
        }
    }

    /// The fraction of its capacity that a server has at least.
    pub(crate) fn capacity_fraction(&self, now: Time, server: &Server) -> f64 {
        let SlowStartConfig {
            initial_capacity_fraction: initial,
            warm_up,
            ..
        } = self.config;
        let age = now.saturating_sub(server.endpoint.started);
        if server.endpoint.started == 0 || age >= warm_up {
            1.0
        } else {
            initial + (1.0 - initial) * age as f64 / warm_up as f64
        }
    }

    /// Whether the server has warmed up.
    pub(crate) fn is_warm(&self, now: Time, server: &Server) -> bool {
        self.capacity_fraction(now, server) >= 1.0
    }

    /// Whether the server is warm, or may still get an attempt in this slot.
    pub(crate) fn admits(&self, now: Time, server: &Server) -> bool {
        self.is_warm(now, server) || self.attempts_left(now, server) > 0
    }

    /// Attempts that may still go to a warming server in this slot: on average what the ramp rate
    /// gives, rounded up or down by a draw that stands for the slot. Guards against hundreds of
    /// balancers that each saved one attempt and spend it at once.
    fn attempts_left(&self, now: Time, server: &Server) -> u64 {
        let machine = server.endpoint.machine;
        let rate = self.ramp_rates.get(&machine).copied().unwrap_or(0.0);
        let capacity_fraction = self.capacity_fraction(now, server);
        let mean = self.budget_multiple * capacity_fraction * rate * SLOT as f64;
        let slots = &server.slow_start;
        let slot = current_slot(slots, now);
        let draw = hash(slots.offset ^ slot) as f64 / u64::MAX as f64;
        ((mean + draw) as u64).saturating_sub(attempts_in(slots, slot))
    }

    /// Returns the ramp rates of this moment, where they are due: on a long list only once in an
    /// interval, as they take a walk over all servers.
    pub(crate) fn due_ramp_rates(&self, view: &FleetView) -> Option<RampRates> {
        if view.endpoints.is_long() && view.now < self.ramp_rates_at + RAMP_RATE_INTERVAL {
            None
        } else if view.now < self.all_warm_at {
            Some(self.ramp_rates(view))
        } else {
            Some(RampRates::new())
        }
    }

    /// Budgets by these ramp rates from now on.
    pub(crate) fn set_ramp_rates(&mut self, now: Time, ramp_rates: RampRates) {
        self.ramp_rates_at = now;
        self.ramp_rates = ramp_rates;
    }

    /// For each kind of machine what a warm server takes: half of what connected lately, or what
    /// fills a server over its warm-up, as each of hundreds of balancers connects too few. What is
    /// sent doesn't count: it would rise in a storm. Where one refuses, the lower of both counts:
    /// guards against a jam in which the few warm servers take and drop the same clients again and
    /// again, and all turn to the warming ones.
    fn ramp_rates(&self, view: &FleetView) -> RampRates {
        let (mut machines, utilization) = self.warm_servers(view);
        self.add_connect_rates(&mut machines, view);
        let in_flight = view.connections.in_flight.len() as f64;
        let rate = |(machine, warm): (u64, WarmServers)| {
            (machine, self.ramp_rate(&warm, in_flight, utilization))
        };
        machines.into_iter().map(rate).collect()
    }

    /// The warm servers of each kind of machine, and the mean utilization of them all.
    fn warm_servers(&self, view: &FleetView) -> (BTreeMap<u64, WarmServers>, f64) {
        let span = view.recent_connections.counted_span(view.now);
        let mut machines: BTreeMap<u64, WarmServers> = BTreeMap::new();
        let (mut sum, mut reports) = (0.0, 0.0);
        for server in view.endpoints.servers.values() {
            if !self.is_ready_and_warm(view.now, server) {
                continue;
            }
            let warm = machines.entry(server.endpoint.machine).or_default();
            warm.count += 1.0;
            warm.own_connections += view.own_connections(server);
            warm.is_refusing |= server.overloaded_at.is_some_and(|at| view.now < at + span);
            if let Some(utilization) = view.utilization(server) {
                sum += utilization;
                reports += 1.0;
            }
        }
        let utilization = if reports > 0.0 {
            (sum / reports).clamp(FILLED_UTILIZATION_MIN, FILLED_UTILIZATION_MAX)
        } else {
            FILLED_UTILIZATION_MAX
        };
        (machines, utilization)
    }

    /// Adds the rate at which attempts connected lately to these servers.
    fn add_connect_rates(&self, machines: &mut BTreeMap<u64, WarmServers>, view: &FleetView) {
        let span = view.recent_connections.counted_span(view.now);
        for server_id in view.recent_connections.servers_within(view.now, span) {
            let server = view.endpoints.servers.get(&server_id);
            if let Some(server) = server.filter(|server| self.is_ready_and_warm(view.now, server)) {
                let warm = machines.entry(server.endpoint.machine).or_default();
                warm.connect_rate += CONNECT_RATE_FRACTION / span as f64;
            }
        }
    }

    fn is_ready_and_warm(&self, now: Time, server: &Server) -> bool {
        server.is_ready() && self.is_warm(now, server)
    }

    /// What one of these warm servers takes, in attempts for each nanosecond.
    fn ramp_rate(&self, warm: &WarmServers, in_flight: f64, utilization: f64) -> f64 {
        let fill_time = self.config.warm_up.max(SEC) as f64 / FILLS_PER_WARM_UP;
        let fill_rate = (warm.own_connections - in_flight).max(0.0) / utilization / fill_time;
        let rate = if warm.is_refusing {
            warm.connect_rate.min(fill_rate)
        } else {
            warm.connect_rate.max(fill_rate)
        };
        rate / warm.count.max(1.0)
    }
}

/// Draws where a server's slots begin: balancers don't agree on who goes first.
pub(crate) fn initial_slots(rng: &mut WyRand) -> SlowStartSlots {
    SlowStartSlots {
        offset: rng.generate_range(0..SLOT_OFFSET_RANGE),
        ..SlowStartSlots::default()
    }
}

/// Counts an attempt in the slot of this moment.
pub(crate) fn record_attempt(slots: &mut SlowStartSlots, now: Time) {
    let slot = current_slot(slots, now);
    slots.attempts = attempts_in(slots, slot) + 1;
    slots.last_slot = slot;
}

fn current_slot(slots: &SlowStartSlots, now: Time) -> u64 {
    (now + slots.offset) / SLOT
}

fn attempts_in(slots: &SlowStartSlots, slot: u64) -> u64 {
    if slots.last_slot == slot {
        slots.attempts
    } else {
        0
    }
}
