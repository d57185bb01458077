//! Start and end of the real program: signals at any moment of the start, and a log whose reader
//! stops reading.

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::DiscoveryAgent;
use common::{Client, EXAMPLE, unused_address, wait_for};

/// Guards against a process that is killed by a signal or never ends, because the signal came
/// during the start, came twice or came together with another signal.
#[test]
fn the_balancer_ends_cleanly_on_signals_at_any_moment_of_its_start() {
    let sequences = [
        &["HUP", "TERM"][..],
        &["TERM"],
        &["TERM", "HUP", "TERM"],
        &["HUP", "HUP", "HUP", "INT"],
    ];
    let cases = sequences
        .into_iter()
        .flat_map(|signals| [0, 1, 5, 30].map(|delay_ms| (signals, delay_ms)));
    let cases: Vec<_> = cases
        .map(|(signals, delay_ms)| thread::spawn(move || assert_ends_cleanly(signals, delay_ms)))
        .collect();
    assert!(cases.into_iter().all(|case| case.join().is_ok()));
}

/// Sends the signals this long after the handlers are installed, and asserts that the balancer
/// exits successfully within 8 s.
fn assert_ends_cleanly(signals: &[&str], delay_ms: u64) {
    let address = unused_address();
    let file = std::env::temp_dir().join(format!(
        "nettlemux-signals-{}-{}.json",
        std::process::id(),
        address.ip()
    ));
    std::fs::write(
        &file,
        EXAMPLE.replace("127.0.0.1:7000", &address.to_string()),
    )
    .unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    let mut child = command
        .args(["serve", "--config"])
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    // Waits until the handler of SIGTERM is installed: the signal is number 15, so it is bit 14 of
    // `SigCgt`. An earlier signal would kill the process.
    wait_for("the signal handlers", || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let caught = status
            .lines()
            .find_map(|line| line.strip_prefix("SigCgt:"))
            .unwrap();
        u64::from_str_radix(caught.trim(), 16).unwrap() & 1 << 14 != 0
    });
    thread::sleep(Duration::from_millis(delay_ms));
    let first_signal_sent = Instant::now();
    for signal in signals {
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }
    let status = child.wait().unwrap();
    let _ = std::fs::remove_file(file);
    assert!(
        status.success() && first_signal_sent.elapsed() < Duration::from_secs(8),
        "{signals:?} after {delay_ms} ms: {status}"
    );
}

/// Guards against a balancer that stops or spins if its log is no longer read.
#[test]
fn the_balancer_serves_and_ends_while_its_log_is_not_read() {
    let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    let address = unused_address();
    let file =
        std::env::temp_dir().join(format!("nettlemux-unread-log-{}.json", std::process::id()));
    let config = EXAMPLE.replace("127.0.0.1:7000", &address.to_string());
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
    // Reads one byte and closes the pipe.
    let mut first_byte = [0; 1];
    child
        .stderr
        .take()
        .unwrap()
        .read_exact(&mut first_byte)
        .unwrap();
    wait_for("the listener", || TcpStream::connect(address).is_ok());
    for _ in 0..200 {
        assert_eq!(
            Client::connect_and_send(address, b"PING\r\n").read_line(),
            "PONG"
        );
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
