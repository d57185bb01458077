//! The clients' own ids: those in use and those of recently ended flows. It owns both sets and must
//! never decide what happens to a flow whose id was used before.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of ids of ended flows that are remembered. Clients use a new id for every connection, so a
/// repeated id belongs to another client, even if its flow has just ended.
const ENDED_IDS_MAX: usize = 1024;

/// The ids that can't be reserved.
#[derive(Default)]
pub struct ClientIds {
    known: Mutex<KnownIds>,
}

#[derive(Default)]
struct KnownIds {
    /// The ids in use and the ids of ended flows.
    all: HashSet<Arc<str>>,
    /// The ids of ended flows, the oldest first.
    ended: VecDeque<Arc<str>>,
}

impl ClientIds {
    fn known(&self) -> MutexGuard<'_, KnownIds> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves an id until its flow ends. `None` if the id is in use or remembered.
    pub fn reserve(self: &Arc<Self>, id: &str) -> Option<ClientId> {
        let id: Arc<str> = id.into();
        self.known().all.insert(id.clone()).then(|| ClientId {
            ids: self.clone(),
            id,
        })
    }
}

/// A reserved id. When it is dropped, the id is remembered as that of an ended flow.
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
