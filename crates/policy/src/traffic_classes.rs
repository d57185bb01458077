//! The deployment's traffic classes, by their index.

use crate::types::{Flow, Idempotency, TrafficClass};

/// What is assumed of a class that isn't known: nothing is owed to it, and nothing is repeated.
const UNKNOWN_CLASS: TrafficClass = TrafficClass {
    latency_objective: 0,
    priority_weight: 0.0,
    idempotency: Idempotency::NonIdempotent,
};

/// The traffic classes that flows name by index.
pub(crate) struct TrafficClasses {
    classes: Vec<TrafficClass>,
}

impl TrafficClasses {
    pub(crate) fn new(classes: Vec<TrafficClass>) -> Self {
        TrafficClasses { classes }
    }

    /// The class of this flow.
    pub(crate) fn of(&self, flow: &Flow) -> TrafficClass {
        self.get(flow.class)
    }

    /// The class with this index.
    pub(crate) fn get(&self, class: usize) -> TrafficClass {
        self.classes.get(class).copied().unwrap_or(UNKNOWN_CLASS)
    }
}
