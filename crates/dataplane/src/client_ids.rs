//! The clients' own ids: those in use and those of recently ended flows. Clients use a new id for
//! every connection, so a repeated id belongs to another client, or its request would run twice. This
//! module owns the memory of ids, whose size is limited, and decides which ids are forgotten first.
//! It must never decide what happens to a flow whose id was used before.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Memory of a remembered id: a hash and a byte of the hash table, which is up to half empty.
const REMEMBERED_ID_BYTES: usize = 20;
/// The sets of remembered ids whose size depends on the memory: two generations for each of two
/// kinds of repeats.
const SIZED_GENERATIONS: usize = 4;
/// Number of ids in a generation at least. Ids of flows that never ran have generations of this size.
const GENERATION_IDS_MIN: usize = 1024;

/// What the repeat of a flow that has ended would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatEffect {
    /// It would run for the first time: the flow was never forwarded.
    FirstRun,
    /// It would do no harm: the flow is idempotent.
    Harmless,
    /// It could take effect twice.
    Harmful,
}

/// The ids that can't be reserved. Ids are kept as 64-bit hashes under a random key, so that their
/// length doesn't matter and no client can provoke a collision.
pub struct ClientIds {
    hasher: RandomState,
    known: Mutex<KnownIds>,
}

struct KnownIds {
    in_use: HashSet<u64>,
    never_run: RecentIds,
    harmless: RecentIds,
    harmful: RecentIds,
}

impl KnownIds {
    fn contains(&self, id: u64) -> bool {
        let ended = [&self.never_run, &self.harmless, &self.harmful];
        self.in_use.contains(&id) || ended.iter().any(|ids| ids.contains(id))
    }

    fn ended(&mut self, effect: RepeatEffect) -> &mut RecentIds {
        match effect {
            RepeatEffect::FirstRun => &mut self.never_run,
            RepeatEffect::Harmless => &mut self.harmless,
            RepeatEffect::Harmful => &mut self.harmful,
        }
    }
}

/// The ids of the flows of one kind that ended last, in two generations. When the younger one is
/// full, the older one is forgotten. So as many ids are remembered as a generation holds, and up to
/// twice as many.
struct RecentIds {
    generation_max: usize,
    younger: HashSet<u64>,
    older: HashSet<u64>,
}

impl RecentIds {
    fn new(generation_max: usize) -> Self {
        RecentIds {
            generation_max,
            younger: HashSet::new(),
            older: HashSet::new(),
        }
    }

    fn contains(&self, id: u64) -> bool {
        self.younger.contains(&id) || self.older.contains(&id)
    }

    fn insert(&mut self, id: u64) {
        if self.younger.len() >= self.generation_max {
            self.older = mem::take(&mut self.younger);
        }
        self.younger.insert(id);
    }
}

impl ClientIds {
    /// Returns an empty memory of ids that takes up about `bytes_max`. Each kind of repeat has a
    /// share of its own, so that many flows of one kind don't make the ids of another forgotten.
    pub fn new(bytes_max: usize) -> Arc<Self> {
        let generation = bytes_max / REMEMBERED_ID_BYTES / SIZED_GENERATIONS;
        let generation = generation.max(GENERATION_IDS_MIN);
        Arc::new(ClientIds {
            hasher: RandomState::new(),
            known: Mutex::new(KnownIds {
                in_use: HashSet::new(),
                never_run: RecentIds::new(GENERATION_IDS_MIN),
                harmless: RecentIds::new(generation),
                harmful: RecentIds::new(generation),
            }),
        })
    }

    fn known(&self) -> MutexGuard<'_, KnownIds> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves an id until its flow ends. `None` if the id is in use or remembered.
    pub fn reserve(self: &Arc<Self>, id: &str) -> Option<ClientId> {
        let id = self.hasher.hash_one(id);
        let mut known = self.known();
        if known.contains(id) {
            return None;
        }
        known.in_use.insert(id);
        Some(ClientId {
            ids: self.clone(),
            id,
            repeat_effect: RepeatEffect::FirstRun,
        })
    }
}

/// A reserved id. When it is dropped, the id is remembered as that of an ended flow.
pub struct ClientId {
    ids: Arc<ClientIds>,
    id: u64,
    /// What a repeat would do if the flow ended now.
    pub repeat_effect: RepeatEffect,
}

impl Drop for ClientId {
    fn drop(&mut self) {
        let mut known = self.ids.known();
        known.in_use.remove(&self.id);
        known.ended(self.repeat_effect).insert(self.id);
    }
}

#[cfg(test)]
mod tests;
