//! Descriptor budgets: how many sockets the process may open, and for what. It owns the counts of
//! open sockets, and must never wait: where nothing is left it says so at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Descriptors outside all budgets: standard streams, the listener, the selector's two, the timer
/// of timed waits, the signals' pair, and a few to spare.
const STANDING_DESCRIPTORS: usize = 16;
/// One in so many sockets is for health checks and discovery, but never fewer than
/// [`CONTROL_DESCRIPTORS_MIN`].
const SOCKETS_PER_CONTROL_DESCRIPTOR: usize = 16;
const CONTROL_DESCRIPTORS_MIN: usize = 24;
/// One in so many sockets is for pending connections, but never fewer than
/// [`PENDING_DESCRIPTORS_MIN`].
const SOCKETS_PER_PENDING_DESCRIPTOR: usize = 8;
const PENDING_DESCRIPTORS_MIN: usize = 32;
/// The client's socket and the server's.
const DESCRIPTORS_PER_FLOW: usize = 2;
/// Memory that the program takes without flows.
const PROGRAM_BYTES: usize = 8 << 20;
/// Memory of one flow at most: two stacks and two watchers' of two or three pages, a buffer each
/// way, and what the dispatcher and the policy keep of it.
const FLOW_BYTES_MAX: usize = 48 << 10;
/// Coroutines of the process's own services, and their timers.
const SERVICE_COROUTINES: usize = 32;
/// Stacks that are mapped at the start: the system gives a process 65,530 mappings, and a stack
/// with its guard takes two.
const COROUTINES_MAX: usize = 16 << 10;

/// Counts permits to open sockets against a limit.
pub struct DescriptorBudget {
    limit: usize,
    in_use: AtomicUsize,
}

impl DescriptorBudget {
    /// Returns a budget of `limit` permits.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(DescriptorBudget {
            limit,
            in_use: AtomicUsize::new(0),
        })
    }

    /// Takes a permit; none where all are in use.
    pub fn try_acquire(self: &Arc<Self>) -> Option<DescriptorPermit> {
        self.try_acquire_leaving(0)
    }

    /// Takes a permit where more than `reserve` are left.
    pub fn try_acquire_leaving(self: &Arc<Self>, reserve: usize) -> Option<DescriptorPermit> {
        let one_more = |in_use| (in_use + reserve < self.limit).then_some(in_use + 1);
        let acquired = self
            .in_use
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, one_more);
        acquired.ok().map(|_| DescriptorPermit {
            _shared: Arc::new(SharedPermit {
                budget: self.clone(),
            }),
        })
    }

    /// Returns whether more than `reserve` permits are left.
    pub fn has_more_than(&self, reserve: usize) -> bool {
        self.in_use() + reserve < self.limit
    }

    /// Returns the number of permits in all.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of permits in use.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Acquire)
    }
}

struct SharedPermit {
    budget: Arc<DescriptorBudget>,
}

impl Drop for SharedPermit {
    fn drop(&mut self) {
        self.budget.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The permit to open one socket, or a flow's two. Its copies are one permit, given back when the
/// last is dropped.
#[derive(Clone)]
pub struct DescriptorPermit {
    _shared: Arc<SharedPermit>,
}

/// How the descriptors of the process are shared out, so that no kind can take another's.
pub struct DescriptorBudgets {
    /// Connections whose first line hasn't come, or that are being closed.
    pub pending: Arc<DescriptorBudget>,
    /// Flows, each with its client's socket and its server's.
    pub flows: Arc<DescriptorBudget>,
    /// Health checks and discovery.
    pub control: Arc<DescriptorBudget>,
}

impl DescriptorBudgets {
    /// Shares out the sockets that the process may open, with no more flows than its memory in
    /// bytes holds.
    pub fn new(sockets: usize, memory_bytes: usize) -> Self {
        let control = (sockets / SOCKETS_PER_CONTROL_DESCRIPTOR).max(CONTROL_DESCRIPTORS_MIN);
        let pending = (sockets / SOCKETS_PER_PENDING_DESCRIPTOR).max(PENDING_DESCRIPTORS_MIN);
        // Clients hold up to a third, so their servers' side takes as much: the rest must carry all
        // else.
        let flows = (sockets - STANDING_DESCRIPTORS - control - pending) / DESCRIPTORS_PER_FLOW;
        let flows_in_memory = memory_bytes.saturating_sub(PROGRAM_BYTES) / FLOW_BYTES_MAX;
        DescriptorBudgets {
            pending: DescriptorBudget::new(pending),
            flows: DescriptorBudget::new(flows.min(flows_in_memory)),
            control: DescriptorBudget::new(control),
        }
    }

    /// Returns how many coroutines there can be at a time, whose stacks are to be mapped at the
    /// start: one for each pending connection, each flow and each health check, and a watcher for
    /// each of their sockets.
    pub fn coroutines(&self) -> usize {
        let of_pending = 2 * self.pending.limit();
        let of_flows = 3 * self.flows.limit();
        let of_control = 2 * self.control.limit();
        (of_pending + of_flows + of_control + SERVICE_COROUTINES).min(COROUTINES_MAX)
    }
}

#[cfg(test)]
mod tests;
