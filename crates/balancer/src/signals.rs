//! The signals: a thread of its own waits for SIGTERM and SIGINT, which tell the dispatcher to end,
//! and for SIGHUP, which reloads the files. It owns the signal handlers and must never end the
//! process itself.

use std::ffi::c_int;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::DispatcherMessage;
use nettlemux_dataplane::retry;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{debug, error};

use crate::reload::Reloader;

/// The thread's stack: a reload parses JSON, which may be nested.
const STACK_BYTES: usize = 1 << 20;

/// A file that can't be used when SIGHUP comes may still be being written: it is read again, for 3
/// s in all, as a configuration counts 4 s after its signal.
const RELOAD_ATTEMPTS_MAX: u32 = 31;
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Catches the signals. It must be called before all else: until then SIGHUP ends the process.
/// Signals that come before [`listen`] are kept for it.
///
/// # Errors
/// If the system refuses the handlers, now and a few seconds later.
pub fn catch() -> io::Result<Signals> {
    retry::retry_transient(|| Signals::new([SIGTERM, SIGINT, SIGHUP]))
}

/// Starts the thread that acts on signals.
///
/// # Errors
/// If the thread can't be started.
pub fn listen(
    signals: Signals,
    reloader: Reloader,
    dispatcher: Sender<DispatcherMessage>,
) -> io::Result<()> {
    thread::Builder::new()
        .name("signals".into())
        .stack_size(STACK_BYTES)
        .spawn(move || act_on_signals(signals, reloader, &dispatcher))?;
    Ok(())
}

fn act_on_signals(
    mut signals: Signals,
    mut reloader: Reloader,
    dispatcher: &Sender<DispatcherMessage>,
) -> ! {
    let mut reload_attempts_left = 0;
    loop {
        let received = if reload_attempts_left > 0 {
            signals_before_retry(&mut signals)
        } else {
            signals.wait().collect()
        };
        for signal in received {
            match signal {
                SIGHUP => reload_attempts_left = RELOAD_ATTEMPTS_MAX,
                _ => dispatcher.send(DispatcherMessage::Terminate),
            }
        }
        if reload_attempts_left > 0 {
            reload_attempts_left = attempt_reload(&mut reloader, reload_attempts_left - 1);
        }
    }
}

/// Returns the signals that come before the next attempt to reload.
fn signals_before_retry(signals: &mut Signals) -> Vec<c_int> {
    thread::sleep(RELOAD_RETRY_INTERVAL);
    signals.pending().collect()
}

/// Attempts a reload; returns how many attempts are left, none after one that succeeded.
fn attempt_reload(reloader: &mut Reloader, attempts_left: u32) -> u32 {
    // Guards against a balancer that no longer hears SIGTERM since a reload has panicked.
    match catch_unwind(AssertUnwindSafe(|| reloader.reload())) {
        Ok(Ok(())) => 0,
        Ok(Err(error)) if attempts_left > 0 => {
            debug!(%error, attempts_left, "reload failed, will be retried");
            attempts_left
        }
        Ok(Err(error)) => {
            error!(%error, "reload failed, nothing changes");
            0
        }
        Err(_) => {
            error!("a reload panicked");
            0
        }
    }
}
