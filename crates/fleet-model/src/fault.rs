//! Faults as data, and the choice of their targets, which is drawn from the seed. Faults may overlap:
//! each acts on the model's state, and its end reverts only its own effect.

use nettlemux_policy::Time;
use serde::{Deserialize, Serialize};

use crate::rng::Rng;
use crate::time::seconds;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers' processes die: their connections are reset and new ones are refused. At the end they
    /// restart and are in slow start.
    Crash,
    /// Servers' machines stop responding: nothing is reset and nothing is answered. At the end the
    /// servers restart and are in slow start.
    Vanish,
    /// Servers have only the fraction `amount` of their capacity.
    Slow,
    /// Servers lose capacity step by step down to the fraction `amount`, and regain it at the end.
    Decay,
    /// A noisy neighbour takes the fraction `amount` of servers' capacity, on and off every two
    /// seconds.
    Neighbour,
    /// Servers' load reports are no longer renewed.
    StuckReports,
    /// Servers report the utilization `amount` whatever their load.
    AbsurdReports,
    /// Servers answer attempts immediately with an error.
    FastErrors,
    /// Health checks of servers fail; everything else works.
    ProbesFail,
    /// A zone (key `zone`) is partitioned: no messages pass between it and other zones.
    #[serde(alias = "hall-cut")]
    ZoneCut,
    /// A zone (key `zone`) is partitioned on and off every `amount` seconds.
    #[serde(alias = "hall-flaps")]
    ZoneFlaps,
    /// The store serves only the fraction `amount` of its rate.
    StoreSlow,
    /// Discovery does not answer.
    ListSilent,
    /// Discovery delivers changes `amount` seconds later than usual.
    ListLate,
    /// Discovery lists healthy servers as removed.
    ListWrong,
    /// Further servers (the fraction `share` of the fleet) join, and are in slow start.
    Grow,
    /// Servers drain and then stop, `amount` seconds after the start of the drain.
    Shrink,
    /// Servers are restarted one after another, spread over the fault's duration: each drains, stops
    /// and restarts in slow start.
    Roll,
    /// Balancers are restarted one after another within the fault's duration, each by a graceful
    /// shutdown. Each is down for `amount` seconds.
    RestartInTurn,
    /// Balancers are killed at the same time, and are down for the fault's duration.
    BalancersDie,
    /// New clients arrive at `amount` times the usual rate.
    Surge,
    /// The clients of the first tenant arrive at `amount` times their usual rate, beside those of the
    /// other tenants.
    #[serde(alias = "customer-surge")]
    TenantSurge,
}

/// How a draining server treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainBehavior {
    /// Keeps its connections until it stops, and then resets those that remain.
    #[default]
    #[serde(alias = "keeps")]
    KeepsConnections,
    /// Tells its clients to migrate in steps, a part of them in each.
    #[serde(alias = "bit-by-bit")]
    MigratesGradually,
    /// Tells all its clients to migrate, a second after the start of the drain.
    #[serde(alias = "all-at-once")]
    MigratesAtOnce,
}

/// A fault of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it starts, in seconds from the start of the run.
    pub at: f64,
    /// How long it lasts, in seconds.
    #[serde(default = "default_duration", rename = "for")]
    pub duration: f64,
    /// The fraction of the servers or balancers that it acts on; 0 stands for all of them.
    #[serde(default)]
    pub share: f64,
    /// The servers or balancers that it acts on, by index. If not empty, it replaces `share`.
    #[serde(default, rename = "who")]
    pub target_indices: Vec<usize>,
    /// The zone that it acts on.
    #[serde(default, alias = "hall")]
    pub zone: usize,
    /// The intensity of the fault. Its meaning and unit depend on the kind.
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
    pub(crate) fn acts_on_balancers(self) -> bool {
        matches!(self, FaultKind::RestartInTurn | FaultKind::BalancersDie)
    }

    /// Whether the fault needs an `amount` above 0.
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
    /// Returns when the fault starts, in nanoseconds from the start of the run.
    pub fn start(&self) -> Time {
        seconds(self.at)
    }

    /// Returns when the fault ends, in nanoseconds from the start of the run.
    pub fn end(&self) -> Time {
        seconds(self.at + self.duration)
    }

    /// Returns the indices of the servers or balancers that the fault acts on, in the order in which
    /// it acts on them. `total` is the number of existing servers or balancers.
    pub fn targets(&self, total: usize, rng: &mut Rng) -> Vec<usize> {
        if !self.target_indices.is_empty() {
            return self.target_indices.clone();
        }
        let count = if self.share > 0.0 {
            ((total as f64 * self.share).round() as usize).max(1)
        } else {
            total
        };
        let mut indices: Vec<usize> = (0..total).collect();
        for i in 0..count.min(total) {
            let other = i + rng.index_below(total - i);
            indices.swap(i, other);
        }
        indices.truncate(count);
        indices
    }
}
