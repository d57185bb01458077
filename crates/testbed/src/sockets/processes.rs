//! The balancers' processes: their configurations, logs, planned ends and returns. It owns each
//! child and its files, ends only what it has started, and reports one that dies by itself with the
//! end of its log.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use nettlemux_fleet_model::model::FleetEvent;
use nettlemux_fleet_model::observation::Observation;
use nettlemux_fleet_model::time::seconds;
use nettlemux_policy::{MS, SEC, Time};
use nettlemux_settings::operator::OperatorFile;
use rustix::process::{Pid, Resource, Rlimit, Signal};
use serde_json::json;

use super::Program;
use super::error::SocketRunError;
use super::shared_run::SharedRun;
use crate::balancer_process::{ProcessUsage, answers_ping, log_end};
use crate::file;
use crate::file_error::FileError;

/// All balancers must be ready by then.
const READY: Duration = Duration::from_secs(10);
/// From SIGTERM to SIGKILL.
const KILL_DELAY: Time = 4200 * MS;
/// How long the front end goes on dealing connections after SIGTERM.
const FRONT_END_DELAY: Time = 300 * MS;
/// Between one balancer's return and the next one's end when they are restarted in turn.
const IN_TURN: Time = SEC;
/// Descriptors of a balancer beside two for each connection that it may come to hold.
const DESCRIPTORS: usize = 512;
/// Memory of one: more than it needs, so that descriptors bind first.
const MEMORY_MB: usize = 1024;

enum State {
    Runs,
    /// Asked to end at that time, to be back after so long.
    Ending(Time, Time),
    Away(Time),
}

struct BalancerProcess {
    child: Child,
    state: State,
    log: PathBuf,
    config: PathBuf,
    /// Processor time of its ended runs, and its largest memory.
    cpu: f64,
    memory: f64,
}

pub struct Processes {
    shared: Arc<SharedRun>,
    program: Program,
    folder: PathBuf,
    /// Whether the folder was made for the run and is removed with it.
    owns_folder: bool,
    all: Vec<BalancerProcess>,
    /// Planned ends to come: when, who, and how long away.
    planned: Vec<(Time, usize, Time)>,
    died: Vec<String>,
}

/// What the program says of itself.
pub fn version(program: &Program) -> String {
    let report = Command::new(&program.path)
        .arg("version")
        .stdin(Stdio::null())
        .output();
    let report = report.ok().filter(|out| out.status.success());
    report.map_or("unknown".into(), |out| {
        String::from_utf8_lossy(&out.stdout).trim().to_string()
    })
}

impl Processes {
    pub fn new(
        shared: &Arc<SharedRun>,
        program: &Program,
        logs: Option<&Path>,
    ) -> Result<Self, SocketRunError> {
        if !program.path.is_file() {
            let path = program.path.clone();
            return Err(SocketRunError::NoProgram { path });
        }
        let (folder, owns_folder) = match logs {
            Some(folder) => (folder.to_path_buf(), false),
            None => {
                let name = format!(
                    "nettlemux-testbed-{}-{}",
                    std::process::id(),
                    shared.addresses.balancer(0).ip()
                );
                (std::env::temp_dir().join(name), true)
            }
        };
        std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
        // As many descriptors as this process may have: each connection takes two of them.
        let limit = rustix::process::getrlimit(Resource::Nofile);
        let all = Rlimit {
            current: limit.maximum,
            maximum: limit.maximum,
        };
        let _ = rustix::process::setrlimit(Resource::Nofile, all);
        Ok(Processes {
            shared: shared.clone(),
            program: program.clone(),
            folder,
            owns_folder,
            all: Vec::new(),
            planned: Vec::new(),
            died: Vec::new(),
        })
    }

    fn spawn(&self, b: usize, again: u64) -> Result<(Child, PathBuf, PathBuf), SocketRunError> {
        let shared = &self.shared;
        let scenario = &shared.scenario;
        let expected = scenario
            .clients
            .standing
            .max((scenario.clients.rate * scenario.clients.life) as usize);
        let sockets = DESCRIPTORS
            + 6 * expected / scenario.balancers.number
            + 8 * shared.scenario.fleet.servers;
        let config = json!({
            "name": format!("b{b}"),
            "listen": shared.addresses.balancer(b).to_string(),
            "discovery": shared.addresses.discovery(b).to_string(),
            "seed": format!("{:016x}", (b as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ scenario.seed ^ again),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets},
            "known": shared.list(b, None),
            "settings": file::settings(scenario, shared.zone(b)),
        });
        let at = |name: String| self.folder.join(name);
        let (path, log) = (at(format!("b{b}.json")), at(format!("b{b}.log")));
        std::fs::write(&path, config.to_string()).map_err(FileError::at(&path))?;
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(FileError::at(&log))?;
        let other = file.try_clone().map_err(FileError::at(&log))?;
        let mut command = Command::new(&self.program.path);
        command.args(&self.program.args);
        if let Some(admission) = &scenario.admission {
            let operator = OperatorFile {
                admission: Some(admission.clone()),
                ..OperatorFile::default()
            };
            let text = toml::to_string(&operator)?;
            let path = at(format!("b{b}.toml"));
            std::fs::write(&path, text).map_err(FileError::at(&path))?;
            command.arg("--operator").arg(&path);
        }
        command
            .env("LB_CONFIG", &path)
            .env("LB_NAME", format!("b{b}"));
        command.stdin(Stdio::null()).stdout(other).stderr(file);
        let child = command.spawn().map_err(FileError::at(&self.program.path))?;
        Ok((child, log, path))
    }

    pub async fn start_all(&mut self) -> Result<(), SocketRunError> {
        for b in 0..self.shared.scenario.balancers.number {
            let (child, log, config) = self.spawn(b, 0)?;
            self.all.push(BalancerProcess {
                child,
                state: State::Runs,
                log,
                config,
                cpu: 0.0,
                memory: 0.0,
            });
        }
        for b in 0..self.all.len() {
            let ready = async {
                while !answers_ping(self.shared.addresses.balancer(b)).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            if tokio::time::timeout(READY, ready).await.is_err() {
                return Err(SocketRunError::NotReady {
                    balancer: b,
                    log_end: log_end(&self.all[b].log),
                });
            }
            self.shared.lock().alive[b] = true;
        }
        Ok(())
    }

    /// What a fault asks of the processes.
    pub fn asked(&mut self, events: FleetEvent, now: Time) {
        match events {
            FleetEvent::BalancerRestartRequested { balancer, away } => {
                let mine = |planned: &&(Time, usize, Time)| planned.0 >= now;
                let last = self
                    .planned
                    .iter()
                    .filter(mine)
                    .map(|p| p.0 + KILL_DELAY + p.2 + IN_TURN)
                    .max();
                self.planned.push((last.unwrap_or(now), balancer, away));
            }
            FleetEvent::BalancerKilled { balancer, away } => {
                let _ = self.all[balancer].child.kill();
                let _ = self.all[balancer].child.wait();
                self.ended(balancer, now, false, away);
            }
            _ => {}
        }
    }

    /// Carries planned ends out and notices what has ended by itself.
    pub fn watch(&mut self, now: Time) {
        let due = |planned: &(Time, usize, Time)| planned.0 <= now;
        let (soon, later): (Vec<_>, Vec<_>) = self.planned.drain(..).partition(due);
        self.planned = later;
        for (_, b, away) in soon {
            if let (State::Runs, Some(pid)) = (
                &self.all[b].state,
                Pid::from_raw(self.all[b].child.id() as i32),
            ) {
                self.usage_of(b);
                let _ = rustix::process::kill_process(pid, Signal::TERM);
                self.all[b].state = State::Ending(now, away);
                self.shared.lock().front.mark_dead(b, now + FRONT_END_DELAY);
            }
        }
        for b in 0..self.all.len() {
            match self.all[b].state {
                State::Runs | State::Ending(..) => {
                    let ended = matches!(self.all[b].child.try_wait(), Ok(Some(_)));
                    match self.all[b].state {
                        State::Ending(_, away) if ended => self.ended(b, now, true, away),
                        State::Ending(since, away) if now >= since + KILL_DELAY => {
                            let _ = self.all[b].child.kill();
                            let _ = self.all[b].child.wait();
                            self.ended(b, now, true, away);
                        }
                        _ if ended => {
                            self.died
                                .push(format!("balancer {b} died:\n{}", log_end(&self.all[b].log)));
                            self.ended(b, now, false, SEC);
                        }
                        _ => {}
                    }
                }
                State::Away(until) if until <= now => match self.spawn(b, now) {
                    Ok((child, ..)) => {
                        (self.all[b].child, self.all[b].state) = (child, State::Runs);
                        self.shared.lock().alive[b] = true;
                        tokio::spawn(mark_alive(self.shared.clone(), b));
                    }
                    Err(error) => {
                        self.died.push(error.to_string());
                        self.all[b].state = State::Away(Time::MAX);
                    }
                },
                State::Away(_) => {}
            }
        }
    }

    fn ended(&mut self, b: usize, now: Time, planned: bool, away: Time) {
        self.all[b].state = State::Away(now + away);
        let mut inner = self.shared.lock();
        inner.alive[b] = false;
        if !planned {
            inner
                .front
                .mark_dead(b, now + seconds(self.shared.scenario.balancers.notice));
        }
        inner.observe(Observation::BalancerEnded {
            at: now,
            balancer: b,
            planned,
        });
    }

    fn usage_of(&mut self, b: usize) {
        let usage = ProcessUsage::of(self.all[b].child.id());
        self.all[b].cpu += usage.cpu_seconds;
        self.all[b].memory = self.all[b].memory.max(usage.memory_peak_mb);
    }

    /// Of each balancer: processor seconds for each second of the run, and its largest resident
    /// memory in MB.
    pub fn usage(&mut self) -> Vec<(f64, f64)> {
        (0..self.all.len()).for_each(|b| self.usage_of(b));
        let seconds = self.shared.scenario.seconds;
        self.all
            .iter()
            .map(|one| (one.cpu / seconds, one.memory))
            .collect()
    }

    /// Ends what was started; what died by itself is told.
    pub fn end(&mut self) -> Vec<String> {
        std::mem::take(&mut self.died)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for one in &mut self.all {
            let _ = one.child.kill();
            let _ = one.child.wait();
            let _ = std::fs::remove_file(&one.config);
        }
        if self.owns_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn mark_alive(shared: Arc<SharedRun>, b: usize) {
    while !answers_ping(shared.addresses.balancer(b)).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    shared.lock().front.mark_alive(b);
}
