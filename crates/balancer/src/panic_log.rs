//! Logs panics. The standard library's own report writes to standard error on the thread that has
//! panicked, with a backtrace if the environment asks for one. On the worker thread this would hold
//! up all flows: for tens of milliseconds while a backtrace is resolved, and for good while nobody
//! reads standard error. This module must never wait for a reader of the log.

use std::any::Any;
use std::panic::{self, PanicHookInfo};

use tracing::error;

/// Logs each later panic of any thread as one line with its message and place, in place of the
/// standard library's report. The log must have been started.
pub fn install() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo) {
    let location = info.location().map(ToString::to_string);
    let location = location.unwrap_or_default();
    error!(
        message = "panicked",
        reason = reason(info.payload()),
        location
    );
}

/// Returns the panic's message; empty if its payload is not a text.
fn reason(payload: &dyn Any) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    let formatted = || payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(formatted).unwrap_or_default()
}

#[cfg(test)]
mod tests;
