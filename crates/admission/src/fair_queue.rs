//! Fair queueing over keys.

use std::collections::{BTreeMap, VecDeque};

use nettlemux_policy::FlowId;

use crate::config::WEIGHT_MIN;

/// Whether a flow arrives at the time that its client was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The client retries at the end of its Retry-After.
    AtRetryAfter,
    /// The client is new or retries at another time.
    Regular,
}

/// The queue of one key.
#[derive(Default)]
struct KeyQueue {
    /// Flows that arrived at the end of their Retry-After, served before the others.
    at_retry_after: VecDeque<FlowId>,
    regular: VecDeque<FlowId>,
    weight: f64,
    /// The deficit counter: how many more flows may be served in this round.
    deficit: f64,
}

impl KeyQueue {
    fn len(&self) -> usize {
        self.at_retry_after.len() + self.regular.len()
    }

    fn push(&mut self, flow: FlowId, arrival: Arrival) {
        match arrival {
            Arrival::AtRetryAfter => self.at_retry_after.push_back(flow),
            Arrival::Regular => self.regular.push_back(flow),
        }
    }

    fn pop(&mut self) -> Option<FlowId> {
        self.at_retry_after
            .pop_front()
            .or_else(|| self.regular.pop_front())
    }
}

/// Queues of flows by key, served by deficit round robin (Shreedhar and Varghese 1995). A key's
/// quantum is its weight, and the cost of each flow is one.
///
/// A key without flows takes no memory.
#[derive(Default)]
pub struct FairQueues {
    by_key: BTreeMap<u64, KeyQueue>,
    /// The active list: the keys that have flows, in the order in which they are served.
    active: VecDeque<u64>,
    /// The number of flows in all queues.
    length: usize,
    /// The sum of the active keys' weights.
    active_weight: f64,
}

impl FairQueues {
    /// Adds a flow to the queue of its key. `weight` is used only if the key becomes active.
    pub fn push(&mut self, key: u64, flow: FlowId, weight: f64, arrival: Arrival) {
        let queue = self.by_key.entry(key).or_default();
        if queue.len() == 0 {
            queue.weight = weight;
            queue.deficit = 0.0;
            self.active_weight += weight;
            // A client that retries on time is not queued behind new clients. A key that is already
            // active keeps its position, so that frequent rejections don't move it ahead.
            match arrival {
                Arrival::AtRetryAfter => self.active.push_front(key),
                Arrival::Regular => self.active.push_back(key),
            }
        }
        queue.push(flow, arrival);
        self.length += 1;
    }

    /// Removes and returns the next flow of the keys for which `eligible` returns true, `None` if
    /// they have no flow. The other keys keep their order.
    pub fn pop(&mut self, eligible: impl Fn(u64) -> bool) -> Option<FlowId> {
        let mut skipped = 0;
        loop {
            let key = *self.active.front()?;
            if !eligible(key) {
                skipped += 1;
                if skipped > self.active.len() {
                    return None;
                }
                self.active.rotate_left(1);
                continue;
            }
            let queue = self.by_key.get_mut(&key).expect("an active key has flows");
            if queue.deficit < 1.0 {
                queue.deficit += queue.weight;
            }
            if queue.deficit >= 1.0 {
                return self.serve_front(key);
            }
            // A key with a weight below one needs several rounds to accumulate a deficit of one.
            self.active.rotate_left(1);
        }
    }

    /// Removes and returns a flow of the first active key.
    fn serve_front(&mut self, key: u64) -> Option<FlowId> {
        let queue = self.by_key.get_mut(&key)?;
        queue.deficit -= 1.0;
        let flow = queue.pop()?;
        self.length -= 1;
        if queue.len() == 0 {
            self.active.pop_front();
            self.deactivate(key);
        } else if queue.deficit < 1.0 {
            self.active.rotate_left(1);
        }
        Some(flow)
    }

    /// Drops the queue of a key that was removed from the active list.
    fn deactivate(&mut self, key: u64) {
        if let Some(queue) = self.by_key.remove(&key) {
            self.active_weight = if self.by_key.is_empty() {
                0.0
            } else {
                (self.active_weight - queue.weight).max(0.0)
            };
        }
    }

    /// Removes a flow from the queue of its key. Takes time linear in the length of that queue,
    /// which is bounded.
    pub fn remove(&mut self, key: u64, flow: FlowId) {
        let Some(queue) = self.by_key.get_mut(&key) else {
            return;
        };
        let length_before = queue.len();
        queue.at_retry_after.retain(|queued| *queued != flow);
        queue.regular.retain(|queued| *queued != flow);
        self.length -= length_before - queue.len();
        if queue.len() == 0 {
            self.active.retain(|active| *active != key);
            self.deactivate(key);
        }
    }

    /// Returns the number of flows in a key's queue.
    pub fn length(&self, key: u64) -> usize {
        self.by_key.get(&key).map_or(0, KeyQueue::len)
    }

    /// Estimates how many flows are served until one more flow of this key is, including that flow.
    pub fn flows_until_served(&self, key: u64, weight: f64) -> f64 {
        let own = self.length(key) as f64;
        let own_weight = self.by_key.get(&key).map_or(0.0, |queue| queue.weight);
        let other_weights = self.active_weight - own_weight;
        // In each round the other keys are served in proportion to their weights. They can't be
        // served more flows than they have queued.
        let rounds = (own + 1.0) / weight;
        own + (rounds * other_weights).min(self.length as f64 - own) + 1.0
    }

    /// Changes the weights of the active keys.
    pub fn set_weights(&mut self, weight: impl Fn(u64) -> f64) {
        self.active_weight = 0.0;
        for (key, queue) in &mut self.by_key {
            queue.weight = weight(*key).max(WEIGHT_MIN);
            self.active_weight += queue.weight;
        }
    }

    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty() && self.active.is_empty() && self.length == 0
    }
}
