//! The chain of stages that one admitted flow passes: route, send, relay, book. It owns the order of the stages and
//! nothing else; it must never decide what becomes of a flow.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::time::Duration;

use tracing::error;

use crate::book::Book;
use crate::mail::Sender;
use crate::orders::{Ask, Order};
use crate::relay::relay;
use crate::route::{self, Next};
use crate::send::{Sent, called_off, send};
use crate::shared::{Admitted, Core};

/// How often in all a part is begun anew, and after how long: what fails more often won't get well.
const TRIES: usize = 20;
const PAUSE: Duration = Duration::from_millis(50);

/// Runs a part that should never end. Guards against a process that goes on without it, of no use to anybody: a fault
/// costs one round, and the process where it comes again and again.
pub fn keep_up(part: &'static str, desk: &Sender<Ask>, run: impl Fn()) {
    for _ in 0..TRIES {
        let panicked = catch_unwind(AssertUnwindSafe(&run)).is_err();
        error!(part, panicked, "a part has ended; it is begun anew");
        may::coroutine::sleep(PAUSE);
    }
    desk.send(Ask::Broken(part));
}

/// One flow, from its admission on, until its connection has ended.
pub fn serve(core: &Arc<Core>, admitted: Admitted) {
    let Admitted { flow, who, at, caller, line, id } = admitted;
    let mut book = Book::open(core, &flow, caller, id);
    let asked = route::ask(core, &mut book, flow.clone(), who, at.as_deref());
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

#[cfg(test)]
mod tests {
    use std::sync::atomic::{AtomicUsize, Ordering};

    use super::*;
    use crate::clock;
    use crate::mail::Mailbox;

    /// Guards against a balancer that stays alive without its listener or its list.
    #[test]
    fn a_part_that_panics_is_begun_anew_and_in_the_end_given_up() {
        let asks = Mailbox::new();
        let (desk, rounds) = (asks.sender(), Arc::new(AtomicUsize::new(0)));
        let counted = rounds.clone();
        may::go!(move || {
            keep_up("the listener", &desk, || {
                counted.fetch_add(1, Ordering::Relaxed);
                panic!("on purpose");
            });
        });
        let told = may::go!(move || asks.next(clock::now() + 10_000_000_000)).join().unwrap();
        assert!(matches!(told, Some(Ask::Broken("the listener"))));
        assert_eq!(rounds.load(Ordering::Relaxed), TRIES);
    }
}
