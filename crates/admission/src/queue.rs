//! Fair queues: deficit round robin over the keys that have someone waiting, each flow costing one. It owns the order of turns; a
//! key without anyone waiting costs nothing, so memory follows who waits and not who has ever come.

use std::collections::{BTreeMap, VecDeque};

use nettlemux_policy::FlowId;

#[derive(Default)]
struct Queue {
    /// Those that came when they were told to, before the others.
    keeps_promise: VecDeque<FlowId>,
    fresh: VecDeque<FlowId>,
    weight: f64,
    /// Turns that it may still take in this round.
    credit: f64,
}

impl Queue {
    fn length(&self) -> usize {
        self.keeps_promise.len() + self.fresh.len()
    }
}

#[derive(Default)]
pub struct FairQueues {
    by_key: BTreeMap<u64, Queue>,
    /// Keys in order of their turns.
    round: VecDeque<u64>,
    length: usize,
    /// Weights of all keys in the round.
    weights: f64,
}

impl FairQueues {
    pub fn push(&mut self, key: u64, flow: FlowId, weight: f64, keeps_promise: bool) {
        let queue = self.by_key.entry(key).or_default();
        if queue.length() == 0 {
            (queue.weight, queue.credit) = (weight, 0.0);
            self.weights += weight;
            // One that comes on time isn't put behind newcomers; a key that has others waiting keeps its place, so
            // that nobody gets ahead by being told to come back often.
            if keeps_promise {
                self.round.push_front(key)
            } else {
                self.round.push_back(key)
            }
        }
        match keeps_promise {
            true => queue.keeps_promise.push_back(flow),
            false => queue.fresh.push_back(flow),
        }
        self.length += 1;
    }

    /// Whose turn it is, among the keys that may; none where no key may. Keys that may not keep their places in the round.
    pub fn pop(&mut self, may: impl Fn(u64) -> bool) -> Option<FlowId> {
        let mut passed = 0;
        loop {
            let key = *self.round.front()?;
            if !may(key) {
                passed += 1;
                if passed > self.round.len() {
                    return None;
                }
                self.round.rotate_left(1);
                continue;
            }
            let queue = self.by_key.get_mut(&key).expect("in the round");
            if queue.credit < 1.0 {
                queue.credit += queue.weight;
                if queue.credit < 1.0 {
                    // Light keys save up over several rounds.
                    self.round.rotate_left(1);
                    continue;
                }
            }
            queue.credit -= 1.0;
            let flow = queue
                .keeps_promise
                .pop_front()
                .or_else(|| queue.fresh.pop_front())?;
            self.length -= 1;
            if queue.length() == 0 {
                self.drop_front();
            } else if queue.credit < 1.0 {
                self.round.rotate_left(1);
            }
            return Some(flow);
        }
    }

    fn drop_front(&mut self) {
        if let Some(key) = self.round.pop_front() {
            self.leave(key);
        }
    }

    fn leave(&mut self, key: u64) {
        if let Some(queue) = self.by_key.remove(&key) {
            self.weights = if self.by_key.is_empty() {
                0.0
            } else {
                (self.weights - queue.weight).max(0.0)
            };
        }
    }

    /// One waits no more. A key's queue is short by configuration, so it is walked.
    pub fn remove(&mut self, key: u64, flow: FlowId) {
        let Some(queue) = self.by_key.get_mut(&key) else {
            return;
        };
        let before = queue.length();
        queue.keeps_promise.retain(|one| *one != flow);
        queue.fresh.retain(|one| *one != flow);
        self.length -= before - queue.length();
        if queue.length() == 0 {
            self.round.retain(|one| *one != key);
            self.leave(key);
        }
    }

    pub fn length(&self, key: u64) -> usize {
        self.by_key.get(&key).map_or(0, Queue::length)
    }

    /// Turns of others, and of its own key, before one more of this key has its own.
    pub fn ahead(&self, key: u64, weight: f64) -> f64 {
        let own = self.length(key) as f64;
        let others = self.weights - self.by_key.get(&key).map_or(0.0, |queue| queue.weight);
        // In each round others have their weights' turns while it has its own; no more wait than there are.
        let rounds = (own + 1.0) / weight;
        own + (rounds * others).min(self.length as f64 - own) + 1.0
    }

    pub fn weigh(&mut self, weight: impl Fn(u64) -> f64) {
        self.weights = 0.0;
        for (key, queue) in &mut self.by_key {
            queue.weight = weight(*key).max(1e-3);
            self.weights += queue.weight;
        }
    }

    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty() && self.round.is_empty() && self.length == 0
    }
}
