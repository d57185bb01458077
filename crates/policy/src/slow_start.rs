//! Slow start: how many attempts this balancer may send to a server that is warming up.
//!
//! The budget of a time slot is the ramp rate of the server's kind of machine times the fraction of
//! its capacity that the server has at that moment. Unused budget is not carried over, so at any
//! moment all balancers together send at most the sum of their rates.

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use nettlemux_candidates::hash;

use crate::endpoints::{Server, SlowStartSlots};
use crate::fleet_view::FleetView;
use crate::types::{SEC, Time};

/// Length of the slots that have a budget each. The budgets of longer slots would add up within the
/// overload window; shorter slots would see few flows.
const BUDGET_SLOT: Time = SEC;
/// Range from which the offset of a server's slots is drawn.
const SLOT_OFFSET_RANGE: Time = SEC << 20;
/// Number of times that a server may be filled during its warm-up.
const FILLS_PER_WARM_UP: f64 = 4.0;
/// Interval between two computations of the ramp rates on a long list.
const RAMP_RATE_INTERVAL: Time = SEC;
/// Bounds of the mean utilization that scales the connections held to the number that fills a
/// server.
const FILLED_UTILIZATION_MIN: f64 = 0.25;
const FILLED_UTILIZATION_MAX: f64 = 1.0;
/// Fraction of the rate at which warm servers accept connections that a server may get while it
/// warms up.
const CONNECT_RATE_FRACTION: f64 = 0.5;

/// Ramp rates by kind of machine: attempts per nanosecond that one warm server accepts.
pub(crate) type RampRates = BTreeMap<u64, f64>;

/// How servers warm up, and which load makes a server fail meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartConfig {
    /// Fraction of its full capacity that a server has when it starts.
    pub initial_capacity_fraction: f64,
    /// Time in nanoseconds from the start of a server until it has its full capacity.
    pub warm_up: Time,
    /// Load, as a multiple of its present capacity, at which a warming-up server fails.
    pub overload_multiple: f64,
    /// Window in nanoseconds over which this load is counted.
    pub overload_window: Time,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        SlowStartConfig {
            initial_capacity_fraction: 0.1,
            warm_up: 30 * SEC,
            overload_multiple: 2.0,
            overload_window: BUDGET_SLOT,
        }
    }
}

/// Totals of the warm servers of one kind of machine.
#[derive(Default)]
struct WarmServers {
    count: f64,
    own_connections: f64,
    /// Own attempts that connected, in attempts per nanosecond, times [`CONNECT_RATE_FRACTION`].
    connect_rate: f64,
    /// Whether one of these servers refused an attempt recently.
    is_refusing: bool,
}

/// Limits the attempts to servers that are warming up.
pub(crate) struct SlowStart {
    config: SlowStartConfig,
    /// Multiple of the ramp rate that a server with full capacity may get in a slot.
    budget_multiple: f64,
    /// When the server that started last did so; 0 means long ago.
    last_start: Time,
    ramp_rates: RampRates,
    ramp_rates_at: Time,
}

impl SlowStart {
    pub(crate) fn new(config: SlowStartConfig) -> Self {
        let window = config.overload_window;
        SlowStart {
            budget_multiple: config.overload_multiple * window as f64
                / (window + BUDGET_SLOT) as f64,
            config,
            last_start: 0,
            ramp_rates: RampRates::new(),
            ramp_rates_at: 0,
        }
    }

    /// Takes over the state of the policy that had the previous settings.
    pub(crate) fn take_state_from(&mut self, old: &SlowStart) {
        self.last_start = old.last_start;
    }

    /// Records when a server started; 0 means long ago.
    pub(crate) fn record_start(&mut self, started: Time) {
        self.last_start = self.last_start.max(started);
    }

    /// Returns the fraction of its full capacity that the server has at least.
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

    /// Whether all listed servers have warmed up.
    fn is_all_warm(&self, now: Time) -> bool {
        self.last_start == 0 || now >= self.last_start + self.config.warm_up
    }

    /// Whether the server has warmed up.
    pub(crate) fn is_warm(&self, now: Time, server: &Server) -> bool {
        self.capacity_fraction(now, server) >= 1.0
    }

    /// Whether the server is warm, or may get a further attempt in the current slot.
    pub(crate) fn admits(&self, now: Time, server: &Server) -> bool {
        self.is_warm(now, server) || self.attempts_left(now, server) > 0
    }

    /// Returns how many further attempts the server may get in the current slot. The budget follows
    /// the ramp rate on average: it is rounded up or down by a pseudo-random value that is fixed
    /// for the slot. Guards against hundreds of balancers that each save up one attempt and send it
    /// at the same moment.
    fn attempts_left(&self, now: Time, server: &Server) -> u64 {
        let machine = server.endpoint.machine;
        let rate = self.ramp_rates.get(&machine).copied().unwrap_or(0.0);
        let capacity_fraction = self.capacity_fraction(now, server);
        let mean = self.budget_multiple * capacity_fraction * rate * BUDGET_SLOT as f64;
        let slots = &server.slow_start;
        let slot = current_slot(slots, now);
        let draw = hash(slots.offset ^ slot) as f64 / u64::MAX as f64;
        ((mean + draw) as u64).saturating_sub(attempts_in(slots, slot))
    }

    /// Returns new ramp rates if they are due. On a long list they are due only once in
    /// [`RAMP_RATE_INTERVAL`], because computing them walks all servers.
    pub(crate) fn due_ramp_rates(&self, view: &FleetView) -> Option<RampRates> {
        if view.endpoints.is_long() && view.now < self.ramp_rates_at + RAMP_RATE_INTERVAL {
            None
        } else if !self.is_all_warm(view.now) {
            Some(self.ramp_rates(view))
        } else {
            Some(RampRates::new())
        }
    }

    /// Sets the ramp rates that apply from now on.
    pub(crate) fn set_ramp_rates(&mut self, now: Time, ramp_rates: RampRates) {
        self.ramp_rates_at = now;
        self.ramp_rates = ramp_rates;
    }

    /// Computes the ramp rate of each kind of machine: the higher of the connect rate (half the
    /// rate at which attempts connected recently) and the fill rate (fills a server
    /// [`FILLS_PER_WARM_UP`] times during its warm-up). The fill rate is needed because each of
    /// hundreds of balancers establishes too few connections. Attempts that were only sent do not
    /// count, because their number rises in a storm.
    ///
    /// If a warm server refuses attempts, the lower of the two rates applies. Guards against a jam
    /// in which the few warm servers repeatedly accept and drop the same clients, and all of these
    /// turn to the servers that are warming up.
    fn ramp_rates(&self, view: &FleetView) -> RampRates {
        let (mut machines, utilization) = self.warm_servers(view);
        self.add_connect_rates(&mut machines, view);
        let in_flight = view.connections.in_flight.len() as f64;
        let rate = |(machine, warm): (u64, WarmServers)| {
            (machine, self.ramp_rate(&warm, in_flight, utilization))
        };
        machines.into_iter().map(rate).collect()
    }

    /// Returns the totals of the warm servers of each kind of machine, and the mean utilization of
    /// all warm servers.
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

    /// Adds the rate at which attempts connected recently to these servers.
    fn add_connect_rates(&self, machines: &mut BTreeMap<u64, WarmServers>, view: &FleetView) {
        let span = view.recent_connections.counted_span(view.now);
        for (server_id, count) in view.recent_connections.by_server() {
            let server = view.endpoints.servers.get(&server_id);
            if let Some(server) = server.filter(|server| self.is_ready_and_warm(view.now, server)) {
                let warm = machines.entry(server.endpoint.machine).or_default();
                warm.connect_rate += count as f64 * CONNECT_RATE_FRACTION / span as f64;
            }
        }
    }

    fn is_ready_and_warm(&self, now: Time, server: &Server) -> bool {
        server.is_ready() && self.is_warm(now, server)
    }

    /// Returns the attempts per nanosecond that one of these warm servers accepts.
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

/// Draws the offset of a server's slots, so that balancers do not send their first attempts at the
/// same time.
pub(crate) fn initial_slots(rng: &mut WyRand) -> SlowStartSlots {
    SlowStartSlots {
        offset: rng.generate_range(0..SLOT_OFFSET_RANGE),
        ..SlowStartSlots::default()
    }
}

/// Counts an attempt in the current slot.
pub(crate) fn record_attempt(slots: &mut SlowStartSlots, now: Time) {
    let slot = current_slot(slots, now);
    slots.attempts = attempts_in(slots, slot) + 1;
    slots.last_slot = slot;
}

fn current_slot(slots: &SlowStartSlots, now: Time) -> u64 {
    (now + slots.offset) / BUDGET_SLOT
}

fn attempts_in(slots: &SlowStartSlots, slot: u64) -> u64 {
    if slots.last_slot == slot {
        slots.attempts
    } else {
        0
    }
}
