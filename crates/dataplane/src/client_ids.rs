//! The clients' own ids that are in use, and those that lately were. It owns both sets, and must
//! never decide what becomes of a flow whose id was used before.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Ids of ended flows that are remembered: an id is new with every connection, so one that comes
/// again is another client's, also when its flow has just ended.
const ENDED_IDS_MAX: usize = 1024;

/// The ids that can't be used again.
#[derive(Default)]
pub struct ClientIds {
    known: Mutex<KnownIds>,
}

#[derive(Default)]
struct KnownIds {
    /// Those in use and those that are remembered.
    all: HashSet<Arc<str>>,
    /// Those that are remembered, the oldest first.
    ended: VecDeque<Arc<str>>,
}

impl ClientIds {
    fn known(&self) -> MutexGuard<'_, KnownIds> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves an id until its flow ends; none where it was reserved before.
    pub fn reserve(self: &Arc<Self>, id: &str) -> Option<ClientId> {
        let id: Arc<str> = id.into();
        self.known().all.insert(id.clone()).then(|| ClientId {
            ids: self.clone(),
            id,
        })
    }
}

/// A reserved id, remembered as ended once it is dropped.
pub struct ClientId {
    ids: Arc<ClientIds>,
    id: Arc<str>,
}

impl Drop for ClientId {
    fn drop(&mut self) {
        let mut known = self.ids.known();
        known.ended.push_back(self.id.clone());
        if known.ended.len() > ENDED_IDS_MAX
            && let Some(oldest) = known.ended.pop_front()
        {
            known.all.remove(&oldest);
        }
    }
}
