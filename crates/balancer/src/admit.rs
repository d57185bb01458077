//! The second stage: makes a flow of a client's first line. It owns the ids of the flows that are open and of those
//! that lately were. It must never admit what it can't read in full, and never turn away on load, which is the
//! module's to say; want of descriptors is ours.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use nettlemux_policy::{Flow, MS, SEC, Time};
use tracing::{debug, warn};

use crate::chain::Core;
use crate::clock;
use crate::net::Caller;
use crate::take_in::{LINGER, Taken};
use crate::wire::{self, First};

/// One that was open before the run is waited for so long: it is lost 40 s after the start.
const INHERITED: Time = 39 * SEC;
/// Questions that one connection may ask before it asks to be served. The front asks one.
const QUESTIONS: usize = 16;
/// Ids of ended flows that are remembered: an id is new with every connection, so one that comes again is somebody
/// else's, also when its flow has just ended.
const REMEMBERED: usize = 1024;

pub struct Admitted {
    pub flow: Flow,
    /// The server that held it before the run.
    pub at: Option<String>,
    pub caller: Caller,
    /// The first line as it came, without its end.
    pub line: Vec<u8>,
    pub id: Id,
}

/// The clients' ids that can't be used again.
#[derive(Default)]
pub struct Ids {
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    all: HashSet<Arc<str>>,
    ended: VecDeque<Arc<str>>,
}

impl Ids {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an id until the flow ends; none if it was taken before.
    pub fn take(self: &Arc<Self>, id: &str) -> Option<Id> {
        let id: Arc<str> = id.into();
        self.known().all.insert(id.clone()).then(|| Id { ids: self.clone(), id })
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

pub fn admit(core: &Arc<Core>, mut taken: Taken) -> Option<Admitted> {
    for _ in 0..QUESTIONS {
        let (length, next) = taken.line;
        if next != length + 2 {
            return refuse(taken, "a line is not ended by CRLF");
        }
        let answer = match wire::first(&taken.bytes[..length]) {
            Ok(First::Open(open)) => {
                let class = core.known.classes.iter().position(|class| class.name == open.class);
                let Some(service_type) = class else { return refuse(taken, "unknown class") };
                let at = open.at.map(String::from);
                let wait = match open.wait {
                    _ if at.is_some() => INHERITED,
                    // Nobody waits longer than the settings say for the class.
                    Some(ms) if ms > 0 && ms <= core.known.classes[service_type].longest / MS => ms * MS,
                    Some(_) => return refuse(taken, "nobody waits so long"),
                    None => return refuse(taken, "no time to wait"),
                };
                let customer = match open.customer.map(|name| core.known.customer(name)) {
                    Some(None) => return refuse(taken, "unknown customer"),
                    Some(Some(customer)) => customer,
                    None => 0,
                };
                // A client waits for its answer; guards against many commands at once.
                if taken.held > next {
                    return refuse(taken, "more before it is served");
                }
                let Some(id) = core.ids.take(open.id) else { return refuse(taken, "an id that was used") };
                let flow = Flow {
                    id: core.number(),
                    service_type,
                    customer,
                    group: open.group.filter(|_| core.known.groups).map(String::from),
                    returning: open.returning,
                    taken: taken.at,
                    give_up: taken.at + wait,
                    connects: Vec::new(),
                };
                let Some(slot) = core.shares.flows.take(0) else {
                    warn!(open = core.shares.flows.open(), "no descriptors left for flows");
                    taken.refuse(wire::rejected(None).as_bytes());
                    return None;
                };
                taken.caller.socket.hold(slot);
                debug!(id = flow.id, line = %String::from_utf8_lossy(&taken.bytes[..length]), "taken");
                let line = taken.bytes[..length].to_vec();
                return Some(Admitted { flow, at, caller: taken.caller, line, id });
            }
            // We are asked only once the listener stands, and then can serve.
            Ok(First::Ping) => wire::PONG,
            Ok(First::Stats) => wire::NO,
            Err(why) => return refuse(taken, why),
        };
        debug!(answer = %String::from_utf8_lossy(answer).trim_end(), "asked");
        taken.caller.write(answer, clock::now() + LINGER).ok()?;
        taken.bytes.copy_within(next..taken.held, 0);
        taken.held -= next;
        taken = taken.next_line(core)?;
    }
    refuse(taken, "too many questions")
}

/// Answers a line that can't be used, and ends.
fn refuse(taken: Taken, why: &str) -> Option<Admitted> {
    warn!(why, line = %String::from_utf8_lossy(&taken.bytes[..taken.line.0.min(200)]), "malformed first line");
    taken.refuse(wire::ABORTED);
    None
}
