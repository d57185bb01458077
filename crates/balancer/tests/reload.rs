//! Configuration changes on SIGHUP.

mod common;

use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{DiscoveryAgent, ServerBehavior};
use common::{Client, TestBalancer, wait_for};

/// Guards against a SIGHUP that ends the program, a new address that is not asked for its whole
/// list, and a faulty file that changes anything.
#[test]
fn a_new_configuration_moves_discovery_and_a_faulty_one_nothing() {
    let mut balancer = TestBalancer::new(2);
    let other = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    let first = balancer.config.clone();
    let moved = first.replace(
        &balancer.agent.address.to_string(),
        &other.address.to_string(),
    );
    // Nothing answers there: the old list holds. Several in a row: the last one counts.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    balancer.reload("{");
    balancer.reload(&first.replace(
        &balancer.agent.address.to_string(),
        &silent.local_addr().unwrap().to_string(),
    ));
    thread::sleep(Duration::from_millis(200));
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
    // A version far below the first agent's, and only one of the servers.
    other.publish("s-1", balancer.servers[1].address, "Ready");
    balancer.reload(&moved);
    balancer.reload(&moved);
    let since = Instant::now();
    wait_for("the other agent's list", || {
        let before = balancer.servers[0].first_lines().len();
        (0..4).all(|_| balancer.client("c=chat,d=900").receives("UP 1"))
            && balancer.servers[0].first_lines().len() == before
    });
    assert!(since.elapsed() < Duration::from_secs(2));
    // A faulty one keeps what is followed now; so does the first agent's update.
    balancer.reload(&moved.replace("\"sockets\": 1024", "\"sockets\": -1"));
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Ready");
    other.publish("s-1", balancer.servers[1].address, "Terminating");
    other.publish("s-2", balancer.servers[0].address, "Ready");
    wait_for("its next update", || {
        let before = balancer.servers[0].first_lines().len();
        balancer.client("c=chat,d=900").receives("UP 1")
            && balancer.servers[0].first_lines().len() == before + 1
    });
    balancer.terminate();
    balancer.reload(&moved);
    assert!(
        balancer.process.wait().unwrap().success(),
        "SIGHUP while it ends"
    );
}

/// Guards against admission limits that hold for the wrong client, that count clients that have
/// gone, or that a faulty file changes.
#[test]
fn admission_limits_by_client_and_takes_new_limits_on_sighup() {
    let mut balancer = TestBalancer::new(1);
    // The same balancer again, with an operator's file.
    balancer.kill();
    let operator = balancer.config_file.with_extension("toml");
    let configure = |table: &str, open: &str| {
        std::fs::write(
            &operator,
            format!("[{table}]\nby = \"client\"\nopen = {open}\n"),
        )
        .unwrap()
    };
    configure("admission", "1");
    let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
    command
        .args(["serve", "--config"])
        .arg(&balancer.config_file)
        .arg("--operator")
        .arg(&operator);
    balancer.process = command.stderr(Stdio::null()).spawn().unwrap();
    let own = |balancer: &TestBalancer| balancer.client("c=chat,d=900,g=mine");
    wait_for("PONG", || TcpStream::connect(balancer.address).is_ok());
    wait_for("a list", || {
        balancer.client("c=chat,d=900,g=warm").receives("UP 1")
    });
    let mut first = own(&balancer);
    assert_eq!(first.read_line(), "UP 1");
    let answer = own(&balancer).read_line();
    let ms: u64 = answer
        .strip_prefix("BUSY ")
        .and_then(|ms| ms.parse().ok())
        .expect("a Retry-After");
    assert!((500..=2000).contains(&ms), "{answer}");
    assert_eq!(balancer.client("c=chat,d=900,g=other").read_line(), "UP 1");
    // A faulty file changes nothing; a good one counts from now on.
    configure("admission", "-1");
    balancer.signal("-HUP");
    thread::sleep(Duration::from_millis(200));
    assert!(own(&balancer).read_line().starts_with("BUSY "));
    // The name of an earlier version.
    configure("door", "2");
    balancer.signal("-HUP");
    wait_for("the new limit", || own(&balancer).receives("UP 1"));
    drop(first);
    balancer.terminate();
    assert!(balancer.process.wait().unwrap().success());
    let _ = std::fs::remove_file(operator);
}

/// Guards against a switch that needs a restart, loses or repeats what was accepted, or can't be
/// taken back.
#[test]
fn other_settings_are_taken_on_sighup_and_taken_back_by_the_same_step() {
    let mut balancer = TestBalancer::new(2);
    let first = balancer.config.clone();
    // Another shape: traffic classes in another order, one of them new and one gone, balancers that
    // may gossip, one attempt.
    let mut other: serde_json::Value = serde_json::from_str(&first).unwrap();
    let settings = &mut other["settings"];
    settings["areas"] = serde_json::json!(["b", "a"]);
    settings["replicas-of-me"] = 4.into();
    settings["limits"]["may-tell"] = true.into();
    settings["limits"]["max-connects"] = 1.into();
    settings["service-types"] = serde_json::json!([
        {"name": "lab", "setup-target": 800000, "value": 3.0, "repeat": "free", "hard-limit": 4800000},
        {"name": "chat", "setup-target": 300000, "value": 1.0, "repeat": "free"}
    ]);
    let second = other.to_string();
    let mut standing: Vec<Client> = (0..4).map(|_| balancer.client("c=chat,d=900")).collect();
    standing
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "UP 1"));
    assert_eq!(
        balancer.client("c=lab,d=900").read_line(),
        "ERR",
        "not known yet"
    );
    let attempts = |balancer: &TestBalancer| {
        balancer
            .servers
            .iter()
            .map(|server| server.first_lines().len())
            .sum::<usize>()
    };
    for round in 0..3 {
        // Accepted before the switch, answered after it: its attempt is in flight meanwhile, and is
        // the only one.
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
            "round {round}"
        );
        assert_eq!(attempts(&balancer), before, "round {round}: sent twice");
        wait_for("the new traffic class", || {
            balancer.client("c=lab,d=900").receives("UP 1")
        });
        // One attempt only is allowed now.
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
        assert_eq!(attempts(&balancer), before + 1, "round {round}");
        balancer
            .servers
            .iter()
            .for_each(|server| server.set_behavior(ServerBehavior::Serving));
        // What no settings can mean changes nothing.
        for faulty in [
            second.replace("\"may-tell\":true", "\"may-tell\":\"yes\""),
            second.replace("\"name\":\"lab\"", "\"name\":\"chat\""),
            second.replace("\"start-capacity\":0.35", "\"start-capacity\":null"),
        ] {
            assert_ne!(faulty, second);
            balancer.reload(&faulty);
        }
        thread::sleep(Duration::from_millis(100));
        wait_for("the second settings", || {
            balancer.client("c=lab,d=900").receives("UP 1")
        });
        // The way back is the same step.
        balancer.reload(&first);
        wait_for("the first settings", || {
            balancer
                .servers
                .iter()
                .for_each(|server| server.set_behavior(ServerBehavior::Busy));
            let before = attempts(&balancer);
            let busy = balancer
                .client("c=chat,d=900")
                .read_line()
                .starts_with("BUSY");
            let more = attempts(&balancer) > before + 1;
            balancer
                .servers
                .iter()
                .for_each(|server| server.set_behavior(ServerBehavior::Serving));
            busy && more
        });
        wait_for("recovery", || {
            balancer.client("c=order,d=1000").receives("UP 1")
        });
        standing
            .iter_mut()
            .for_each(|client| client.assert_echo("still here"));
    }
    balancer.terminate();
    assert!(balancer.process.wait().unwrap().success());
}
