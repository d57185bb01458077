//! What all flows share, whichever front they came by, and what a front hands over: a flow that is admitted. It owns the
//! clients' ids that are in use and those that lately were. It must never decide what becomes of a flow.

use std::collections::{HashSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_policy::Time;
use nettlemux_settings::LoadReportFormat;

use crate::mailbox::Sender;
use crate::messages::DispatcherMessage;
use crate::pool::{Buffers, DescriptorBudgets};

/// Ids of ended flows that are remembered: an id is new with every connection, so one that comes again is somebody
/// else's, also when its flow has just ended.
const REMEMBERED: usize = 1024;

pub struct Dataplane {
    pub dispatcher: Sender<DispatcherMessage>,
    pub buffers: Arc<Buffers>,
    pub budgets: DescriptorBudgets,
    pub ids: Arc<Ids>,
    pub settings: Arc<SharedSettings>,
    pub numbers: AtomicU64,
}

/// What the settings say beside the module's part; it changes as a whole.
#[derive(Default)]
pub struct SharedSettings(Mutex<RuntimeSettings>);

#[derive(Clone, Copy, Default)]
pub struct RuntimeSettings {
    pub reports: LoadReportFormat,
    /// Whether servers tell their load when asked.
    pub stats: bool,
    /// A connection that isn't made by then can't be made.
    pub dial_limit: Time,
    /// Where the list has to be asked for from a service that all balancers share: the longest pause between two calls.
    pub asked: Option<Time>,
}

impl SharedSettings {
    pub fn new(settings: RuntimeSettings) -> Arc<Self> {
        Arc::new(SharedSettings(Mutex::new(settings)))
    }

    pub fn now(&self) -> RuntimeSettings {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn change(&self, settings: RuntimeSettings) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }
}

impl Dataplane {
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}

/// The clients' ids that can't be used again.
#[derive(Default)]
pub struct Ids {
    known: Mutex<FirstLineSettings>,
}

#[derive(Default)]
struct FirstLineSettings {
    all: HashSet<Arc<str>>,
    ended: VecDeque<Arc<str>>,
}

impl Ids {
    fn known(&self) -> MutexGuard<'_, FirstLineSettings> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an id until the flow ends; none if it was taken before.
    pub fn take(self: &Arc<Self>, id: &str) -> Option<Id> {
        let id: Arc<str> = id.into();
        self.known().all.insert(id.clone()).then(|| Id {
            ids: self.clone(),
            id,
        })
    }
}

/// A flow's id, given back when it is dropped.
pub struct Id {
    ids: Arc<Ids>,
    id: Arc<str>,
}

impl Drop for Id {
    fn drop(&mut self) {
        let mut known = self.ids.known();
        known.ended.push_back(self.id.clone());
        if known.ended.len() > REMEMBERED
            && let Some(oldest) = known.ended.pop_front()
        {
            known.all.remove(&oldest);
        }
    }
}
