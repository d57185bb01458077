//! Real balancers. Each one is a process with its configuration and log in the run's folder, whose
//! resource usage is read from the system. This module ends only processes that it has started, and
//! removes its files.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering::Relaxed};
use std::time::Duration;

use serde_json::{Value, json};

use super::error::{ExitedBalancer, MeasurementError};
use crate::balancer_process::{ProcessUsage, answers_ping, log_end};
use crate::file_error::FileError;

/// Time within which a balancer must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks whether a balancer is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Memory limit in a balancer's configuration. It is higher than needed, so that the memory measured
/// is not bounded by it.
const MEMORY_MB: u64 = 1024;
/// Port on which the balancers of the first size listen. Each size uses the next port, so that
/// lingering connections of the previous size don't interfere.
const FIRST_PORT: u16 = 7000;
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A temporary folder of the run, removed with its contents when dropped.
pub struct RunFolder {
    path: PathBuf,
}

impl RunFolder {
    /// Creates the folder.
    ///
    /// # Errors
    /// The error names the folder that could not be created.
    pub fn new() -> Result<Self, FileError> {
        static NEXT_FOLDER: AtomicU16 = AtomicU16::new(0);
        let number = NEXT_FOLDER.fetch_add(1, Relaxed);
        let path =
            std::env::temp_dir().join(format!("nettlemux-scale-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).map_err(FileError::at(&path))?;
        Ok(RunFolder { path })
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// How all real balancers of one size are started.
pub struct LaunchConfig {
    pub program: PathBuf,
    pub discovery: SocketAddr,
    pub descriptors: u64,
    pub settings: Value,
    pub seed: u64,
    port: u16,
}

impl LaunchConfig {
    pub fn new(
        program: &Path,
        discovery: SocketAddr,
        descriptors: u64,
        settings: Value,
        seed: u64,
    ) -> Self {
        let port = NEXT_PORT.fetch_add(1, Relaxed);
        LaunchConfig {
            program: program.into(),
            discovery,
            descriptors,
            settings,
            seed,
            port,
        }
    }
}

/// One real balancer.
pub struct RealBalancer {
    pub address: SocketAddr,
    number: usize,
    config: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    ready: AtomicBool,
}

impl RealBalancer {
    /// Starts the balancer with this number, without waiting until it is ready.
    ///
    /// # Errors
    /// The error names the program that could not be started, or the file that could not be accessed.
    pub fn start(
        number: usize,
        launch: &LaunchConfig,
        folder: &RunFolder,
    ) -> Result<Self, FileError> {
        let process = std::process::id();
        let [second, third] = [96 + process % 32, 1 + process / 32 % 250].map(|byte| byte as u8);
        let address = SocketAddr::from((
            Ipv4Addr::new(127, second, third, 1 + number as u8),
            launch.port,
        ));
        let seed = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ launch.seed;
        let config = json!({
            "name": format!("b{number}"),
            "listen": address.to_string(),
            "discovery": launch.discovery.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": launch.descriptors},
            "settings": launch.settings,
        });
        let path = folder.path.join(format!("b{number}.json"));
        fs::write(&path, config.to_string()).map_err(FileError::at(&path))?;
        let balancer = RealBalancer {
            address,
            number,
            config: path,
            log: folder.path.join(format!("b{number}.log")),
            program: launch.program.clone(),
            child: Mutex::new(None),
            ready: AtomicBool::new(false),
        };
        balancer.spawn()?;
        Ok(balancer)
    }

    /// Starts the process, also after [`RealBalancer::kill`].
    ///
    /// # Errors
    /// The error names the program that could not be started, or the file that could not be accessed.
    pub fn spawn(&self) -> Result<(), FileError> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(FileError::at(&self.log))?;
        let stdout = log.try_clone().map_err(FileError::at(&self.log))?;
        let mut command = Command::new(&self.program);
        command
            .args(["serve", "--log", "warn", "--config"])
            .arg(&self.config);
        command.stdin(Stdio::null()).stdout(stdout).stderr(log);
        let child = command.spawn().map_err(FileError::at(&self.program))?;
        *self.child() = Some(child);
        Ok(())
    }

    /// Waits until the balancer answers.
    ///
    /// # Errors
    /// The balancer does not answer in time. The error contains the end of its log.
    pub async fn wait_until_ready(&self) -> Result<(), MeasurementError> {
        let ready = async {
            while !answers_ping(self.address).await {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let in_time = tokio::time::timeout(READY_TIMEOUT, ready).await.is_ok();
        self.ready.store(in_time, Relaxed);
        if in_time {
            Ok(())
        } else {
            Err(MeasurementError::NotReady {
                number: self.number,
                log_end: log_end(&self.log),
            })
        }
    }

    /// Whether clients may connect to this balancer.
    pub fn ready(&self) -> bool {
        self.ready.load(Relaxed)
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.ready.store(false, Relaxed);
        if let Some(mut child) = self.child().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the end of the log if the process has exited by itself.
    pub fn died(&self) -> Option<ExitedBalancer> {
        let ended = self
            .child()
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))));
        ended.then(|| ExitedBalancer {
            number: self.number,
            log_end: log_end(&self.log),
        })
    }

    /// Resource usage of the process; all zero if it does not run.
    pub fn usage(&self) -> ProcessUsage {
        let id = self.child().as_ref().map(Child::id);
        id.map(ProcessUsage::of).unwrap_or_default()
    }

    fn child(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RealBalancer {
    fn drop(&mut self) {
        self.kill();
    }
}
