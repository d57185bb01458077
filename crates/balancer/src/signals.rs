//! Signal handling. A dedicated thread waits for signals: on SIGTERM or SIGINT it tells the
//! dispatcher to terminate, on SIGHUP it reloads the files. This module owns the signal handlers
//! and must never exit the process itself.

use std::ffi::c_int;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

use nettlemux_dataplane::clock;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::DispatcherMessage;
use nettlemux_dataplane::retry;
use nettlemux_policy::Time;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{debug, error};

use crate::reload::Reloader;

/// The size of the signal thread's stack. A reload parses JSON, which may be deeply nested.
const SIGNAL_THREAD_STACK_BYTES: usize = 1 << 20;

/// A file that is invalid on SIGHUP may still be in the process of being written, so the reload is
/// retried for 3 s in all. This ends before a new configuration has to be in force, 4 s after its
/// signal.
const RELOAD_ATTEMPTS_MAX: u32 = 31;
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A reload that hasn't succeeded yet.
struct PendingReload {
    /// When the first signal came that asked for it.
    signalled_at: Time,
    attempts_left: u32,
}

/// Installs the signal handlers. Must be called first: until then SIGHUP terminates the process.
/// Signals received before [`spawn_handler_thread`] is called are kept for it.
///
/// # Errors
/// If the handlers can't be installed, even after retries for a few seconds.
pub fn install_handlers() -> io::Result<Signals> {
    retry::retry_transient(|| Signals::new([SIGTERM, SIGINT, SIGHUP]))
}

/// Starts the thread that handles signals.
///
/// # Errors
/// If the thread can't be started.
pub fn spawn_handler_thread(
    signals: Signals,
    reloader: Reloader,
    dispatcher: Sender<DispatcherMessage>,
) -> io::Result<()> {
    thread::Builder::new()
        .name("signals".into())
        .stack_size(SIGNAL_THREAD_STACK_BYTES)
        .spawn(move || handle_signals(signals, reloader, &dispatcher))?;
    Ok(())
}

fn handle_signals(
    mut signals: Signals,
    mut reloader: Reloader,
    dispatcher: &Sender<DispatcherMessage>,
) -> ! {
    let mut reload = None;
    loop {
        let received = match reload {
            Some(_) => signals_before_retry(&mut signals),
            None => signals.wait().collect(),
        };
        for signal in received {
            match signal {
                SIGHUP => reload = Some(requested_reload(reload)),
                _ => dispatcher.send(DispatcherMessage::Terminate),
            }
        }
        reload = reload.and_then(|reload| attempt_reload(&mut reloader, reload));
    }
}

/// Returns the reload that a SIGHUP asks for now, while `pending` hasn't succeeded.
fn requested_reload(pending: Option<PendingReload>) -> PendingReload {
    PendingReload {
        signalled_at: pending.map_or_else(clock::now, |pending| pending.signalled_at),
        attempts_left: RELOAD_ATTEMPTS_MAX,
    }
}

/// Waits for [`RELOAD_RETRY_INTERVAL`] and returns the signals received meanwhile.
fn signals_before_retry(signals: &mut Signals) -> Vec<c_int> {
    thread::sleep(RELOAD_RETRY_INTERVAL);
    signals.pending().collect()
}

/// Attempts a reload. Returns it if it failed and has attempts left.
fn attempt_reload(reloader: &mut Reloader, reload: PendingReload) -> Option<PendingReload> {
    let attempts_left = reload.attempts_left.saturating_sub(1);
    let attempt = || reloader.reload(reload.signalled_at);
    // Without this, a panic during a reload would end the thread, and SIGTERM would have no effect.
    match catch_unwind(AssertUnwindSafe(attempt)) {
        Ok(Ok(())) => None,
        Ok(Err(error)) if attempts_left > 0 => {
            debug!(%error, attempts_left, "reload failed; retrying");
            Some(PendingReload {
                attempts_left,
                ..reload
            })
        }
        Ok(Err(error)) => {
            error!(%error, "reload failed; the configuration in force is unchanged");
            None
        }
        Err(_) => {
            error!("reload panicked");
            None
        }
    }
}
