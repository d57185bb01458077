//! Descriptor budgets: how many sockets the process may open for each purpose, by its limits of
//! descriptors and of memory. It owns the counts of open sockets. It must never wait: if no permit is
//! left, the call returns at once without one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Descriptors outside all budgets: the standard streams, the listener, two of the selector, the
/// timer of timed waits, the pair for signals, and a few spare ones.
const STANDING_DESCRIPTORS: usize = 16;
/// One in this many sockets is for health checks and discovery, but at least
/// [`CONTROL_DESCRIPTORS_MIN`] sockets are.
const SOCKETS_PER_CONTROL_DESCRIPTOR: usize = 16;
const CONTROL_DESCRIPTORS_MIN: usize = 24;
/// One in this many sockets is for pending connections, but at least [`PENDING_DESCRIPTORS_MIN`]
/// sockets are.
const SOCKETS_PER_PENDING_DESCRIPTOR: usize = 8;
const PENDING_DESCRIPTORS_MIN: usize = 32;
/// The client's socket and the server's.
const DESCRIPTORS_PER_FLOW: usize = 2;
/// One in this many bytes of memory is for the ids of recently ended flows.
const MEMORY_PER_CLIENT_IDS: usize = 16;
/// At most one in this many bytes of memory is for pending connections.
const MEMORY_PER_PENDING_CONNECTIONS: usize = 8;
/// At most one in this many bytes of memory is for health checks and discovery.
const MEMORY_PER_CONTROL_CONNECTIONS: usize = 16;
/// Memory that the program uses without connections.
const PROGRAM_BYTES: usize = 6 << 20;
/// Memory of a connection that is no flow at most: its coroutine's stack and its watcher's, of three
/// pages each, and a buffer.
const CONNECTION_BYTES_MAX: usize = 30 << 10;
/// Memory of one flow at most: its coroutine's stack and those of two watchers, of three pages each,
/// a buffer for each direction, and the flow's state in the dispatcher and the policy, with the
/// names that its client has chosen.
const FLOW_BYTES_MAX: usize = 52 << 10;
/// Coroutines of the process's own services and their timers.
const SERVICE_COROUTINES: usize = 32;
/// Largest number of coroutine stacks that are mapped at the start. The system allows a process
/// 65,530 mappings, and a stack with its guard page takes two.
const COROUTINES_MAX: usize = 16 << 10;

/// A limited number of permits to open sockets.
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

    /// Takes a permit; `None` if all are in use.
    pub fn try_acquire(self: &Arc<Self>) -> Option<DescriptorPermit> {
        self.try_acquire_with_reserve(0)
    }

    /// Takes a permit; `None` unless more than `reserve` are left.
    pub fn try_acquire_with_reserve(self: &Arc<Self>, reserve: usize) -> Option<DescriptorPermit> {
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

    /// Returns the total number of permits.
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

/// The permit to open one socket, or the two sockets of a flow. Clones share one permit, which is
/// released when the last clone is dropped.
#[derive(Clone)]
pub struct DescriptorPermit {
    _shared: Arc<SharedPermit>,
}

/// A separate descriptor budget for each purpose, so that no purpose can use up the descriptors of
/// another.
pub struct DescriptorBudgets {
    /// Connections whose first line isn't complete yet, or that are being closed.
    pub pending: Arc<DescriptorBudget>,
    /// Flows. One permit covers the client's socket and the server's.
    pub flows: Arc<DescriptorBudget>,
    /// Health checks and discovery.
    pub control: Arc<DescriptorBudget>,
}

impl DescriptorBudgets {
    /// Divides the sockets that the process may open among the budgets. `memory_bytes` limits the
    /// budgets too, since connections of every purpose take memory.
    pub fn new(sockets: usize, memory_bytes: usize) -> Self {
        let control_in_memory =
            memory_bytes / MEMORY_PER_CONTROL_CONNECTIONS / CONNECTION_BYTES_MAX;
        let control = (sockets / SOCKETS_PER_CONTROL_DESCRIPTOR)
            .min(control_in_memory)
            .max(CONTROL_DESCRIPTORS_MIN);
        let pending_in_memory =
            memory_bytes / MEMORY_PER_PENDING_CONNECTIONS / CONNECTION_BYTES_MAX;
        let pending = (sockets / SOCKETS_PER_PENDING_DESCRIPTOR)
            .min(pending_in_memory)
            .max(PENDING_DESCRIPTORS_MIN);
        // Clients hold up to a third of the sockets and their servers' side as many. Everything else
        // must fit into the rest.
        let flows = (sockets - STANDING_DESCRIPTORS - control - pending) / DESCRIPTORS_PER_FLOW;
        let other_memory = PROGRAM_BYTES
            + client_ids_bytes(memory_bytes)
            + (control + pending) * CONNECTION_BYTES_MAX;
        let flows_in_memory = memory_bytes.saturating_sub(other_memory) / FLOW_BYTES_MAX;
        DescriptorBudgets {
            pending: DescriptorBudget::new(pending),
            flows: DescriptorBudget::new(flows.min(flows_in_memory)),
            control: DescriptorBudget::new(control),
        }
    }

    /// Returns the largest number of coroutines that can exist at a time. Their stacks are mapped at
    /// the start. There is one coroutine for each pending connection, flow and health check, and a
    /// watcher for each of their sockets.
    pub fn coroutines_max(&self) -> usize {
        let of_pending = 2 * self.pending.limit();
        let of_flows = 3 * self.flows.limit();
        let of_control = 2 * self.control.limit();
        (of_pending + of_flows + of_control + SERVICE_COROUTINES).min(COROUTINES_MAX)
    }
}

/// Returns the part of the memory that is for the ids of recently ended flows.
pub fn client_ids_bytes(memory_bytes: usize) -> usize {
    memory_bytes / MEMORY_PER_CLIENT_IDS
}

#[cfg(test)]
mod tests;
