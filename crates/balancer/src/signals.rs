//! The signals: a thread of its own that waits for SIGTERM or SIGINT, which tell the desk to end, and for SIGHUP,
//! which reads the configuration again. It owns the signal handlers and what the configuration says now. It must
//! never end the process itself, and a file that is faulty must change nothing.

use std::ffi::c_int;
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use nettlemux_dataplane::discovery::Agent;
use nettlemux_dataplane::gossip::Peers;
use nettlemux_dataplane::mailbox::Sender;
use nettlemux_dataplane::messages::DispatcherMessage;
use nettlemux_dataplane::retry;
use nettlemux_dataplane::runtime_settings::SharedSettings;
use nettlemux_line_protocol::acceptor::Acceptor;
use nettlemux_line_protocol::settings::FirstLineSettings;
use nettlemux_settings::Settings;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tracing::{debug, error, info, warn};

use crate::config::{self, Config};

/// The thread's stack: it reads the configuration, whose JSON may be nested.
const STACK: usize = 1 << 20;

/// A configuration that can't be read as SIGHUP comes, or is still being written, is read again so often, at such intervals:
/// 3 s in all, since what it says counts 4 s after the signal.
const RELOAD_TRIES: u32 = 31;
const RELOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Takes over the signals. To be called before all else: until then SIGHUP ends the process. What comes before
/// [`listen`] waits.
pub fn catch() -> io::Result<Signals> {
    retry::retry_transient(|| Signals::new([SIGTERM, SIGINT, SIGHUP]))
}

/// What SIGHUP reads again, and what it says now.
pub struct Reload {
    /// The settings as the file had them last; those in force keep the places of what was named before.
    pub in_file: Settings,
    pub runtime_settings: Arc<SharedSettings>,
    pub front: Arc<Acceptor>,
    /// The way to the other balancers, where there is one, and where it listens.
    pub peers: Option<(SocketAddr, Arc<Peers>)>,
    pub file: Option<PathBuf>,
    pub operator: Option<PathBuf>,
    /// The seed of the door's keys, where there is a door.
    pub admission_seed: Option<u64>,
    pub config: Config,
}

pub fn listen(
    mut signals: Signals,
    mut reload: Reload,
    dispatcher: Sender<DispatcherMessage>,
    agent: Arc<Agent>,
) -> io::Result<()> {
    thread::Builder::new()
        .name("signals".into())
        .stack_size(STACK)
        .spawn(move || {
            let mut tries_left = 0;
            loop {
                for signal in next(&mut signals, tries_left > 0) {
                    match signal {
                        SIGHUP => tries_left = RELOAD_TRIES,
                        _ => dispatcher.send(DispatcherMessage::Terminate),
                    }
                }
                if tries_left > 0 {
                    tries_left -= 1;
                    // Guards against a balancer that no longer hears SIGTERM since a reload has panicked.
                    let reloaded =
                        catch_unwind(AssertUnwindSafe(|| reload.again(&agent, &dispatcher)));
                    match reloaded {
                        Ok(Ok(())) => tries_left = 0,
                        Ok(Err(why)) if tries_left > 0 => {
                            debug!(%why, tries_left, "reload failed, will be retried")
                        }
                        Ok(Err(why)) => error!(%why, "reload failed, nothing changes"),
                        Err(_) => {
                            error!("a reload panicked");
                            tries_left = 0;
                        }
                    }
                }
            }
        })?;
    Ok(())
}

/// The signals that have come; while a reload is to be tried again none is waited for longer than till then.
fn next(signals: &mut Signals, retries: bool) -> Vec<c_int> {
    if retries {
        thread::sleep(RELOAD_INTERVAL);
        return signals.pending().collect();
    }
    signals.wait().collect()
}

/// Says so where settings expect words that have no way to go: groups are then held in more places.
pub fn untold(settings: &Settings, peers: bool) {
    if settings.gossip_allowed().unwrap_or(false) && !peers {
        warn!(
            key = "peers",
            "gossip is allowed, but no peers are configured"
        );
    }
}

impl Reload {
    fn again(
        &mut self,
        agent: &Agent,
        dispatcher: &Sender<DispatcherMessage>,
    ) -> Result<(), String> {
        // Both are read before either acts: a faulty one changes nothing.
        let new = config::load(self.file.as_deref()).map_err(|e| e.to_string())?;
        let operator = config::operator(self.operator.as_deref())?;
        // The last that may fail: from here on all is taken over.
        let merged = new.settings.merged_with_previous(&self.config.settings);
        let known = merged.and_then(|merged| Ok((FirstLineSettings::new(&merged)?, merged)));
        let (known, merged) = known.map_err(|why| why.to_string())?;
        new.warn_of_unknown();
        config::warn_of_deprecated(&operator);
        if new.settings != self.in_file {
            // Before the front names what is new: the desk reads its mail in order.
            let policy_settings = match self.peers {
                Some(_) => merged.clone(),
                None => merged.clone().without_gossip(),
            };
            dispatcher.send(DispatcherMessage::ApplySettings(Box::new(policy_settings)));
            self.runtime_settings.replace(new.runtime_settings());
            self.front.replace_settings(known);
            info!("settings applied");
            (self.in_file, self.config.settings) = (new.settings.clone(), merged);
        }
        match (&operator.peers, &self.peers) {
            (Some(keys), Some((listen, peers))) if keys.listen == *listen => {
                peers.change(keys.addresses.clone())
            }
            (None, None) => {}
            _ => warn!(key = "peers", "a change of this key needs a restart"),
        }
        untold(&new.settings, self.peers.is_some());
        for key in self.config.needing_a_restart(&new) {
            warn!(key, "a change of this key needs a restart");
        }
        match (&operator.admission, self.admission_seed) {
            (Some(keys), Some(seed)) => dispatcher.send(DispatcherMessage::ApplyAdmission(
                config::admission(keys, seed, 0),
            )),
            (None, None) => {}
            _ => warn!(key = "admission", "a change of this key needs a restart"),
        }
        info!(discovery = %new.discovery, changed = new.discovery != self.config.discovery, "reloaded");
        if new.discovery != self.config.discovery {
            self.config.discovery = new.discovery;
            agent.moves_to(new.discovery);
        }
        Ok(())
    }
}
