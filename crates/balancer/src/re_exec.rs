//! Re-executes the program after a failed start. The coroutine runtime panics if it can't create
//! its selector or its threads, and it can't be started a second time in the same process. The
//! missing resource may be available a moment later, so a new start may succeed. Must never be used
//! once a client is served.

use std::convert::Infallible;
use std::env;
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// The environment variable that holds the number of re-executions so far.
const RE_EXEC_COUNT_VARIABLE: &str = "NETTLEMUX_STARTS";
/// With [`RE_EXEC_INTERVAL`] this gives the runtime 4 s to start.
const RE_EXECS_MAX: u32 = 20;
const RE_EXEC_INTERVAL: Duration = Duration::from_millis(200);

/// Why the program can't be re-executed.
#[derive(Debug, thiserror::Error)]
pub enum ReExecError {
    /// The program has already been re-executed [`RE_EXECS_MAX`] times.
    #[error(
        "the coroutine runtime can't start, even after {RE_EXECS_MAX} re-executions of the program"
    )]
    TooManyReExecs,
    /// The path of the program's own executable can't be determined.
    #[error("the coroutine runtime can't start, and the program's executable can't be found: {0}")]
    ExecutableNotFound(#[source] io::Error),
    /// The `exec` call failed.
    #[error("the coroutine runtime can't start, and the program can't be re-executed: {0}")]
    ExecFailed(#[source] io::Error),
}

/// Re-executes the program in this process, with the same arguments. Returns only on failure.
///
/// # Errors
/// If the program has already been re-executed [`RE_EXECS_MAX`] times, or the `exec` call fails.
pub fn re_exec() -> Result<Infallible, ReExecError> {
    let count = env::var(RE_EXEC_COUNT_VARIABLE)
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(0_u32);
    if count >= RE_EXECS_MAX {
        return Err(ReExecError::TooManyReExecs);
    }
    thread::sleep(RE_EXEC_INTERVAL);
    let program = env::current_exe().map_err(ReExecError::ExecutableNotFound)?;
    let mut command = Command::new(program);
    command
        .args(env::args_os().skip(1))
        .env(RE_EXEC_COUNT_VARIABLE, (count + 1).to_string());
    Err(ReExecError::ExecFailed(command.exec()))
}
