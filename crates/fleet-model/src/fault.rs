//! What goes wrong, as data: kinds, when, for how long, whom, and how badly. Faults may overlap: each acts through the world's
//! state and takes back only its own part of it. It owns the choice of whom a fault meets, which is drawn from the seed.

use nettlemux_policy::Time;
use serde::{Deserialize, Serialize};

use crate::rng::Rng;
use crate::scenario::{Scenario, seconds};

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
    /// Servers are replaced in turn: each drains, leaves and comes back cold within the fault's time.
    Roll,
    /// Balancers are restarted in turn within the fault's time, `amount` seconds away each, asked to end first.
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

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub what: FaultKind,
    /// Seconds from the start.
    pub at: f64,
    /// Seconds that it lasts.
    #[serde(default = "ten", rename = "for")]
    pub lasts: f64,
    /// Part of the servers, or balancers, that it meets.
    #[serde(default)]
    pub share: f64,
    /// Those that it meets, by number, in place of a share.
    #[serde(default)]
    pub who: Vec<usize>,
    #[serde(default, alias = "hall")]
    pub zone: usize,
    #[serde(default)]
    pub amount: f64,
    #[serde(default, alias = "leaving")]
    pub drain_behavior: DrainBehavior,
}

fn ten() -> f64 {
    10.0
}

impl Fault {
    pub fn check(&self, scenario: &Scenario) -> Result<(), (String, String)> {
        let bad = |key: &str, why: String| Err((key.to_string(), why));
        for (key, value) in [
            ("at", self.at),
            ("for", self.lasts),
            ("share", self.share),
            ("amount", self.amount),
        ] {
            if !value.is_finite() || value < 0.0 {
                return bad(key, format!("{value} is under 0"));
            }
        }
        if self.at >= scenario.seconds {
            return bad("at", format!("{} is past the run's end", self.at));
        }
        if self.share > 1.0 && self.what != FaultKind::Grow {
            return bad("share", format!("{} is over 1", self.share));
        }
        if self.zone >= scenario.zones.number {
            return bad("zone", format!("there are {} zones", scenario.zones.number));
        }
        let number = match self.of_balancers() {
            true => scenario.balancers.number,
            false => scenario.fleet.servers,
        };
        if let Some(who) = self.who.iter().find(|who| **who >= number) {
            return bad("who", format!("there is no number {who}"));
        }
        let needs_amount = [
            FaultKind::Slow,
            FaultKind::Neighbour,
            FaultKind::ZoneFlaps,
            FaultKind::StoreSlow,
            FaultKind::Surge,
            FaultKind::TenantSurge,
        ];
        if needs_amount.contains(&self.what) && self.amount <= 0.0 {
            return bad("amount", "this kind of fault needs one above 0".into());
        }
        if self.what == FaultKind::TenantSurge && scenario.clients.tenants.is_empty() {
            return bad("what", "there are no tenants".into());
        }
        Ok(())
    }

    fn of_balancers(&self) -> bool {
        matches!(
            self.what,
            FaultKind::RestartInTurn | FaultKind::BalancersDie
        )
    }

    pub fn begins(&self) -> Time {
        seconds(self.at)
    }

    pub fn ends(&self) -> Time {
        seconds(self.at + self.lasts)
    }

    /// Whom it meets, of so many, in the order in which it does.
    pub fn meets(&self, of: usize, rng: &mut Rng) -> Vec<usize> {
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
