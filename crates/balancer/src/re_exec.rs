//! Executes the program anew after a start that failed. The coroutine runtime panics where it can't
//! make its selector or its threads, and can't be started a second time in one process; what it
//! lacked may be there a moment later. It must never be used once a client is served.

use std::convert::Infallible;
use std::env;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// The environment variable that counts the executions so far.
const COUNT_VARIABLE: &str = "NETTLEMUX_STARTS";
/// With the interval, 4 s in all.
const RE_EXECS_MAX: u32 = 20;
const RE_EXEC_INTERVAL: Duration = Duration::from_millis(200);

/// Why the program can't be executed anew.
#[derive(Debug, thiserror::Error)]
pub enum ReExecError {
    /// The program has been executed anew as often as is allowed.
    #[error("the system has no means for the runtime")]
    TooOften,
    /// The program's own file isn't known.
    #[error("the runtime didn't start, and the program isn't found: {0}")]
    ProgramNotFound(#[source] io::Error),
    /// The system refuses to execute it.
    #[error("the runtime didn't start, and the program can't begin anew: {0}")]
    Failed(#[source] io::Error),
}

/// Executes the program from its beginning, in this process. Returns only if it can't.
///
/// # Errors
/// If it was executed too often already, or the system refuses.
pub fn re_exec() -> Result<Infallible, ReExecError> {
    let count = env::var(COUNT_VARIABLE)
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(0_u32);
    if count >= RE_EXECS_MAX {
        return Err(ReExecError::TooOften);
    }
    thread::sleep(RE_EXEC_INTERVAL);
    let program = env::current_exe().map_err(ReExecError::ProgramNotFound)?;
    let mut command = Command::new(program);
    command
        .args(env::args_os().skip(1))
        .env(COUNT_VARIABLE, (count + 1).to_string());
    Err(ReExecError::Failed(command.exec()))
}
