//! The signals: a thread of its own that waits for SIGTERM or SIGINT, which tell the desk to end, and for SIGHUP,
//! which reads the configuration again. It owns the signal handlers and what the configuration says now. It must
//! never end the process itself, and a file that is faulty must change nothing.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use nettlemux_core::discovery::Agent;
use nettlemux_core::mail::Sender;
use nettlemux_core::orders::Ask;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{error, info, warn};

use crate::config::{self, Config};

/// The thread's stack: it reads the configuration, whose JSON may be nested.
const STACK: usize = 1 << 20;

/// Takes over the signals. To be called before all else: until then SIGHUP ends the process. What comes before
/// [`listen`] waits.
pub fn catch() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT, SIGHUP])
}

pub fn listen(
    mut signals: Signals,
    file: Option<PathBuf>,
    mut config: Config,
    desk: Sender<Ask>,
    agent: Arc<Agent>,
) -> io::Result<()> {
    thread::Builder::new().name("signals".into()).stack_size(STACK).spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGHUP => reload(file.clone(), &mut config, &agent),
                _ => desk.send(Ask::Terminate),
            }
        }
    })?;
    Ok(())
}

fn reload(file: Option<PathBuf>, config: &mut Config, agent: &Agent) {
    let new = match config::load(file) {
        Ok(new) => new,
        Err(why) => return error!(%why, "not reloaded: nothing changes"),
    };
    for key in config.needing_a_restart(&new) {
        warn!(key, "a change of this key needs a restart");
    }
    info!(discovery = %new.discovery, changed = new.discovery != config.discovery, "reloaded");
    if new.discovery != config.discovery {
        config.discovery = new.discovery;
        agent.moves_to(new.discovery);
    }
}
