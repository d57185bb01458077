//! The rules, and the result of checking a run against them.

use std::collections::BTreeMap;

use nettlemux_policy::Time;
use serde::Serialize;

/// The rules, serialized by their names in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: a flow was not answered by its deadline.
    Lost,
    /// Rule 1: a flow was answered a second time.
    AnsweredTwice,
    /// Rule 1: a flow was answered after its deadline.
    Late,
    /// Rule 1: an answer or an attempt for a flow that is closed.
    AfterTheEnd,
    /// Rule 1: the balancer closed a connection without notice to its client, while the server was
    /// still responding.
    Cut,
    /// Rule 2: a flow may have been executed twice.
    Twice,
    /// Rule 2: a flow had two attempts in flight.
    TwoInFlight,
    /// Rule 3: an attempt at a draining or removed server after the grace.
    Drain,
    /// Rule 4: a server in slow start got more attempts than it can handle.
    Cold,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When the violation was noticed, in nanoseconds since the start of the run.
    pub at: Time,
    /// What was observed.
    pub what: String,
}

/// The result of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// The number of violations of each rule.
    pub violations: BTreeMap<Rule, usize>,
    /// The first violations, with descriptions.
    pub examples: Vec<Violation>,
    /// The number of flows that balancers accepted.
    pub flows: usize,
    /// The number of attempts that servers received.
    pub attempts: usize,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn has_no_violations(&self) -> bool {
        self.violations.is_empty()
    }
}
