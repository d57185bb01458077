//! What all flows share, and the chain of stages that one flow passes: take in, admit, route, send, relay,
//! book. It owns the order of the stages and nothing else; it must never decide what becomes of a flow.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nettlemux_policy::Time;
use nettlemux_settings::Reports;

use crate::admit::{self, Admitted, Ids};
use crate::book::Book;
use crate::desk::{Ask, Order};
use crate::mail::Sender;
use crate::pool::{Buffers, Shares, Slot};
use crate::relay::relay;
use crate::route::{self, Next};
use crate::send::{Sent, called_off, send};
use crate::take_in::{self, Lobby};
use crate::wire::Known;

pub struct Core {
    pub desk: Sender<Ask>,
    pub buffers: Arc<Buffers>,
    pub shares: Shares,
    pub lobby: Arc<Lobby>,
    pub ids: Arc<Ids>,
    pub known: Known,
    pub reports: Reports,
    /// A connection that isn't made by then can't be made.
    pub dial_limit: Time,
    pub numbers: AtomicU64,
}

/// One client's connection, from its first byte to its last.
pub fn serve(core: &Arc<Core>, stream: TcpStream, slot: Slot) {
    let Some(taken) = take_in::first_line(core, stream, slot) else { return };
    let Some(Admitted { flow, at, caller, line, id }) = admit::admit(core, taken) else { return };
    let mut book = Book::open(core, &flow, caller, id);
    let asked = route::ask(core, &mut book, flow.clone(), at.as_deref());
    loop {
        let target = match route::order(&mut book) {
            Next::Order(Order::Connect(target)) => target,
            Next::Order(order) if at.is_some() => {
                drop(order);
                // Open before the run: asked for again until its server is there.
                match asked.again(core, &mut book) {
                    true => continue,
                    false => return book.abort(),
                }
            }
            Next::Order(Order::Reject(come_back)) => return book.reject(come_back),
            Next::Order(_) => return book.abort(),
            Next::Left => return book.left(),
        };
        match send(core, &mut book, &target, &line, at.is_some()) {
            Sent::Up(server, up) => return relay(core, book, &target, server, up),
            Sent::Ended(ended) if at.is_none() => {
                book.ended(&target, ended);
                // The client left meanwhile, so nothing more will be ordered.
                if !book.owed() {
                    return;
                }
            }
            Sent::Ended(_) => match asked.again(core, &mut book) {
                true => {}
                false => return book.abort(),
            },
            Sent::Left => {
                called_off(&book, &target);
                return book.left();
            }
        }
    }
}

impl Core {
    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}
