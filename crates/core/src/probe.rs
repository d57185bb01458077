//! Probes: one coroutine for each server, which asks it for its load when the desk says so and tells the desk
//! what came of it. It owns the connection that it asks over, which stays open between probes, since a new one
//! costs the server work. It must never probe by itself and never hold up anyone but itself.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use may::sync::mpsc::{Receiver, Sender as Line, channel};
use nettlemux_policy::{MS, Report, Rs, Time};
use tracing::{debug, warn};

use crate::clock;
use crate::mail::{Mailbox, Sender};
use crate::net::Caller;
use crate::orders::{Ask, Server};
use crate::pool::{Buffers, Descriptors};
use crate::shared::Terms;
use crate::wire;

/// A probe that has brought nothing by then has failed. Well inside the module's shortest probe interval, and
/// far above what a server that still serves messages takes to answer.
const LONGEST: Time = 500 * MS;

/// Descriptors that probes leave to discovery: its call, and the next when that is dropped.
const WATCH: usize = 2;
/// And those that no probe keeps between two of its own.
const IN_TURN: usize = 6;

#[derive(Clone)]
pub struct Means {
    pub desk: Sender<Ask>,
    pub descriptors: Arc<Descriptors>,
    pub buffers: Arc<Buffers>,
    pub terms: Arc<Terms>,
}

pub struct Prober {
    means: Means,
    lines: BTreeMap<Rs, Line<Arc<Server>>>,
}

impl Prober {
    pub fn new(means: Means) -> Self {
        Prober { means, lines: BTreeMap::new() }
    }

    pub fn probe(&mut self, rs: Rs, server: Arc<Server>) {
        let means = &self.means;
        let line = self.lines.entry(rs).or_insert_with(|| {
            let (sender, receiver) = channel();
            let means = means.clone();
            may::go!(move || serve(rs, receiver, means));
            sender
        });
        let _ = line.send(server);
    }

    /// Lets go of servers that are no longer listed, and of the connections to them.
    pub fn keep(&mut self, listed: impl Fn(Rs) -> bool) {
        self.lines.retain(|rs, _| listed(*rs));
    }
}

fn serve(rs: Rs, asked: Receiver<Arc<Server>>, means: Means) {
    let mut open: Option<(Arc<Server>, Caller)> = None;
    while let Ok(server) = asked.recv() {
        let until = clock::now() + LONGEST;
        // A connection that was left open may have ended meanwhile: one more try over a new one.
        let kept = open.take().filter(|(to, _)| Arc::ptr_eq(to, &server));
        let again = kept.is_some();
        let mut result = probe(kept.map(|k| k.1), &server, &means, until);
        if again && result.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::TimedOut) {
            result = probe(None, &server, &means, until);
        }
        let (passed, report) = match result {
            Ok((caller, passed, report)) => {
                // Guards against more servers than descriptors: the last few are used in turn.
                open = means.descriptors.room(IN_TURN).then(|| (server.clone(), caller));
                (passed, report)
            }
            // Our own want must not count against the server: it is asked when it is due again.
            Err(e) if e.kind() == io::ErrorKind::QuotaExceeded => {
                warn!(server = server.name, "no descriptor left for a probe");
                continue;
            }
            Err(e) => {
                debug!(server = server.name, error = %e, "probe fails");
                (false, Report::default())
            }
        };
        means.desk.send(Ask::Probed { rs, passed, report });
    }
}

fn probe(
    kept: Option<Caller>,
    server: &Server,
    means: &Means,
    until: Time,
) -> io::Result<(Caller, bool, Report)> {
    let caller = match kept {
        Some(caller) => caller,
        None => {
            let slot = means.descriptors.take(WATCH).ok_or(io::ErrorKind::QuotaExceeded)?;
            Caller::dial(Mailbox::new(), server.address, slot, until)?
        }
    };
    let term = means.terms.now();
    caller.write(if term.stats { b"STATS\r\n" } else { b"PING\r\n" }, until)?;
    let mut bytes = means.buffers.take();
    let mut held = 0;
    let (length, _) = caller.line(&mut bytes[..], &mut held, until)?;
    let (passed, report) = wire::probed(&bytes[..length], &term.reports);
    debug!(server = server.name, answer = %String::from_utf8_lossy(&bytes[..length]), "probe");
    Ok((caller, passed, report))
}
