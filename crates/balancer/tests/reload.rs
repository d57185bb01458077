//! Configuration changes on SIGHUP.

mod common;

use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{DiscoveryAgent, ServerBehavior, ToyServer};
use common::{Client, TestBalancer, wait_for, with_settings};
use serde_json::{Value, json};

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

/// How long after a request was accepted its connection to the server breaks, at the earliest. Both
/// deduplication windows of the test case are far from it.
const BREAK_DELAY: Duration = Duration::from_millis(600);

/// Returns the settings of a traffic class.
fn service_type(name: &str, repeat: &str, scope: &str, window_ms: u64) -> Value {
    json!({"name": name, "setup-target": 300_000, "value": 1.0, "repeat": repeat, "group": scope,
        "window": window_ms * 1000})
}

/// Sends a request of the type `order`, which comes to a server that doesn't answer. Then another
/// server, of another cell, takes that server's place on the list, each list of traffic classes is
/// applied in turn, and the connection to the first server breaks. Returns the client's answer.
fn answer_after_new_settings(accepted: &Value, new: &[Vec<Value>]) -> String {
    let chat = service_type("chat", "free", "all", 0);
    let balancer = TestBalancer::with_config(1, |config| {
        let classes = json!([chat, accepted]);
        with_settings(&config, &[("service-types", classes)])
    });
    let hanging = &balancer.servers[0];
    hanging.set_behavior(ServerBehavior::Silent);
    let mut waiting = balancer.client("c=order,d=4000");
    wait_for("the request at the server that hangs", || {
        let lines = hanging.first_lines();
        lines.iter().any(|line| line.contains("c=order"))
    });
    let received_at = Instant::now();
    let other = ToyServer::start("127.0.0.1:0").unwrap();
    balancer
        .agent
        .publish("s-0", hanging.address, "Terminating");
    balancer
        .agent
        .publish_in_cell("s-1", other.address, "Ready", 1);
    balancer.wait_for_current_list();
    for (number, classes) in new.iter().enumerate() {
        // A type of its own shows that these settings are in force.
        let marker = format!("marker-{number}");
        let mut classes = classes.clone();
        classes.extend([chat.clone(), service_type(&marker, "free", "all", 0)]);
        let changes = [("service-types", Value::Array(classes))];
        balancer.reload(&with_settings(&balancer.config_text, &changes));
        wait_for("the new settings", || {
            let values = format!("c={marker},d=900");
            balancer.client(&values).next_line_is("UP 1")
        });
    }
    thread::sleep(BREAK_DELAY.saturating_sub(received_at.elapsed()));
    hanging.send_and_close("");
    waiting.read_line()
}

/// Guards against a once-only request that runs twice because new settings call its type
/// repeatable, and against any other change of what an accepted request was promised.
#[test]
fn accepted_request_keeps_its_effect_scope_and_window_under_new_settings() {
    let once = || service_type("order", "single_shot", "all", 0);
    let free = || service_type("order", "free", "all", 0);
    let guarded = |scope: &str, window_ms: u64| service_type("order", "guarded", scope, window_ms);
    // The type as the request was accepted, the new settings in turn, the expected answer: ERR if
    // the request may have run, UP from the other server if a repeat can do no harm.
    let cases = [
        (once(), vec![vec![free()]], "ERR"),
        (once(), vec![vec![guarded("all", 60_000)]], "ERR"),
        (once(), vec![vec![]], "ERR"),
        (once(), vec![vec![], vec![free()]], "ERR"),
        (
            once(),
            vec![vec![free()], vec![once()], vec![free()]],
            "ERR",
        ),
        (
            guarded("cell", 60_000),
            vec![vec![guarded("all", 60_000)]],
            "ERR",
        ),
        (
            guarded("all", 300),
            vec![vec![guarded("all", 60_000)]],
            "ERR",
        ),
        (guarded("all", 300), vec![vec![free()]], "ERR"),
        (free(), vec![vec![once()]], "UP 1"),
        (free(), vec![vec![]], "UP 1"),
        (
            guarded("all", 60_000),
            vec![vec![guarded("cell", 60_000)]],
            "UP 1",
        ),
        (
            guarded("all", 60_000),
            vec![vec![guarded("all", 0)]],
            "UP 1",
        ),
    ];
    for (accepted, new, expected) in cases {
        let answer = answer_after_new_settings(&accepted, &new);
        assert_eq!(answer, expected, "accepted as {accepted}, then {new:?}");
    }
}

/// Guards against a waiting request that is given up early because new settings give its type a
/// shorter latency objective.
#[test]
fn waiting_request_keeps_its_latency_objective_under_new_settings() {
    let balancer = TestBalancer::with_draining_server_only();
    let mut waiting = balancer.client("c=chat,d=4000");
    thread::sleep(Duration::from_millis(100));
    let changes = [("service-types/0/setup-target", json!(100_000))];
    balancer.reload(&with_settings(&balancer.config_text, &changes));
    wait_for("the shorter objective", || {
        let since = Instant::now();
        let is_rejected = balancer
            .client("c=chat,d=2000")
            .read_line()
            .starts_with("BUSY");
        is_rejected && since.elapsed() < Duration::from_secs(1)
    });
    let server = &balancer.servers[0];
    balancer.agent.publish("s-0", server.address, "Ready");
    assert_eq!(waiting.read_line(), "UP 1");
}

/// Guards against a request that is accepted under replaced settings because its connection was
/// open, with another line answered on it, before the new ones came.
#[test]
fn request_after_a_ping_is_accepted_under_the_settings_in_force() {
    let balancer = TestBalancer::new(1);
    let mut earlier = Client::connect_and_send(balancer.address, b"PING\r\n");
    assert_eq!(earlier.read_line(), "PONG");
    let changes = [("service-types/1", service_type("late", "free", "all", 0))];
    balancer.reload(&with_settings(&balancer.config_text, &changes));
    wait_for("the new settings", || {
        balancer.client("c=late,d=900").next_line_is("UP 1")
    });
    earlier.send("OPEN 7c01 7f3a c=late,d=900\r\n");
    assert_eq!(earlier.read_line(), "UP 1");
}
