//! The configuration and the operator's file at the start: what may be missing, what is named as
//! faulty, and what is ignored.

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{DiscoveryAgent, ToyServer};
use common::{EXAMPLE, TestBalancer, unused_address, wait_for, with_settings};
use serde_json::{Value, json};

/// What may be missing at the top of the settings.
const OPTIONAL: [&str; 11] = [
    "zone",
    "areas",
    "models",
    "discovery",
    "weights",
    "replicas-of-me",
    "accounts",
    "contract",
    "limits",
    "report",
    "specifics",
];

/// Starts it with these settings, lets it serve a flow of each traffic class, and ends it.
fn serves_and_ends(what: &str, changes: &[(&str, Value)]) {
    let mut balancer = TestBalancer::with_config(2, |config| with_settings(&config, changes));
    for class in ["chat", "order"] {
        wait_for(what, || {
            balancer
                .client(&format!("c={class},d=900,g=room"))
                .receives("UP 1")
        });
    }
    balancer.terminate();
    let since = Instant::now();
    let status = balancer.process.wait().unwrap();
    assert!(
        status.success() && since.elapsed() < Duration::from_secs(6),
        "{what}: {status}"
    );
}

/// Guards against a start that is refused, or a balancer that serves nobody, since a setting that
/// this deployment has is left out, is null or is written otherwise at another.
#[test]
fn a_setting_may_be_missing_and_each_kind_may_stand_there() {
    let gone = |path: &'static str| (path.to_string(), vec![(path, Value::Null)]);
    let inside = [
        "contract/start-capacity",
        "contract/warm-up",
        "contract/fall-multiple",
        "limits/max-connects",
        "limits/second-copies",
        "limits/may-cancel",
        "limits/probes",
        "limits/retry-after",
        "limits/max-retry-after",
        "limits/dial-timeout",
        "report/how",
        "specifics/groups",
        "service-types/0/setup-target",
        "service-types/0/value",
        "service-types/0/repeat",
    ];
    let mut cases: Vec<(String, Vec<(&str, Value)>)> =
        OPTIONAL.into_iter().chain(inside).map(gone).collect();
    let class = |repeat: &str, group: &str| json!({"name": "chat", "repeat": repeat, "group": group, "window": 500_000, "setup-target": 300_000, "value": 2.0, "hard-limit": 1_000_000});
    for (repeat, group) in [
        ("free", "all"),
        ("single_shot", "all"),
        ("guarded", "all"),
        ("guarded", "zone"),
        ("guarded", "cell"),
    ] {
        cases.push((
            format!("{repeat} {group}"),
            vec![("service-types/0", class(repeat, group))],
        ));
    }
    cases.extend([
        (
            "a list that is asked for".into(),
            vec![("discovery", json!("ask"))],
        ),
        (
            "zones that the list doesn't name".into(),
            vec![("areas", json!(["x", "y"])), ("zone", json!(1))],
        ),
        (
            "tenants".into(),
            vec![(
                "accounts",
                json!([{"name": "t", "fraction": 0.4}, {"name": "u"}]),
            )],
        ),
        (
            "1,024 balancers".into(),
            vec![("replicas-of-me", json!(1024)), ("me", json!(1023))],
        ),
        (
            "times that sums run over at".into(),
            vec![
                ("contract/warm-up", json!(1e300)),
                ("limits/max-retry-after", json!(u64::MAX)),
                ("limits/dial-timeout", json!(1e40)),
                ("service-types/0/hard-limit", json!(1e200)),
            ],
        ),
        (
            "nothing but service types".into(),
            OPTIONAL.map(|path| (path, Value::Null)).to_vec(),
        ),
    ]);
    let cases: Vec<_> = cases
        .into_iter()
        .map(|(what, changes)| {
            (
                what.clone(),
                thread::spawn(move || serves_and_ends(&what, &changes)),
            )
        })
        .collect();
    for (what, case) in cases {
        assert!(case.join().is_ok(), "{what}");
    }
}

/// Guards against a value that can't be read and is taken for none.
#[test]
fn a_setting_that_cannot_be_read_is_named() {
    for (path, value, key) in [
        ("zone", json!("first"), "'settings.zone'"),
        ("discovery", json!(1), "'settings.discovery'"),
        ("accounts", json!({"t": 0.4}), "'settings.accounts'"),
        (
            "accounts",
            json!([{"fraction": "half"}]),
            "'settings.fraction'",
        ),
        (
            "contract/warm-up",
            json!([1, 2]),
            "'settings.contract.warm-up'",
        ),
        (
            "contract/fall-multiple",
            json!(false),
            "'settings.contract.fall-multiple'",
        ),
        (
            "contract/ask-within",
            json!("soon"),
            "'settings.contract.ask-within'",
        ),
        ("limits/probes", json!("yes"), "'settings.limits.probes'"),
        (
            "limits/max-retry-after",
            json!({}),
            "'settings.limits.max-retry-after'",
        ),
        (
            "limits/dial-timeout",
            json!(true),
            "'settings.limits.dial-timeout'",
        ),
        ("service-types", Value::Null, "'settings.service-types'"),
        ("service-types/0/repeat", json!(2), "'settings.repeat'"),
        ("service-types/0/value", json!("much"), "'settings.value'"),
    ] {
        let file =
            std::env::temp_dir().join(format!("nettlemux-unread-{}.json", std::process::id()));
        std::fs::write(&file, with_settings(EXAMPLE, &[(path, value)])).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_nettlemux"))
            .args(["check", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stderr);
        let last = text.lines().last().unwrap_or_default();
        assert!(
            output.status.code() == Some(1) && last.contains(key),
            "{path}: {text}"
        );
        let _ = std::fs::remove_file(file);
    }
}

#[test]
fn a_faulty_configuration_is_named_by_its_key() {
    let check = |config: &str| {
        let file =
            std::env::temp_dir().join(format!("nettlemux-check-{}.json", std::process::id()));
        std::fs::write(&file, config).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
        let output = command
            .args(["check", "--config"])
            .arg(&file)
            .output()
            .unwrap();
        let mut text = String::new();
        output
            .stdout
            .chain(&output.stderr[..])
            .read_to_string(&mut text)
            .unwrap();
        (output.status.success(), text)
    };
    assert!(check(EXAMPLE).0);
    for (from, to, key) in [
        ("{\n", "", "(whole file)"),
        ("127.0.0.1:7000", "here", "'listen'"),
        ("127.0.0.1:7100", "127.0.0.1", "'discovery'"),
        ("8c1f30d27a5be964", "xyz", "'seed'"),
        ("\"sockets\": 1024", "\"sockets\": -1", "'limits.sockets'"),
        ("\"sockets\": 1024", "\"sockets\": 3", "'limits.sockets'"),
        (
            "\"memory_mb\": 192",
            "\"memory_mb\": 1",
            "'limits.memory_mb'",
        ),
        (
            "\"max-connects\": 3",
            "\"max-connects\": \"many\"",
            "'settings.limits.max-connects'",
        ),
        (
            "\"dial-timeout\": 250000",
            "\"dial-timeout\": \"soon\"",
            "'settings.limits.dial-timeout'",
        ),
        ("single_shot", "sometimes", "'settings.repeat'"),
        ("\"settings\"", "\"known\": {}, \"settings\"", "'known'"),
        (
            "\"settings\"",
            "\"setings\"",
            "'setings': unknown; did you mean 'settings'?",
        ),
    ] {
        let (good, text) = check(&EXAMPLE.replacen(from, to, 1));
        assert!(
            !good && text.contains(key) && !text.contains("panicked"),
            "{key}: {text}"
        );
    }
    // Guards against a limit that a misspelt key removes in silence, and a fleet that doesn't start
    // since the platform has keys that this version doesn't know.
    for (from, to, key) in [
        (
            "\"limits\"",
            "\"limts\"",
            "'limts': unknown; did you mean 'limits'?",
        ),
        (
            "\"sockets\"",
            "\"socket\"",
            "'limits.socket': unknown; did you mean 'sockets'?",
        ),
        (
            "\"limits\"",
            "\"peer_listen\": \"127.0.0.1:7200\", \"limits\"",
            "'peer_listen': unknown",
        ),
        (
            "\"name\": \"toy\"",
            "\"name\": null, \"known\": null",
            "nettlemux: listens at",
        ),
    ] {
        let (good, text) = check(&EXAMPLE.replacen(from, to, 1));
        assert!(good && text.contains(key), "{key}: {text}");
    }
}

/// Guards against a start or a reload that is refused since the configuration has keys that this
/// version doesn't know, as on a deployment whose balancers may gossip.
#[test]
fn keys_that_nothing_reads_are_no_reason_not_to_serve() {
    let more = "\"peer_listen\": \"127.0.0.1:7200\", \"more\": {\"a\": [1, null]}, \"limits\": {\"threads\": 4, ";
    let balancer = TestBalancer::with_config(1, |config| config.replacen("\"limits\": {", more, 1));
    let (other, server) = (
        DiscoveryAgent::start("127.0.0.1:0").unwrap(),
        ToyServer::start("127.0.0.1:0").unwrap(),
    );
    other.publish("s-other", server.address, "Ready");
    let moved = balancer.config.replace(
        &balancer.agent.address.to_string(),
        &other.address.to_string(),
    );
    balancer.reload(&moved);
    wait_for("the other agent's list", || {
        balancer.client("c=chat,d=900").receives("UP 1") && !server.first_lines().is_empty()
    });
}

#[test]
fn the_operators_file_is_read_and_the_log_comes_as_objects() {
    let name = |kind| {
        std::env::temp_dir().join(format!("nettlemux-operator-{}-{kind}", std::process::id()))
    };
    let (config, operator) = (name("config.json"), name("operator.toml"));
    let at = unused_address().to_string();
    std::fs::write(&config, EXAMPLE.replace("127.0.0.1:7000", &at)).unwrap();
    let command = |word: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
        command
            .arg(word)
            .arg("--config")
            .arg(&config)
            .arg("--operator")
            .arg(&operator);
        command
    };
    std::fs::write(&operator, "[log]\nformt = \"json\"\n").unwrap();
    let output = command("check").output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && text.contains("'log.formt': unknown; did you mean 'format'?"),
        "{text}"
    );
    std::fs::write(&operator, "[log]\nformat = \"json\"\n").unwrap();
    assert!(command("check").status().unwrap().success());
    let mut child = command("serve").stderr(Stdio::piped()).spawn().unwrap();
    wait_for("PONG", || TcpStream::connect(&at).is_ok());
    assert!(
        Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status()
            .unwrap()
            .success()
    );
    assert!(child.wait().unwrap().success());
    let mut log = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    let objects: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).expect("an object a line"))
        .collect();
    assert!(
        objects
            .iter()
            .any(|object| object["message"] == "serving" && object["sockets"] == 1024),
        "{log}"
    );
    let schema = Command::new(env!("CARGO_BIN_EXE_nettlemux"))
        .arg("schema")
        .output()
        .unwrap();
    let schema: serde_json::Value = serde_json::from_slice(&schema.stdout).unwrap();
    assert!(schema["properties"]["log"].is_object());
    let _ = (std::fs::remove_file(config), std::fs::remove_file(operator));
}
