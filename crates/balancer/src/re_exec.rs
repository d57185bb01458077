//! A start that begins anew. The coroutines' runtime panics where it can't make its selector or its threads, and can't be
//! started a second time in one program; what it wanted may be there a moment later. It must never be used once anybody is
//! served.

use std::env;
use std::os::unix::process::CommandExt;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// Tells a program that was begun anew how often.
const COUNT: &str = "NETTLEMUX_STARTS";
/// So often, and at such intervals: 4 s in all.
const RESTARTS_MAX: u32 = 20;
const INTERVAL: Duration = Duration::from_millis(200);

/// Runs the program from its beginning, in this process; returns why where it can't.
pub fn re_exec() -> String {
    let count = env::var(COUNT)
        .ok()
        .and_then(|count| count.parse().ok())
        .unwrap_or(0_u32);
    if count >= RESTARTS_MAX {
        return "the system has no means for the runtime".into();
    }
    thread::sleep(INTERVAL);
    let program = match env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            return format!("the runtime didn't start, and the program isn't found: {error}");
        }
    };
    let mut again = Command::new(program);
    again
        .args(env::args_os().skip(1))
        .env(COUNT, (count + 1).to_string());
    format!(
        "the runtime didn't start, and the program can't begin anew: {}",
        again.exec()
    )
}
