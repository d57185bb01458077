//! What the fleet has scheduled, in order of time and, at the same time, of scheduling.

use std::collections::BTreeMap;

use nettlemux_policy::Time;

use crate::fault::DrainBehavior;

/// Something to do at a scheduled time. Faults and servers are named by their index.
#[derive(Clone, Debug)]
pub(super) enum Task {
    BeginFault {
        fault: usize,
    },
    EndFault {
        fault: usize,
    },
    /// A server begins to drain, and leaves at a later time.
    Drain {
        server: usize,
        drain_behavior: DrainBehavior,
        until: Time,
    },
    /// A draining server sends away part of its connections, so that all are gone after the steps
    /// that are left.
    SendAway {
        server: usize,
        steps_left: u64,
    },
    /// A drained server ends.
    Leave {
        server: usize,
    },
    /// A server starts again.
    Start {
        server: usize,
    },
    /// Discovery notices a server's death.
    ListDeath {
        server: usize,
    },
    /// A decaying server loses another part of its capacity.
    Decay {
        fault: usize,
        step: u64,
    },
    /// A neighbour begins or stops to take capacity.
    Neighbour {
        fault: usize,
        present: bool,
    },
    /// A zone is cut off, or reachable again, for a while.
    FlapZone {
        fault: usize,
        cut: bool,
    },
    /// The list gets new weights.
    RefreshWeights,
}

/// The tasks that are still to be done.
#[derive(Default)]
pub(super) struct Schedule {
    tasks: BTreeMap<(Time, u64), Task>,
    sequence: u64,
}

impl Schedule {
    /// Adds a task for a time.
    pub(super) fn add(&mut self, at: Time, task: Task) {
        self.sequence += 1;
        self.tasks.insert((at, self.sequence), task);
    }

    /// Removes the first task whose time has come.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Task> {
        let first = self.tasks.first_entry()?;
        let (at, _) = *first.key();
        (at <= now).then(|| first.remove())
    }
}
