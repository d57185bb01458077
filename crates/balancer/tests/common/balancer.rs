//! The real program with its configuration, its servers and its discovery agent.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use serde_json::Value;

use super::faults::Faults;
use super::toy::{DiscoveryAgent, ToyServer};
use super::{Client, EXAMPLE, unused_address, wait_for, with_settings};

/// A balancer with its servers. It is killed when dropped.
pub struct TestBalancer {
    pub process: Child,
    /// Where it listens.
    pub address: SocketAddr,
    pub agent: Arc<DiscoveryAgent>,
    pub servers: Vec<Arc<ToyServer>>,
    pub config_file: PathBuf,
    pub config: String,
    /// The faults that its system calls meet, if there are any.
    pub faults: Option<Faults>,
}

fn serve(config_file: &Path, arguments: &[&str], faults: Option<&Faults>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    command
        .args(["serve", "--log", "debug", "--config"])
        .arg(config_file)
        .args(arguments)
        .stderr(Stdio::null());
    if let Some(faults) = faults {
        faults.load_into(&mut command);
    }
    command.spawn().unwrap()
}

impl TestBalancer {
    /// Starts one with the example's configuration and waits until it serves.
    pub fn new(servers: usize) -> Self {
        TestBalancer::with_config(servers, |config| config)
    }

    /// Starts one with a changed configuration and waits until it serves.
    pub fn with_config(servers: usize, change: impl Fn(String) -> String) -> Self {
        let balancer = TestBalancer::start(servers, change, None);
        balancer.wait_until_serving();
        balancer
    }

    /// Starts one whose system calls fail as its `faults` say, and waits until it serves.
    pub fn with_faults(servers: usize, change: impl Fn(String) -> String) -> Self {
        let balancer = TestBalancer::start(servers, change, Some(Faults::none()));
        balancer.wait_until_serving();
        balancer
    }

    /// Starts one, which may not serve yet when this returns.
    pub fn start(
        servers: usize,
        change: impl Fn(String) -> String,
        faults: Option<Faults>,
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
        let process = serve(&config_file, &[], faults.as_ref());
        TestBalancer {
            process,
            address,
            agent,
            servers,
            config_file,
            config,
            faults,
        }
    }

    /// Waits until it answers and has had its endpoint list.
    pub fn wait_until_serving(&self) {
        self.wait_until_listening();
        wait_for("a list", || self.client("c=chat,d=1000").receives("UP 1"));
    }

    fn wait_until_listening(&self) {
        wait_for("PONG", || TcpStream::connect(self.address).is_ok());
    }

    /// Returns the faults that it was started with.
    ///
    /// # Panics
    /// If it was started without.
    pub fn faults(&self) -> &Faults {
        self.faults.as_ref().expect("started with faults")
    }

    /// Restarts it with these settings changed.
    pub fn restart_with_settings(&mut self, changes: &[(&str, Value)]) {
        self.restart_with_config(&with_settings(&self.config, changes));
    }

    /// Restarts it with another configuration.
    pub fn restart_with_config(&mut self, config: &str) {
        self.kill();
        std::fs::write(&self.config_file, config).unwrap();
        self.process = serve(&self.config_file, &[], self.faults.as_ref());
        self.wait_until_listening();
    }

    /// Restarts it with further arguments.
    pub fn restart_with_arguments(&mut self, arguments: &[&str]) {
        self.kill();
        self.process = serve(&self.config_file, arguments, self.faults.as_ref());
        self.wait_until_listening();
    }

    /// Writes this configuration to its file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config_file, config).unwrap();
        self.signal("-HUP");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Connects a client that asks to be served with these values of its first line.
    pub fn client(&self, values: &str) -> Client {
        Client::open(self.address, values)
    }

    /// Sends a signal, named as `kill` names it.
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

    /// Sends a signal that may find the process ended.
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

    /// Lets these events happen while the process is stopped, so that it meets them all at once.
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
