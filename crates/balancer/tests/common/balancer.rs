//! Starts the real balancer program with a configuration, toy servers and a toy discovery agent.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use serde_json::Value;

use super::faults::FaultPlan;
use super::toy::{DiscoveryAgent, ToyServer};
use super::{Client, EXAMPLE, unused_address, wait_for, with_settings};

/// A running balancer with its servers and its discovery agent. Dropping it kills the process.
pub struct TestBalancer {
    pub process: Child,
    /// The address at which it accepts clients.
    pub address: SocketAddr,
    pub agent: Arc<DiscoveryAgent>,
    pub servers: Vec<Arc<ToyServer>>,
    pub config_file: PathBuf,
    pub config_text: String,
    /// The plan of faults injected into its system calls. `None` if it was started without one.
    pub faults: Option<FaultPlan>,
}

fn spawn_serve(config_file: &Path, arguments: &[&str], faults: Option<&FaultPlan>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    command
        .args(["serve", "--log", "debug", "--config"])
        .arg(config_file)
        .args(arguments)
        .stderr(Stdio::null());
    if let Some(faults) = faults {
        faults.preload_into(&mut command);
    }
    command.spawn().unwrap()
}

impl TestBalancer {
    /// Starts a balancer with the example configuration and waits until it serves.
    pub fn new(servers: usize) -> Self {
        TestBalancer::with_config(servers, |config| config)
    }

    /// Starts a balancer with a changed example configuration and waits until it serves.
    pub fn with_config(servers: usize, change: impl Fn(String) -> String) -> Self {
        let balancer = TestBalancer::start(servers, change, None);
        balancer.wait_until_serving();
        balancer
    }

    /// Starts a balancer with an empty fault plan and waits until it serves. The test injects
    /// faults later through [`faults`](Self::faults).
    pub fn with_faults(servers: usize, change: impl Fn(String) -> String) -> Self {
        let balancer = TestBalancer::start(servers, change, Some(FaultPlan::empty()));
        balancer.wait_until_serving();
        balancer
    }

    /// Starts a balancer without waiting until it serves.
    pub fn start(
        servers: usize,
        change: impl Fn(String) -> String,
        faults: Option<FaultPlan>,
    ) -> Self {
        let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
        let servers: Vec<Arc<ToyServer>> = (0..servers)
            .map(|_| ToyServer::start("127.0.0.1:0").unwrap())
            .collect();
        for (i, server) in servers.iter().enumerate() {
            agent.publish(&format!("s-{i}"), server.address, "Ready");
        }
        let address = unused_address();
        let config = EXAMPLE.replace("127.0.0.1:7000", &address.to_string());
        let config = change(config.replace("127.0.0.1:7100", &agent.address.to_string()));
        let config_file = std::env::temp_dir().join(format!(
            "nettlemux-{}-{}.json",
            std::process::id(),
            address.ip()
        ));
        std::fs::write(&config_file, &config).unwrap();
        let process = spawn_serve(&config_file, &[], faults.as_ref());
        TestBalancer {
            process,
            address,
            agent,
            servers,
            config_file,
            config_text: config,
            faults,
        }
    }

    /// Waits until it accepts connections and has received its endpoint list.
    pub fn wait_until_serving(&self) {
        self.wait_until_listening();
        wait_for("the endpoint list", || {
            self.client("c=chat,d=1000").next_line_is("UP 1")
        });
    }

    /// Waits until it has received the agent's endpoint list in its present version: from then on it
    /// asks for the changes after this version. Clients that connect later are placed by this list.
    pub fn wait_for_current_list(&self) {
        wait_for("the present endpoint list", || {
            let version = self.agent.version();
            let calls = self.agent.recorded_calls();
            calls.iter().any(|call| call.from_version == Some(version))
        });
    }

    fn wait_until_listening(&self) {
        wait_for("the listener", || TcpStream::connect(self.address).is_ok());
    }

    /// Returns the fault plan that it was started with.
    ///
    /// # Panics
    /// If it was started without one.
    pub fn faults(&self) -> &FaultPlan {
        self.faults
            .as_ref()
            .expect("the balancer was started without a fault plan")
    }

    /// Kills it and restarts it with some settings changed, as in [`with_settings`].
    pub fn restart_with_settings(&mut self, changes: &[(&str, Value)]) {
        self.restart_with_config(&with_settings(&self.config_text, changes));
    }

    /// Kills it and restarts it with another configuration.
    pub fn restart_with_config(&mut self, config: &str) {
        self.kill();
        std::fs::write(&self.config_file, config).unwrap();
        self.process = spawn_serve(&self.config_file, &[], self.faults.as_ref());
        self.wait_until_listening();
    }

    /// Kills it and restarts it with additional command-line arguments.
    pub fn restart_with_arguments(&mut self, arguments: &[&str]) {
        self.kill();
        self.process = spawn_serve(&self.config_file, arguments, self.faults.as_ref());
        self.wait_until_listening();
    }

    /// Writes the configuration to its file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_file, config).unwrap();
        self.signal("-HUP");
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Connects a client and sends an `OPEN` first line with these values.
    pub fn client(&self, values: &str) -> Client {
        Client::connect_with_open_line(self.address, values)
    }

    /// Returns the largest resident memory that the process has had, in units of 1,024 bytes.
    pub fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap();
        let peak = status.lines().find(|line| line.starts_with("VmHWM"));
        let kb = peak.unwrap().split_whitespace().nth(1);
        kb.unwrap().parse().unwrap()
    }

    /// Sends a signal, given as an option of `kill`, such as `-HUP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.process.id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Like [`signal`](Self::signal), but the process may have ended already.
    pub fn signal_if_alive(&self, signal: &str) {
        let pid = self.process.id().to_string();
        let _ = Command::new("kill")
            .args([signal, &pid])
            .stderr(Stdio::null())
            .status();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Runs `events` while the process is stopped by SIGSTOP, so that it sees all of them at once
    /// when it continues.
    pub fn while_stopped<T>(&self, events: impl FnOnce() -> T) -> T {
        self.signal("-STOP");
        let result = events();
        self.signal("-CONT");
        result
    }
}

impl Drop for TestBalancer {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.config_file);
    }
}
