//! The deployment's traffic classes, by their index.

use crate::types::{Flow, Idempotency, TrafficClass};

/// Assumed for an unknown class: it has no latency objective and no priority, and its attempts are
/// not repeated.
const UNKNOWN_CLASS: TrafficClass = TrafficClass {
    latency_objective: 0,
    priority_weight: 0.0,
    idempotency: Idempotency::NonIdempotent,
};

/// The traffic classes that flows refer to by index.
pub(crate) struct TrafficClasses {
    classes: Vec<TrafficClass>,
}

impl TrafficClasses {
    pub(crate) fn new(classes: Vec<TrafficClass>) -> Self {
        TrafficClasses { classes }
    }

    /// Returns the class of this flow.
    pub(crate) fn of(&self, flow: &Flow) -> TrafficClass {
        self.get(flow.class)
    }

    /// Returns the class with this index, or [`UNKNOWN_CLASS`].
    pub(crate) fn get(&self, class: usize) -> TrafficClass {
        self.classes.get(class).copied().unwrap_or(UNKNOWN_CLASS)
    }
}
