//! The balancers' processes: their configurations, logs, planned restarts and kills. It owns each
//! child process and its files, ends only processes that it has started, and reports a process that
//! exits unexpectedly with the end of its log.

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

/// Time limit for each balancer to answer a `PING` after the start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from SIGTERM to SIGKILL.
const KILL_DELAY: Time = 4200 * MS;
/// How long the front end still picks a balancer after its SIGTERM.
const FRONT_END_DELAY: Time = 300 * MS;
/// Time between one balancer's restart and the next one's SIGTERM in a rolling restart.
const ROLLING_RESTART_GAP: Time = SEC;
/// Descriptors of a balancer in addition to two for each connection that it may hold.
const BASE_DESCRIPTORS: usize = 512;
/// Memory limit of a balancer in MB. It is more than the balancer needs, so that the limit of
/// descriptors is reached first.
const MEMORY_LIMIT_MB: usize = 1024;

enum State {
    Running,
    /// Got SIGTERM at the first time. After it has exited, it stays down for the second time.
    Terminating(Time, Time),
    /// Down until this time.
    Down(Time),
}

struct BalancerProcess {
    child: Child,
    state: State,
    log: PathBuf,
    config: PathBuf,
    /// Processor seconds of this balancer, summed over its processes.
    cpu: f64,
    /// Peak resident memory in MB.
    memory: f64,
}

pub struct Processes {
    shared: Arc<SharedRun>,
    program: Program,
    folder: PathBuf,
    /// Whether the folder was created for the run and is removed at its end.
    owns_folder: bool,
    balancers: Vec<BalancerProcess>,
    /// Planned restarts: the time of SIGTERM, the balancer, and how long it is down.
    planned: Vec<(Time, usize, Time)>,
    /// One report for each balancer that exited unexpectedly or could not be restarted.
    died: Vec<String>,
}

/// Returns the output of the program's `version` command, or `unknown` if it fails.
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
            return Err(SocketRunError::ProgramNotFound { path });
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
        // Raises the limit of descriptors to its maximum: each connection takes two in this process.
        let limit = rustix::process::getrlimit(Resource::Nofile);
        let raised = Rlimit {
            current: limit.maximum,
            maximum: limit.maximum,
        };
        let _ = rustix::process::setrlimit(Resource::Nofile, raised);
        Ok(Processes {
            shared: shared.clone(),
            program: program.clone(),
            folder,
            owns_folder,
            balancers: Vec::new(),
            planned: Vec::new(),
            died: Vec::new(),
        })
    }

    /// Writes a balancer's configuration and starts its process. `seed_salt` makes the seed differ
    /// between restarts. Returns the process and the paths of its log and its configuration.
    fn spawn(&self, b: usize, seed_salt: u64) -> Result<(Child, PathBuf, PathBuf), SocketRunError> {
        let shared = &self.shared;
        let scenario = &shared.scenario;
        let expected = scenario
            .clients
            .standing
            .max((scenario.clients.rate * scenario.clients.life) as usize);
        let sockets = BASE_DESCRIPTORS
            + 6 * expected / scenario.balancers.number
            + 8 * shared.scenario.fleet.servers;
        let config = json!({
            "name": format!("b{b}"),
            "listen": shared.addresses.balancer(b).to_string(),
            "discovery": shared.addresses.discovery(b).to_string(),
            "seed": format!("{:016x}", (b as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ scenario.seed ^ seed_salt),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": sockets},
            "known": shared.endpoint_list(b, None),
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

    /// Starts all balancers and waits until each answers a `PING`.
    pub async fn start_all(&mut self) -> Result<(), SocketRunError> {
        for b in 0..self.shared.scenario.balancers.number {
            let (child, log, config) = self.spawn(b, 0)?;
            self.balancers.push(BalancerProcess {
                child,
                state: State::Running,
                log,
                config,
                cpu: 0.0,
                memory: 0.0,
            });
        }
        for b in 0..self.balancers.len() {
            let ready = async {
                while !answers_ping(self.shared.addresses.balancer(b)).await {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
                return Err(SocketRunError::NotReady {
                    balancer: b,
                    log_end: log_end(&self.balancers[b].log),
                });
            }
            self.shared.lock().alive[b] = true;
        }
        Ok(())
    }

    /// Carries out an event that concerns the balancers' processes.
    pub fn handle_event(&mut self, event: FleetEvent, now: Time) {
        match event {
            FleetEvent::BalancerRestartRequested { balancer, downtime } => {
                let pending = |planned: &&(Time, usize, Time)| planned.0 >= now;
                let last = self
                    .planned
                    .iter()
                    .filter(pending)
                    .map(|p| p.0 + KILL_DELAY + p.2 + ROLLING_RESTART_GAP)
                    .max();
                self.planned.push((last.unwrap_or(now), balancer, downtime));
            }
            FleetEvent::BalancerKilled { balancer, downtime } => {
                let _ = self.balancers[balancer].child.kill();
                let _ = self.balancers[balancer].child.wait();
                self.record_end(balancer, now, false, downtime);
            }
            _ => {}
        }
    }

    /// Carries out planned restarts and detects processes that have exited.
    pub fn update(&mut self, now: Time) {
        self.begin_due_restarts(now);
        for b in 0..self.balancers.len() {
            match self.balancers[b].state {
                State::Running | State::Terminating(..) => self.check_running(b, now),
                State::Down(until) if until <= now => self.start_again(b, now),
                State::Down(_) => {}
            }
        }
    }

    /// Sends SIGTERM to the processes whose planned restart is due.
    fn begin_due_restarts(&mut self, now: Time) {
        let is_due = |planned: &(Time, usize, Time)| planned.0 <= now;
        let (due, later): (Vec<_>, Vec<_>) = self.planned.drain(..).partition(is_due);
        self.planned = later;
        for (_, b, downtime) in due {
            if let (State::Running, Some(pid)) = (
                &self.balancers[b].state,
                Pid::from_raw(self.balancers[b].child.id() as i32),
            ) {
                self.record_usage(b);
                let _ = rustix::process::kill_process(pid, Signal::TERM);
                self.balancers[b].state = State::Terminating(now, downtime);
                self.shared
                    .lock()
                    .front_end
                    .mark_dead(b, now + FRONT_END_DELAY);
            }
        }
    }

    /// Detects a process that has exited, and kills one that takes too long to end.
    fn check_running(&mut self, b: usize, now: Time) {
        let ended = matches!(self.balancers[b].child.try_wait(), Ok(Some(_)));
        match self.balancers[b].state {
            State::Terminating(_, downtime) if ended => self.record_end(b, now, true, downtime),
            State::Terminating(since, downtime) if now >= since + KILL_DELAY => {
                let _ = self.balancers[b].child.kill();
                let _ = self.balancers[b].child.wait();
                self.record_end(b, now, true, downtime);
            }
            _ if ended => {
                self.died.push(format!(
                    "balancer {b} died unexpectedly; end of its log:\n{}",
                    log_end(&self.balancers[b].log)
                ));
                self.record_end(b, now, false, SEC);
            }
            _ => {}
        }
    }

    /// Starts a balancer whose downtime is over.
    fn start_again(&mut self, b: usize, now: Time) {
        match self.spawn(b, now) {
            Ok((child, ..)) => {
                (self.balancers[b].child, self.balancers[b].state) = (child, State::Running);
                self.shared.lock().alive[b] = true;
                tokio::spawn(mark_alive_when_ready(self.shared.clone(), b));
            }
            Err(error) => {
                self.died.push(error.to_string());
                self.balancers[b].state = State::Down(Time::MAX);
            }
        }
    }

    /// Records that a balancer's process has ended and will be down for `downtime`.
    fn record_end(&mut self, b: usize, now: Time, planned: bool, downtime: Time) {
        self.balancers[b].state = State::Down(now + downtime);
        let mut inner = self.shared.lock();
        inner.alive[b] = false;
        if !planned {
            inner
                .front_end
                .mark_dead(b, now + seconds(self.shared.scenario.balancers.notice));
        }
        inner.observe(Observation::BalancerEnded {
            at: now,
            balancer: b,
            planned,
        });
    }

    /// Adds the usage of a balancer's current process to that of its balancer.
    fn record_usage(&mut self, b: usize) {
        let usage = ProcessUsage::of(self.balancers[b].child.id());
        self.balancers[b].cpu += usage.cpu_seconds;
        self.balancers[b].memory = self.balancers[b].memory.max(usage.memory_peak_mb);
    }

    /// Returns for each balancer its processor seconds per second of the run and its peak resident
    /// memory in MB.
    pub fn usage(&mut self) -> Vec<(f64, f64)> {
        (0..self.balancers.len()).for_each(|b| self.record_usage(b));
        let seconds = self.shared.scenario.seconds;
        self.balancers
            .iter()
            .map(|balancer| (balancer.cpu / seconds, balancer.memory))
            .collect()
    }

    /// Returns the reports of balancers that exited unexpectedly, and clears them.
    pub fn take_died(&mut self) -> Vec<String> {
        std::mem::take(&mut self.died)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for balancer in &mut self.balancers {
            let _ = balancer.child.kill();
            let _ = balancer.child.wait();
            let _ = std::fs::remove_file(&balancer.config);
        }
        if self.owns_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until a restarted balancer answers a `PING` and makes the front end pick it again.
async fn mark_alive_when_ready(shared: Arc<SharedRun>, b: usize) {
    while !answers_ping(shared.addresses.balancer(b)).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    shared.lock().front_end.mark_alive(b);
}
