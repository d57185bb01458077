//! The rules, and the verdict on a run.

use std::collections::BTreeMap;

use nettlemux_policy::Time;
use serde::Serialize;

/// The rules, by the names that reports have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: a flow without an answer by its deadline.
    Lost,
    /// Rule 1: a second answer.
    AnsweredTwice,
    /// Rule 1: an answer after the deadline.
    Late,
    /// Rule 1: an answer or an attempt for a flow that is closed.
    AfterTheEnd,
    /// Rule 1: a connection ended by the balancer, unannounced, while its server still answered.
    Cut,
    /// Rule 2: an effect that may come twice.
    Twice,
    /// Rule 2: two attempts in flight.
    TwoInFlight,
    /// Rule 3: an attempt at a draining or removed server after the grace.
    Drain,
    /// Rule 4: more attempts than a server in slow start can bear.
    Cold,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was noticed, in nanoseconds from the start of the run.
    pub at: Time,
    /// What was observed.
    pub what: String,
}

/// The result of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// How often each rule was violated.
    pub violations: BTreeMap<Rule, usize>,
    /// The first violations.
    pub examples: Vec<Violation>,
    /// How many flows balancers have accepted.
    pub flows: usize,
    /// How many attempts servers have got.
    pub attempts: usize,
}

impl Verdict {
    /// Whether all rules were kept.
    pub fn kept(&self) -> bool {
        self.violations.is_empty()
    }
}
