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

/// What SIGHUP reads again, and what it says now.
pub struct Reload {
    pub file: Option<PathBuf>,
    pub operator: Option<PathBuf>,
    /// The seed of the door's keys, where there is a door.
    pub door_seed: Option<u64>,
    pub config: Config,
}

pub fn listen(
    mut signals: Signals,
    mut reload: Reload,
    desk: Sender<Ask>,
    agent: Arc<Agent>,
) -> io::Result<()> {
    thread::Builder::new().name("signals".into()).stack_size(STACK).spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGHUP => reload.again(&agent, &desk),
                _ => desk.send(Ask::Terminate),
            }
        }
    })?;
    Ok(())
}

impl Reload {
    fn again(&mut self, agent: &Agent, desk: &Sender<Ask>) {
        // Both are read before either acts: a faulty one changes nothing.
        let read = config::load(self.file.clone()).map_err(|e| e.to_string());
        let read = read.and_then(|new| Ok((new, config::operator(self.operator.as_deref())?)));
        let (new, operator) = match read {
            Ok(read) => read,
            Err(why) => return error!(%why, "not reloaded: nothing changes"),
        };
        for key in self.config.needing_a_restart(&new) {
            warn!(key, "a change of this key needs a restart");
        }
        match (&operator.door, self.door_seed) {
            (Some(keys), Some(seed)) => desk.send(Ask::Door(config::door(keys, seed, 0))),
            (None, None) => {}
            _ => warn!(key = "door", "a change of this key needs a restart"),
        }
        info!(discovery = %new.discovery, changed = new.discovery != self.config.discovery, "reloaded");
        if new.discovery != self.config.discovery {
            self.config.discovery = new.discovery;
            agent.moves_to(new.discovery);
        }
    }
}
