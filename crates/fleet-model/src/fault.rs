//! Faults as data. Faults may overlap: each acts through the model's state and takes back only its
//! own part of it. It owns the choice of a fault's targets, which is drawn from the seed.

use nettlemux_policy::Time;
use serde::{Deserialize, Serialize};

use crate::rng::Rng;
use crate::time::seconds;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers' processes die: connections are reset, connections refused; they come back cold.
    Crash,
    /// Servers' machines go silent: nothing is reset, nothing answered; they come back cold.
    Vanish,
    /// Servers have only `amount` of their capacity.
    Slow,
    /// Servers lose capacity step by step down to `amount`, and then it is back.
    Decay,
    /// A neighbour takes `amount` of servers' capacity, on and off every two seconds.
    Neighbour,
    /// Servers' reports stay as they are.
    StuckReports,
    /// Servers report `amount` whatever they carry.
    AbsurdReports,
    /// Servers answer attempts at once with an error.
    FastErrors,
    /// Probes of servers fail; all else works.
    ProbesFail,
    /// A zone (key `zone`) can't be reached from other zones, nor reach them.
    #[serde(alias = "hall-cut")]
    ZoneCut,
    /// The same, on and off every `amount` seconds.
    #[serde(alias = "hall-flaps")]
    ZoneFlaps,
    /// The store serves only `amount` of its calls.
    StoreSlow,
    /// Discovery tells nothing.
    ListSilent,
    /// Discovery tells `amount` seconds later than usual.
    ListLate,
    /// Discovery lists servers that are well as gone.
    ListWrong,
    /// Further servers (`share` of the fleet) join, cold.
    Grow,
    /// Servers drain and leave; `amount` seconds pass from the drain to the end.
    Shrink,
    /// Servers are replaced in turn: each drains, leaves and comes back cold within the fault's
    /// time.
    Roll,
    /// Balancers are restarted in turn within the fault's time, `amount` seconds away each, asked
    /// to end first.
    RestartInTurn,
    /// Balancers die at once and are away for the fault's time.
    BalancersDie,
    /// New clients come at `amount` times their rate.
    Surge,
    /// One tenant's clients come at `amount` times their rate beside the others.
    #[serde(alias = "customer-surge")]
    TenantSurge,
}

/// How a draining server treats the connections that it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainBehavior {
    /// Keeps them until it goes, and then cuts off what is left.
    #[default]
    #[serde(alias = "keeps")]
    KeepsConnections,
    /// Sends them away bit by bit.
    #[serde(alias = "bit-by-bit")]
    MigratesGradually,
    /// Sends them all away a second after the drain began.
    #[serde(alias = "all-at-once")]
    MigratesAtOnce,
}

/// A fault: what goes wrong, when, for how long, on what, and how badly.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub what: FaultKind,
    /// The time at which it begins, in seconds from the start.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(default = "default_duration", rename = "for")]
    pub lasts: f64,
    /// The fraction of the servers or balancers that it acts on; 0: all.
    #[serde(default)]
    pub share: f64,
    /// The servers or balancers that it acts on, by index, in place of a fraction.
    #[serde(default)]
    pub who: Vec<usize>,
    /// The zone that it acts on.
    #[serde(default, alias = "hall")]
    pub zone: usize,
    /// How badly it acts; what it means depends on the kind.
    #[serde(default)]
    pub amount: f64,
    /// How draining servers treat their connections.
    #[serde(default, alias = "leaving")]
    pub drain_behavior: DrainBehavior,
}

fn default_duration() -> f64 {
    10.0
}

impl FaultKind {
    /// Whether the fault acts on balancers, not on servers.
    pub(crate) fn concerns_balancers(self) -> bool {
        matches!(self, FaultKind::RestartInTurn | FaultKind::BalancersDie)
    }

    /// Whether the fault does nothing without an amount.
    pub(crate) fn needs_amount(self) -> bool {
        matches!(
            self,
            FaultKind::Slow
                | FaultKind::Neighbour
                | FaultKind::ZoneFlaps
                | FaultKind::StoreSlow
                | FaultKind::Surge
                | FaultKind::TenantSurge
        )
    }
}

impl Fault {
    /// Returns when the fault begins, in nanoseconds from the start of the run.
    pub fn begins(&self) -> Time {
        seconds(self.at)
    }

    /// Returns when the fault ends, in nanoseconds from the start of the run.
    pub fn ends(&self) -> Time {
        seconds(self.at + self.lasts)
    }

    /// Returns the servers or balancers that the fault acts on, out of `of`, in the order in which
    /// it does.
    pub fn targets(&self, of: usize, rng: &mut Rng) -> Vec<usize> {
        if !self.who.is_empty() {
            return self.who.clone();
        }
        let count = if self.share > 0.0 {
            ((of as f64 * self.share).round() as usize).max(1)
        } else {
            of
        };
        let mut all: Vec<usize> = (0..of).collect();
        for i in 0..count.min(of) {
            let other = i + rng.index_below(of - i);
            all.swap(i, other);
        }
        all.truncate(count);
        all
    }
}
