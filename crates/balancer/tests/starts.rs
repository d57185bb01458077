//! Starts and ends of the real program: settings that other deployments leave out or write
//! otherwise, lists longer than any that was met, signals at every moment, an agent and a log that
//! misbehave. What each case guards against stands beside it.

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::DiscoveryAgent;
use common::{Client, EXAMPLE, unused_address, wait_for};

/// Guards against a process that a signal ends, or that never ends, since it came during the start,
/// twice or with another.
#[test]
fn signals_may_come_at_any_moment() {
    let all = [
        &["HUP", "TERM"][..],
        &["TERM"],
        &["TERM", "HUP", "TERM"],
        &["HUP", "HUP", "HUP", "INT"],
    ];
    let cases = all
        .into_iter()
        .flat_map(|signals| [0, 1, 5, 30].map(|pause| (signals, pause)));
    let cases: Vec<_> = cases
        .map(|(signals, pause)| thread::spawn(move || ends_by(signals, pause)))
        .collect();
    assert!(cases.into_iter().all(|case| case.join().is_ok()));
}

fn ends_by(signals: &[&str], pause: u64) {
    let at = unused_address();
    let file = std::env::temp_dir().join(format!(
        "nettlemux-signals-{}-{}.json",
        std::process::id(),
        at.ip()
    ));
    std::fs::write(&file, EXAMPLE.replace("127.0.0.1:7000", &at.to_string())).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    let mut child = command
        .args(["serve", "--config"])
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    // From the first moment at which it has its say: until then the system ends it.
    wait_for("handlers", || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let caught = status
            .lines()
            .find_map(|line| line.strip_prefix("SigCgt:"))
            .unwrap();
        u64::from_str_radix(caught.trim(), 16).unwrap() & 1 << 14 != 0
    });
    thread::sleep(Duration::from_millis(pause));
    let since = Instant::now();
    for signal in signals {
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }
    let status = child.wait().unwrap();
    let _ = std::fs::remove_file(file);
    assert!(
        status.success() && since.elapsed() < Duration::from_secs(8),
        "{signals:?} after {pause} ms: {status}"
    );
}

/// Guards against a balancer that stops or spins if its log is no longer read.
#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    let at = unused_address();
    let file =
        std::env::temp_dir().join(format!("nettlemux-unread-log-{}.json", std::process::id()));
    let config = EXAMPLE.replace("127.0.0.1:7000", &at.to_string());
    std::fs::write(
        &file,
        config.replace("127.0.0.1:7100", &agent.address.to_string()),
    )
    .unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    command
        .args(["serve", "--log", "trace", "--config"])
        .arg(&file)
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut first = [0; 1];
    child.stderr.take().unwrap().read_exact(&mut first).unwrap();
    wait_for("PONG", || TcpStream::connect(at).is_ok());
    for _ in 0..200 {
        assert_eq!(Client::new(at, b"PING\r\n").read_line(), "PONG");
    }
    assert!(
        Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status()
            .unwrap()
            .success()
    );
    assert!(child.wait().unwrap().success());
    let _ = std::fs::remove_file(file);
}
