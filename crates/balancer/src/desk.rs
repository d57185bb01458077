//! The desk: sole owner of the decision module, of the flows in hand and of the module's timer. Other
//! coroutines ask it by channel and get orders in return. It must never do I/O or wait for anything but its
//! channel, and it decides nothing itself: where flows go, what is tried again, moved or given up is the
//! module's word.

use std::collections::{BTreeMap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use nettlemux_policy::{
    Connect, End, Flow, FlowId, Listed, MS, Outcome, Place, Policy, Report, Rs, SEC, State, Time, Todo,
};
use tracing::{debug, error, info, warn};

use crate::clock;
use crate::discovery::Entry;
use crate::mail::{Mailbox, Sender};
use crate::net::Event;
use crate::probe::Prober;

/// What the desk is asked or told.
pub enum Ask {
    Place {
        flow: Flow,
        mail: Sender<Event>,
    },
    /// A connection that was open at that server before the run.
    Inherit {
        flow: Flow,
        at: String,
        mail: Sender<Event>,
    },
    Established {
        flow: FlowId,
        took: Time,
    },
    Ended {
        flow: FlowId,
        rs: Rs,
        number: usize,
        end: End,
        never_ran: bool,
        report: Report,
    },
    Load {
        flow: FlowId,
        load: f64,
    },
    /// The client went away.
    Left {
        flow: FlowId,
    },
    /// Nothing more comes of this flow.
    Over {
        flow: FlowId,
    },
    Probed {
        rs: Rs,
        passed: bool,
        report: Report,
    },
    List {
        entries: Vec<Entry>,
        whole: bool,
    },
    ListFailed,
    /// The balancer is to end.
    Terminate,
}

/// What a flow's coroutine is told to do.
pub enum Order {
    Connect(Target),
    Reject(Option<Time>),
    Abort,
    /// Send the client away.
    Move,
    /// Stop waiting for the connect, as the client is gone.
    CallOff,
    /// Stop waiting for the connect: its time is up.
    TimeUp,
}

/// Where a connect goes and how long it is waited for.
pub struct Target {
    pub rs: Rs,
    pub number: usize,
    pub server: Arc<Server>,
    pub until: Time,
}

/// A server as the list has it now. Shared with those that send, who look again just before they do.
pub struct Server {
    pub name: String,
    pub address: std::net::SocketAddr,
    ready: AtomicBool,
}

impl Server {
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }
}

struct InHand {
    flow: Flow,
    mail: Sender<Event>,
    /// Still owed an answer.
    owed: bool,
    /// Where it was open before the run.
    at: Option<Rs>,
}

/// Names of the wire and the numbers that the module has for them, in order of arrival.
#[derive(Default)]
struct Names(HashMap<String, u64>);

impl Names {
    fn of(names: Vec<String>) -> Self {
        Names(names.into_iter().zip(0..).collect())
    }

    fn number(&mut self, name: &str) -> u64 {
        let next = self.0.len() as u64;
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

/// Time that is left after the last answer for what is still to be moved: SIGKILL comes 0.7 s after it at the
/// earliest.
const LAST_MOVES: Time = 200 * MS;
/// Between one move and the next, and how often what is due while ending is looked at.
const STEP: Time = 50 * MS;
/// What is owed an answer is given up once the longest connect timeout has passed, and this at the latest:
/// SIGKILL comes 0.7 s after that.
pub const LAST_ANSWER: Time = 3 * SEC;
/// Then all has been said after so long.
const EXIT: Time = 500 * MS;

pub struct Desk {
    policy: Policy,
    asks: Mailbox<Ask>,
    flows: BTreeMap<FlowId, InHand>,
    /// Flows to ask about again.
    held: Vec<FlowId>,
    servers: BTreeMap<Rs, Arc<Server>>,
    ids: Names,
    halls: Names,
    machines: Names,
    cells: Names,
    prober: Prober,
    /// The next time at which the module wants to be asked.
    due: Option<Time>,
    terminated: Option<Time>,
    last_answer: Time,
    next_move: Time,
    moved_up_to: FlowId,
    given_up: bool,
}

impl Desk {
    pub fn new(
        policy: Policy,
        asks: Mailbox<Ask>,
        halls: Vec<String>,
        machines: Vec<String>,
        prober: Prober,
        last_answer: Time,
    ) -> Self {
        Desk {
            policy,
            asks,
            flows: BTreeMap::new(),
            held: Vec::new(),
            servers: BTreeMap::new(),
            ids: Names::default(),
            halls: Names::of(halls),
            machines: Names::of(machines),
            cells: Names::default(),
            prober,
            due: None,
            terminated: None,
            last_answer,
            next_move: 0,
            moved_up_to: 0,
            given_up: false,
        }
    }

    /// Answers until the balancer ends.
    pub fn run(mut self) {
        loop {
            let now = clock::now();
            if let Some(wait) = self.policy.wait(now) {
                // Never at once again, so that a due time that is not met can't keep the core busy.
                let at = now + wait.max(MS);
                self.due = Some(self.due.map_or(at, |due| due.min(at)));
            }
            // Something is due soon while ending.
            let ending = self.terminated.map(|_| now + STEP);
            let until = [self.due, ending].into_iter().flatten().min().unwrap_or(now + SEC);
            let ask = self.asks.next(until);
            let flow = match &ask {
                Some(Ask::Place { flow, .. }) => Some(flow.id),
                Some(Ask::Ended { flow, .. }) => Some(*flow),
                _ => None,
            };
            // Guards against a fault in one decision that takes every flow with it.
            if catch_unwind(AssertUnwindSafe(|| self.turn(ask))).is_err() {
                error!(?flow, "a decision panicked; its flow is aborted");
                if let Some(id) = flow {
                    self.answer(clock::now(), id, Place::Abort);
                }
            }
            if self.terminated.is_some_and(|at| self.ending(at)) {
                return;
            }
        }
    }

    fn turn(&mut self, ask: Option<Ask>) {
        let now = clock::now();
        if let Some(ask) = ask {
            self.handle(now, ask);
        }
        if self.due.is_some_and(|due| due <= now) {
            self.due = None;
            let todo = self.policy.after(now, Outcome::Elapsed);
            for id in std::mem::take(&mut self.held) {
                if let Some(in_hand) = self.flows.get(&id).filter(|f| f.owed) {
                    let place = self.policy.place(now, &in_hand.flow);
                    self.answer(now, id, place);
                }
            }
            self.carry_out(todo);
        }
    }

    fn handle(&mut self, now: Time, ask: Ask) {
        match ask {
            Ask::Place { flow, mail } => {
                let place = self.policy.place(now, &flow);
                let id = flow.id;
                self.flows.insert(id, InHand { flow, mail, owed: true, at: None });
                self.answer(now, id, place);
            }
            Ask::Inherit { flow, at, mail } => {
                let rs = self.ids.number(&at);
                let server = self.servers.get(&rs);
                let order = server.map_or(Order::Abort, |server| {
                    Order::Connect(Target { rs, number: 0, server: server.clone(), until: flow.give_up })
                });
                mail.send(Event::Order(order));
                self.flows.insert(flow.id, InHand { flow, mail, owed: false, at: Some(rs) });
            }
            Ask::Established { flow, took } => {
                let Some(in_hand) = self.flows.get_mut(&flow) else { return };
                in_hand.owed = false;
                if let Some(rs) = in_hand.at {
                    self.policy.inherit(&in_hand.flow, rs);
                } else {
                    let todo = self.policy.after(now, Outcome::Established { flow, took });
                    self.carry_out(todo);
                }
            }
            Ask::Ended { flow, rs, number, end, never_ran, report } => {
                self.reported(now, rs, report);
                let Some(in_hand) = self.flows.get_mut(&flow) else { return };
                if let Some(connect) = in_hand.flow.connects.get_mut(number) {
                    (connect.out, connect.never_ran) = (false, never_ran);
                }
                let owed = in_hand.owed.then_some(&in_hand.flow);
                let todo = self.policy.after(now, Outcome::Ended { flow, rs, end, owed });
                if let Some(place) = todo.place {
                    self.answer(now, flow, place);
                }
                self.carry_out(todo);
            }
            Ask::Load { flow, load } => self.policy.told_load(flow, load),
            Ask::Left { flow } => {
                if let Some(in_hand) = self.flows.get_mut(&flow) {
                    in_hand.owed = false;
                }
                let todo = self.policy.after(now, Outcome::Left { flow });
                self.carry_out(todo);
            }
            Ask::Over { flow } => drop(self.flows.remove(&flow)),
            Ask::Probed { rs, passed, report } => {
                let todo = self.policy.after(now, Outcome::Probed { rs, passed, report });
                self.carry_out(todo);
            }
            Ask::List { entries, whole } => self.list(now, entries, whole),
            Ask::ListFailed => self.policy.list_failed(now),
            Ask::Terminate => {
                info!(flows = self.flows.len(), "asked to end");
                self.terminated.get_or_insert(now);
            }
        }
    }

    /// A load report that came with an answer counts like a probe's: it is the server's own word.
    fn reported(&mut self, now: Time, rs: Rs, report: Report) {
        if report.beta.is_some() {
            let todo = self.policy.after(now, Outcome::Probed { rs, passed: true, report });
            self.carry_out(todo);
        }
    }

    fn list(&mut self, now: Time, entries: Vec<Entry>, whole: bool) {
        let mut listed = Vec::new();
        let mut told = Vec::new();
        for entry in entries {
            let rs = self.ids.number(&entry.name);
            told.push(rs);
            listed.push(Listed {
                rs,
                hall: self.halls.number(&entry.zone),
                machine: self.machines.number(&entry.machine),
                cell: self.cells.number(&entry.cell),
                state: entry.state,
                weight: entry.weight,
                started: entry.started,
            });
            let ready = entry.state == State::Ready;
            match self.servers.get(&rs) {
                Some(server) if server.address == entry.address => {
                    if server.ready.swap(ready, Ordering::AcqRel) != ready {
                        info!(server = server.name, state = ?entry.state, "list");
                    }
                }
                old => {
                    if let Some(old) = old {
                        old.ready.store(false, Ordering::Release);
                    }
                    let hall = self.halls.number(&entry.zone);
                    info!(server = entry.name, address = %entry.address, state = ?entry.state, zone = entry.zone, hall, "list: new");
                    let server =
                        Server { name: entry.name, address: entry.address, ready: AtomicBool::new(ready) };
                    self.servers.insert(rs, Arc::new(server));
                }
            }
        }
        if whole {
            self.servers.retain(|rs, server| {
                let stays = told.contains(rs);
                if !stays {
                    info!(server = server.name, "list: gone");
                    server.ready.store(false, Ordering::Release);
                }
                stays
            });
        }
        for gone in listed.iter().filter(|entry| entry.state == State::Gone) {
            self.servers.remove(&gone.rs);
        }
        let servers = &self.servers;
        self.prober.keep(|rs| servers.contains_key(&rs));
        self.policy.list(now, &listed, whole);
    }

    fn answer(&mut self, now: Time, id: FlowId, place: Place) {
        let Some(in_hand) = self.flows.get_mut(&id) else { return };
        let order = match place {
            Place::To(rs, limit) => {
                in_hand.flow.connects.push(Connect { rs, at: now, out: true, never_ran: false });
                let number = in_hand.flow.connects.len() - 1;
                match self.servers.get(&rs) {
                    Some(server) => {
                        let server = server.clone();
                        Order::Connect(Target { rs, number, server, until: now + limit })
                    }
                    None => {
                        warn!(id, rs, "the module names a server without an address");
                        in_hand.owed = false;
                        Order::Abort
                    }
                }
            }
            Place::NotYet => {
                debug!(id, "not yet");
                return self.held.push(id);
            }
            Place::Reject(come_back) => {
                in_hand.owed = false;
                Order::Reject(come_back)
            }
            Place::Abort => {
                in_hand.owed = false;
                Order::Abort
            }
        };
        in_hand.mail.send(Event::Order(order));
    }

    fn carry_out(&mut self, todo: Todo) {
        for rs in todo.probe {
            if let Some(server) = self.servers.get(&rs) {
                self.prober.probe(rs, server.clone());
            }
        }
        if !todo.shift.is_empty() {
            info!(count = todo.shift.len(), "moving connections off a hot server");
        }
        for id in todo.shift {
            self.order(id, Order::Move);
        }
        for id in todo.call_off {
            self.order(id, Order::CallOff);
        }
        // `ask_list`: the watch always runs, so there is nothing to ask for.
    }

    fn order(&self, id: FlowId, order: Order) {
        if let Some(in_hand) = self.flows.get(&id) {
            in_hand.mail.send(Event::Order(order));
        }
    }

    /// What is due on the way to the end; whether the end has come.
    fn ending(&mut self, since: Time) -> bool {
        let now = clock::now();
        let passed = now.saturating_sub(since);
        // Late, since the connections are sound and others may be restarting with us, and spread, so that clients
        // don't come to those all at once. Nor too early: the front sends us new ones for up to 0.4 s, and they
        // would come straight back.
        let move_until = self.last_answer + LAST_MOVES;
        if passed >= self.last_answer / 2 && now >= self.next_move {
            // Guards against one step for each thing that the desk is told: each move is told, and so moved the
            // next, and all clients went within 10 ms.
            self.next_move = now + STEP;
            // Each is moved once, in order; those that are on their way up are told too and go once they are up.
            let left = self.flows.range(self.moved_up_to..).count();
            let turns = (move_until.saturating_sub(passed) / STEP).max(1) as usize;
            let ids: Vec<FlowId> =
                self.flows.range(self.moved_up_to..).take(left.div_ceil(turns)).map(|(id, _)| *id).collect();
            for id in ids {
                self.order(id, Order::Move);
                self.moved_up_to = id + 1;
            }
        }
        if passed >= self.last_answer && !self.given_up {
            self.given_up = true;
            for in_hand in self.flows.values_mut().filter(|f| f.owed) {
                in_hand.flow.give_up = in_hand.flow.give_up.min(now);
                in_hand.mail.send(Event::Order(Order::TimeUp));
            }
        }
        passed >= self.last_answer + EXIT || passed >= move_until && self.flows.is_empty()
    }
}
