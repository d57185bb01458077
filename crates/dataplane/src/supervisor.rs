//! Parts of the process that should never end, and what becomes of it where one does. It owns nothing; it must never know
//! what a part does, and never end the process itself.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use tracing::error;

use crate::mailbox::Sender;
use crate::messages::DispatcherMessage;

/// How often in all a part is begun anew, and after how long: what fails more often won't get well.
const TRIES: usize = 20;
const PAUSE: Duration = Duration::from_millis(50);

/// Runs a part that should never end. Guards against a process that goes on without it, of no use to anybody: a fault
/// costs one round, and the process where it comes again and again.
pub fn supervise(part: &'static str, dispatcher: &Sender<DispatcherMessage>, run: impl Fn()) {
    for _ in 0..TRIES {
        let panicked = catch_unwind(AssertUnwindSafe(&run)).is_err();
        error!(part, panicked, "a part has ended; it is begun anew");
        may::coroutine::sleep(PAUSE);
    }
    dispatcher.send(DispatcherMessage::ServiceFailed(part));
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::sync::atomic::{AtomicUsize, Ordering};

    use nettlemux_policy::SEC;

    use super::*;
    use crate::clock;
    use crate::mailbox::Mailbox;

    /// Guards against a balancer that stays alive without its listener or its list.
    #[test]
    fn a_part_that_panics_is_begun_anew_and_in_the_end_given_up() {
        let messages = Mailbox::new();
        let (dispatcher, rounds) = (messages.sender(), Arc::new(AtomicUsize::new(0)));
        let counted = rounds.clone();
        may::go!(move || {
            supervise("the listener", &dispatcher, || {
                counted.fetch_add(1, Ordering::Relaxed);
                panic!("on purpose");
            });
        });
        let told = may::go!(move || messages.next(clock::now() + 10 * SEC))
            .join()
            .unwrap();
        assert!(matches!(
            told,
            Some(DispatcherMessage::ServiceFailed("the listener"))
        ));
        assert_eq!(rounds.load(Ordering::Relaxed), TRIES);
    }
}
