//! What there is a fixed number of: buffers and descriptors. It owns the buffers that are not in use and the
//! count of open sockets. It must never wait: whoever finds nothing left is told so at once.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crossbeam_queue::ArrayQueue;

/// A line of 4 KiB and its CRLF. All buffers have this size.
pub const BUFFER: usize = 4096 + 2;
/// Buffers are kept for so many; most connections hold none, since lines go on as they come.
const KEPT: usize = 64;

/// Buffers to use again.
pub struct Buffers {
    free: ArrayQueue<Box<[u8; BUFFER]>>,
}

impl Buffers {
    pub fn new() -> Arc<Self> {
        Arc::new(Buffers {
            free: ArrayQueue::new(KEPT),
        })
    }

    pub fn take(self: &Arc<Self>) -> Buffer {
        let bytes = self.free.pop().unwrap_or_else(|| Box::new([0; BUFFER]));
        Buffer {
            bytes: Some(bytes),
            home: self.clone(),
        }
    }
}

/// A buffer on loan: it goes back when it is dropped.
pub struct Buffer {
    bytes: Option<Box<[u8; BUFFER]>>,
    home: Arc<Buffers>,
}

impl Deref for Buffer {
    type Target = [u8; BUFFER];
    fn deref(&self) -> &Self::Target {
        self.bytes.as_deref().expect("held until dropped")
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.bytes.as_deref_mut().expect("held until dropped")
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if let Some(bytes) = self.bytes.take() {
            let _ = self.home.free.push(bytes);
        }
    }
}

/// Counts rights to open sockets against a limit.
pub struct Descriptors {
    limit: usize,
    open: AtomicUsize,
}

impl Descriptors {
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Descriptors {
            limit,
            open: AtomicUsize::new(0),
        })
    }

    /// A right, given back when its last copy is dropped; none while no more than `spare` are left.
    pub fn take(self: &Arc<Self>, spare: usize) -> Option<Slot> {
        let more = |open| (open + spare < self.limit).then_some(open + 1);
        let taken = self
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
        taken.ok().map(|_| Slot {
            _held: Arc::new(Held { of: self.clone() }),
        })
    }

    /// Whether more than `spare` are left.
    pub fn room(&self, spare: usize) -> bool {
        self.open() + spare < self.limit
    }

    pub fn limit(&self) -> usize {
        self.limit
    }

    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

struct Held {
    of: Arc<Descriptors>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.of.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The right to one socket, or to a flow's two: its copies are one right.
#[derive(Clone)]
pub struct Slot {
    _held: Arc<Held>,
}

/// How the descriptors of the process are shared out, so that no kind can take another's.
pub struct DescriptorBudgets {
    /// Connections whose first line hasn't come, or that are on their way out.
    pub waiting: Arc<Descriptors>,
    /// Flows, each with its client's socket and its server's.
    pub flows: Arc<Descriptors>,
    /// Probes and discovery.
    pub others: Arc<Descriptors>,
}

/// Descriptors that nobody shares: standard streams, the listener, the selector's two, the signals' pair, and a
/// few to spare.
const STANDING: usize = 16;
/// Memory that the program takes by itself, and a flow's at most: two stacks and two ears' of two or three pages,
/// a buffer each way, and what the desk and the module keep of it.
const PROGRAM: usize = 8 << 20;
const FLOW: usize = 48 << 10;

/// Coroutines of the process's own parts, and timers of theirs.
const PARTS: usize = 32;
/// Stacks that are mapped at the start: the system gives a process 65,530 mappings, and a stack with its guard takes two.
const COROUTINES_MAX: usize = 16 << 10;

impl DescriptorBudgets {
    pub fn new(sockets: usize, memory: usize) -> Self {
        // Clients hold up to a third, so their servers' side takes as much: the rest must carry all else.
        let others = (sockets / 16).max(24);
        let waiting = (sockets / 8).max(32);
        let flows = (sockets - STANDING - others - waiting) / 2;
        let flows = flows.min(memory.saturating_sub(PROGRAM) / FLOW);
        let [waiting, flows, others] = [waiting, flows, others].map(Descriptors::new);
        DescriptorBudgets {
            waiting,
            flows,
            others,
        }
    }

    /// Coroutines that there can be at a time, whose stacks are to be mapped at the start: one for each connection that
    /// waits, each flow and each probe, and a watcher for each of their sockets.
    pub fn coroutines(&self) -> usize {
        let all =
            2 * self.waiting.limit() + 3 * self.flows.limit() + 2 * self.others.limit() + PARTS;
        all.min(COROUTINES_MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn buffers_come_back_and_slots_are_given_back() {
        let buffers = Buffers::new();
        let at = buffers.take().as_ptr();
        assert_eq!(buffers.take().as_ptr(), at, "used again");
        let descriptors = Descriptors::new(3);
        let first = descriptors.take(0).expect("room");
        let second = descriptors.take(1).expect("room");
        // Guards against flows that leave no descriptor for probes and discovery.
        assert!(descriptors.take(1).is_none());
        let _last = descriptors.take(0).expect("the spare one");
        assert!(descriptors.take(0).is_none());
        drop((first.clone(), second));
        assert_eq!(descriptors.open(), 2, "copies are one right");
        drop(first);
        assert_eq!(descriptors.open(), 1);
    }

    #[test]
    fn small_limits_carry_a_third_of_flows_and_a_probe_for_each_server() {
        for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
            let budgets = DescriptorBudgets::new(sockets, memory_mb << 20);
            let all = budgets.waiting.limit()
                + 2 * budgets.flows.limit()
                + budgets.others.limit()
                + STANDING;
            assert!(all <= sockets, "{sockets}: {all}");
            // Guards against fixed reserves, which at 256 left room for 72 flows.
            assert!(
                budgets.flows.limit() * 3 >= sockets,
                "{sockets}: {} flows",
                budgets.flows.limit()
            );
            assert!(budgets.others.limit() >= 24 && budgets.waiting.limit() >= 32);
        }
        assert!(
            DescriptorBudgets::new(4096, 32 << 20).flows.limit() < 600,
            "memory bounds them too"
        );
    }
}
