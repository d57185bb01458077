//! Configuration changes on SIGHUP.

mod common;

use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{DiscoveryAgent, ServerBehavior};
use common::{Client, TestBalancer, wait_for};

/// Guards against a SIGHUP that ends the program, a new discovery address that is not asked for the
/// full endpoint list, and an invalid file that changes anything.
#[test]
fn reload_switches_to_a_new_discovery_address_and_ignores_an_invalid_file() {
    let mut balancer = TestBalancer::new(2);
    let other = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    let first = balancer.config_text.clone();
    let moved = first.replace(
        &balancer.agent.address.to_string(),
        &other.address.to_string(),
    );
    // Nothing answers at this address, so the old list stays in use. Of several reloads in a row
    // the last one counts.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    balancer.reload("{");
    balancer.reload(&first.replace(
        &balancer.agent.address.to_string(),
        &silent.local_addr().unwrap().to_string(),
    ));
    thread::sleep(Duration::from_millis(200));
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
    // The list of the other agent has a much lower version and only one of the servers.
    other.publish("s-1", balancer.servers[1].address, "Ready");
    balancer.reload(&moved);
    balancer.reload(&moved);
    let since = Instant::now();
    wait_for("the endpoint list of the other agent", || {
        let before = balancer.servers[0].first_lines().len();
        (0..4).all(|_| balancer.client("c=chat,d=900").next_line_is("UP 1"))
            && balancer.servers[0].first_lines().len() == before
    });
    assert!(since.elapsed() < Duration::from_secs(2));
    // After an invalid file the balancer still follows the other agent, and it ignores the update
    // of the first agent.
    balancer.reload(&moved.replace("\"sockets\": 1024", "\"sockets\": -1"));
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Ready");
    other.publish("s-1", balancer.servers[1].address, "Terminating");
    other.publish("s-2", balancer.servers[0].address, "Ready");
    wait_for("the next update of the other agent", || {
        let before = balancer.servers[0].first_lines().len();
        balancer.client("c=chat,d=900").next_line_is("UP 1")
            && balancer.servers[0].first_lines().len() == before + 1
    });
    balancer.terminate();
    balancer.reload(&moved);
    assert!(
        balancer.process.wait().unwrap().success(),
        "expected exit status 0 after SIGHUP during the shutdown"
    );
}

/// Guards against admission limits that apply to the wrong client, that count clients that have
/// disconnected, or that an invalid file changes.
#[test]
fn admission_control_limits_each_client_and_applies_new_limits_on_sighup() {
    let mut balancer = TestBalancer::new(1);
    // The same balancer is restarted with an operator file.
    balancer.kill();
    let operator = balancer.config_file.with_extension("toml");
    let write_limit = |table: &str, open: &str| {
        std::fs::write(
            &operator,
            format!("[{table}]\nby = \"client\"\nopen = {open}\n"),
        )
        .unwrap()
    };
    write_limit("admission", "1");
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    command
        .args(["serve", "--config"])
        .arg(&balancer.config_file)
        .arg("--operator")
        .arg(&operator);
    balancer.process = command.stderr(Stdio::null()).spawn().unwrap();
    let connect_limited = |balancer: &TestBalancer| balancer.client("c=chat,d=900,g=mine");
    wait_for("the listener", || {
        TcpStream::connect(balancer.address).is_ok()
    });
    wait_for("an endpoint list", || {
        balancer.client("c=chat,d=900,g=warm").next_line_is("UP 1")
    });
    let mut first = connect_limited(&balancer);
    assert_eq!(first.read_line(), "UP 1");
    let answer = connect_limited(&balancer).read_line();
    let ms: u64 = answer
        .strip_prefix("BUSY ")
        .and_then(|ms| ms.parse().ok())
        .expect("BUSY with a Retry-After time");
    assert!(
        (500..=2000).contains(&ms),
        "expected a Retry-After of 500 to 2000 ms, got {answer}"
    );
    assert_eq!(balancer.client("c=chat,d=900,g=other").read_line(), "UP 1");
    // An invalid file changes nothing; a valid one applies at once.
    write_limit("admission", "-1");
    balancer.signal("-HUP");
    thread::sleep(Duration::from_millis(200));
    assert!(connect_limited(&balancer).read_line().starts_with("BUSY "));
    // Earlier versions call the `admission` table `door`.
    write_limit("door", "2");
    balancer.signal("-HUP");
    wait_for("the new limit", || {
        connect_limited(&balancer).next_line_is("UP 1")
    });
    drop(first);
    balancer.terminate();
    assert!(balancer.process.wait().unwrap().success());
    let _ = std::fs::remove_file(operator);
}

/// Guards against a change of settings that needs a restart, that loses or repeats accepted
/// requests, or that can't be reverted.
#[test]
fn new_settings_are_applied_on_sighup_and_reverted_by_another_sighup() {
    let mut balancer = TestBalancer::new(2);
    let first = balancer.config_text.clone();
    // The second settings differ in structure: the traffic classes are in another order, one is new
    // and one is removed, balancers may gossip, and only one attempt is allowed.
    let mut changed: serde_json::Value = serde_json::from_str(&first).unwrap();
    let settings = &mut changed["settings"];
    settings["areas"] = serde_json::json!(["b", "a"]);
    settings["replicas-of-me"] = 4.into();
    settings["limits"]["may-tell"] = true.into();
    settings["limits"]["max-connects"] = 1.into();
    settings["service-types"] = serde_json::json!([
        {"name": "lab", "setup-target": 800000, "value": 3.0, "repeat": "free", "hard-limit": 4800000},
        {"name": "chat", "setup-target": 300000, "value": 1.0, "repeat": "free"}
    ]);
    let second = changed.to_string();
    let mut open_clients: Vec<Client> = (0..4).map(|_| balancer.client("c=chat,d=900")).collect();
    open_clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    assert_eq!(
        balancer.client("c=lab,d=900").read_line(),
        "ERR",
        "expected ERR for a traffic class that is not configured yet"
    );
    let attempts = |balancer: &TestBalancer| {
        balancer
            .servers
            .iter()
            .map(|server| server.first_lines().len())
            .sum::<usize>()
    };
    for round in 0..3 {
        // This request is accepted before the reload and answered after it. Its attempt is in
        // flight meanwhile, and must stay the only one.
        balancer
            .servers
            .iter()
            .for_each(|server| server.set_behavior(ServerBehavior::Silent));
        let mut waiting = balancer.client("c=order,d=900");
        thread::sleep(Duration::from_millis(100));
        let before = attempts(&balancer);
        balancer.reload(&second);
        thread::sleep(Duration::from_millis(100));
        balancer
            .servers
            .iter()
            .for_each(|server| server.set_behavior(ServerBehavior::Serving));
        assert_eq!(
            (waiting.read_line(), waiting.read_line()),
            ("ERR".into(), "end".into()),
            "round {round}: expected ERR, then the end of the stream"
        );
        assert_eq!(
            attempts(&balancer),
            before,
            "round {round}: expected no second attempt"
        );
        wait_for("the new traffic class", || {
            balancer.client("c=lab,d=900").next_line_is("UP 1")
        });
        // Now only one attempt is allowed.
        balancer
            .servers
            .iter()
            .for_each(|server| server.set_behavior(ServerBehavior::Busy));
        let before = attempts(&balancer);
        assert!(
            balancer
                .client("c=lab,d=900")
                .read_line()
                .starts_with("BUSY")
        );
        assert_eq!(
            attempts(&balancer),
            before + 1,
            "round {round}: expected one attempt"
        );
        balancer
            .servers
            .iter()
            .for_each(|server| server.set_behavior(ServerBehavior::Serving));
        // Invalid settings change nothing.
        for invalid in [
            second.replace("\"may-tell\":true", "\"may-tell\":\"yes\""),
            second.replace("\"name\":\"lab\"", "\"name\":\"chat\""),
            second.replace("\"start-capacity\":0.35", "\"start-capacity\":null"),
        ] {
            assert_ne!(invalid, second);
            balancer.reload(&invalid);
        }
        thread::sleep(Duration::from_millis(100));
        wait_for("the second settings", || {
            balancer.client("c=lab,d=900").next_line_is("UP 1")
        });
        // A reload with the first settings reverts the change.
        balancer.reload(&first);
        wait_for("the first settings", || {
            balancer
                .servers
                .iter()
                .for_each(|server| server.set_behavior(ServerBehavior::Busy));
            let before = attempts(&balancer);
            let is_busy = balancer
                .client("c=chat,d=900")
                .read_line()
                .starts_with("BUSY");
            let has_retried = attempts(&balancer) > before + 1;
            balancer
                .servers
                .iter()
                .for_each(|server| server.set_behavior(ServerBehavior::Serving));
            is_busy && has_retried
        });
        wait_for("a served client after the busy servers", || {
            balancer.client("c=order,d=1000").next_line_is("UP 1")
        });
        open_clients
            .iter_mut()
            .for_each(|client| client.assert_echo("still here"));
    }
    balancer.terminate();
    assert!(balancer.process.wait().unwrap().success());
}
