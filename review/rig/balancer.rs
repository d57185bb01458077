//! One balancer, started as its own process by `run` of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Status};
use crate::record::Record;

/// Ends the process `$1` and removes the folder `$2`, unless it is told before that the process has
/// been ended. It reads from a pipe that closes whenever this program ends, also by a signal.
const GUARD: &str = "trap '' TERM INT HUP; read -r word && exit; \
    [ \"$(cat /proc/$1/comm 2>/dev/null)\" = nettlemux ] && kill -KILL $1; rm -rf \"$2\"; rmdir \"${2%/*}\" 2>/dev/null";

/// Sends a signal to a process, and returns whether that was possible.
fn send_signal(signal: &str, process: u32) -> bool {
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &format!("kill -{signal} {process}")]);
    shell.status().is_ok_and(|status| status.success())
}

/// What a balancer may use at most.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

/// Limits that do not bind in a small case.
pub const ROOMY: Limits = Limits {
    memory_mb: 192,
    sockets: 1024,
};

pub struct Balancer {
    pub address: SocketAddr,
    process: Child,
    guard: Child,
    folder: PathBuf,
    discovery: SocketAddr,
    limits: Limits,
    name: String,
    record: Arc<Record>,
}

impl Balancer {
    /// Starts a balancer. `folder` is an empty folder for its configuration and its log.
    pub fn start(
        name: &str,
        folder: PathBuf,
        discovery: SocketAddr,
        settings: &str,
        limits: Limits,
        record: &Arc<Record>,
    ) -> Self {
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let address = free_address();
        let config = folder.join("config.json");
        fs::write(
            &config,
            config_text(name, address, discovery, settings, limits),
        )
        .unwrap();
        let log = File::create(folder.join("log.txt")).unwrap();
        let process = Command::new("/bin/sh")
            .args(["-c", &deploy_value("run")])
            .env("LB_NAME", name)
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the balancer can be started");
        let guard = Command::new("/bin/sh")
            .args(["-c", GUARD, "guard", &process.id().to_string()])
            .arg(&folder)
            .stdin(Stdio::piped())
            .spawn()
            .expect("the guard can be started");
        record.add(&format!("{name}: started at {address}"));
        Balancer {
            address,
            process,
            guard,
            folder,
            discovery,
            limits,
            name: name.to_string(),
            record: record.clone(),
        }
    }

    /// Waits until a client is served; then the balancer has its list of servers.
    pub fn wait_until_it_serves(&self, class: &str, wait_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let client = Client::open(self.address, class, wait_ms, &self.record);
            if client.wait_for_answer(Duration::from_secs(6)) == Status::Up {
                client.leave();
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Replaces the settings in the configuration and sends SIGHUP.
    pub fn change_settings(&self, settings: &str) {
        self.change(self.discovery, settings);
    }

    /// Replaces the configuration and sends SIGHUP.
    pub fn change(&self, discovery: SocketAddr, settings: &str) {
        let text = config_text(&self.name, self.address, discovery, settings, self.limits);
        let new = self.folder.join("config.new");
        fs::write(&new, text).unwrap();
        fs::rename(&new, self.folder.join("config.json")).unwrap();
        self.record
            .add(&format!("{}: new settings in the configuration", self.name));
        self.signal("HUP");
    }

    /// Sends a signal to the balancer.
    pub fn signal(&self, signal: &str) {
        self.record.add(&format!("{}: SIG{signal}", self.name));
        assert!(send_signal(signal, self.process.id()), "kill works");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        if let Some(mut told) = self.guard.stdin.take() {
            let _ = told.write_all(b"ended\n");
        }
        let _ = self.guard.wait();
        let _ = self.process.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

fn config_text(
    name: &str,
    listen: SocketAddr,
    discovery: SocketAddr,
    settings: &str,
    limits: Limits,
) -> String {
    let Limits { memory_mb, sockets } = limits;
    let seed = u64::from(std::process::id()) << 16 | u64::from(listen.port());
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"settings\":{settings}}}"
    )
}

/// Returns a value of the deploy file.
fn deploy_value(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("run from the repository's root");
    let start = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.and_then(|rest| rest.split('"').next())
        .expect("the deploy file has the key")
        .to_string()
}
