//! The second stage: makes a flow of a client's first line. It owns nothing. It must never admit
//! what it can't read in full, and never turn away on load, which is the module's to say; want of
//! descriptors is ours.

use nettlemux_dataplane::clock;
use nettlemux_dataplane::connection::LINGER_TIMEOUT;
use nettlemux_dataplane::dataplane::Dataplane;
use nettlemux_dataplane::pipeline::AdmittedFlow;
use nettlemux_dataplane::wire::{
    LineBounds, REPLY_FAILED, REPLY_NO_LOAD_REPORT, REPLY_PONG, rejection,
};

use nettlemux_policy::{Flow, MS, SEC, Time};
use tracing::{debug, warn};

use crate::acceptor::AcceptedConnection;
use crate::first_line::{self, First, FirstLineSettings};

/// One that was open before the run is waited for so long: it is lost 40 s after the start.
const INHERITED: Time = 39 * SEC;
/// Questions that one connection may ask before it asks to be served. The front asks one.
const QUESTIONS: usize = 16;
pub fn admit(
    dataplane: &Dataplane,
    known: &FirstLineSettings,
    mut taken: AcceptedConnection,
) -> Option<AdmittedFlow> {
    for _ in 0..QUESTIONS {
        let LineBounds { length, next } = taken.line;
        if next != length + 2 {
            return refuse(taken, "a line is not ended by CRLF");
        }
        let answer = match first_line::first(&taken.bytes[..length]) {
            Ok(First::Open(open)) => {
                let class = known
                    .classes
                    .iter()
                    .position(|class| class.name == open.class);
                let Some(class) = class else {
                    return refuse(taken, "unknown class");
                };
                let at = open.at.map(String::from);
                let wait = match open.wait {
                    _ if at.is_some() => INHERITED,
                    // Nobody waits longer than the settings say for the class.
                    Some(ms) if ms > 0 && ms <= known.classes[class].longest / MS => ms * MS,
                    Some(_) => return refuse(taken, "nobody waits so long"),
                    None => return refuse(taken, "no time to wait"),
                };
                let tenant = match open.tenant.map(|name| known.tenant(name)) {
                    Some(None) => return refuse(taken, "unknown tenant"),
                    Some(Some(tenant)) => tenant,
                    None => 0,
                };
                // A client waits for its answer; guards against many commands at once.
                if taken.held > next {
                    return refuse(taken, "more before it is served");
                }
                let Some(id) = dataplane.client_ids.reserve(open.id) else {
                    return refuse(taken, "an id that was used");
                };
                let flow = Flow {
                    id: dataplane.next_flow_id(),
                    class,
                    tenant,
                    group: open.group.filter(|_| known.groups).map(String::from),
                    reconnecting: open.reconnecting,
                    accepted_at: taken.at,
                    deadline: taken.at + wait,
                    attempts: Vec::new(),
                };
                let Some(slot) = dataplane.budgets.flows.try_acquire() else {
                    warn!(
                        open = dataplane.budgets.flows.in_use(),
                        "no descriptors left for flows"
                    );
                    taken.refuse(rejection(None).as_bytes());
                    return None;
                };
                taken.caller.socket.replace_permit(slot);
                debug!(id = flow.id, line = %String::from_utf8_lossy(&taken.bytes[..length]), "taken");
                let line = taken.bytes[..length].to_vec();
                let who = known.who(&open, flow.class, flow.accepted_at);
                return Some(AdmittedFlow {
                    flow,
                    identity: who,
                    previous_server: at,
                    client: taken.caller,
                    line,
                    client_id: id,
                });
            }
            // We are asked only once the listener stands, and then can serve.
            Ok(First::Ping) => REPLY_PONG,
            Ok(First::Stats) => REPLY_NO_LOAD_REPORT,
            Err(why) => return refuse(taken, why),
        };
        debug!(answer = %String::from_utf8_lossy(answer).trim_end(), "asked");
        taken
            .caller
            .write(answer, clock::now() + LINGER_TIMEOUT)
            .ok()?;
        taken.bytes.copy_within(next..taken.held, 0);
        taken.held -= next;
        taken = taken.next_line(dataplane)?;
    }
    refuse(taken, "too many questions")
}

/// Answers a line that can't be used, and ends.
fn refuse(taken: AcceptedConnection, why: &str) -> Option<AdmittedFlow> {
    warn!(why, line = %String::from_utf8_lossy(&taken.bytes[..taken.line.length.min(200)]), "malformed first line");
    taken.refuse(REPLY_FAILED);
    None
}
