//! The scheduled tasks of the fleet, ordered by time. Tasks of the same time keep the order in which
//! they were added.

use std::collections::BTreeMap;

use nettlemux_policy::Time;

use crate::fault::DrainBehavior;

/// A scheduled task. Faults and servers are identified by their index.
#[derive(Clone, Debug)]
pub(super) enum Task {
    BeginFault {
        fault: usize,
    },
    EndFault {
        fault: usize,
    },
    /// Start to drain a server that stops at `until`.
    Drain {
        server: usize,
        drain_behavior: DrainBehavior,
        until: Time,
    },
    /// Let a draining server tell part of its clients to migrate, so that all have been told after
    /// the remaining steps.
    MigrateClients {
        server: usize,
        steps_left: u64,
    },
    /// Stop a drained server.
    StopDrained {
        server: usize,
    },
    /// Restart a server.
    Start {
        server: usize,
    },
    /// Let discovery list a dead server as removed.
    DelistDead {
        server: usize,
    },
    /// Let decaying servers lose another part of their capacity.
    DecayStep {
        fault: usize,
        step: u64,
    },
    /// Start or stop a neighbour that takes capacity.
    ToggleNeighbour {
        fault: usize,
        present: bool,
    },
    /// Partition a flapping zone, or make it reachable again.
    ToggleZoneCut {
        fault: usize,
        cut: bool,
    },
    /// Refresh the weights in the endpoint list.
    RefreshWeights,
}

/// The pending tasks.
#[derive(Default)]
pub(super) struct Schedule {
    tasks: BTreeMap<(Time, u64), Task>,
    /// The sequence number of the task that was added last.
    last_sequence: u64,
}

impl Schedule {
    /// Schedules a task at a time.
    pub(super) fn add(&mut self, at: Time, task: Task) {
        self.last_sequence += 1;
        self.tasks.insert((at, self.last_sequence), task);
    }

    /// Removes and returns the first task if it is due at `now`.
    pub(super) fn pop_due(&mut self, now: Time) -> Option<Task> {
        let first = self.tasks.first_entry()?;
        let (at, _) = *first.key();
        (at <= now).then(|| first.remove())
    }
}
