//! The configuration and the operator's file at the start: which keys are optional, which faults
//! are reported, and what is ignored.

mod common;

use std::io::Read;
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{DiscoveryAgent, ToyServer};
use common::{EXAMPLE, TestBalancer, unused_address, wait_for, with_settings};
use serde_json::{Value, json};

/// The optional keys at the top level of the settings.
const OPTIONAL_SETTINGS: [&str; 11] = [
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

/// Starts a balancer with these changes to the settings. Asserts that it serves a flow of each
/// traffic class, and that it ends within 6 s of SIGTERM.
fn assert_serves_and_ends(case: &str, changes: &[(&str, Value)]) {
    let mut balancer = TestBalancer::with_config(2, |config| with_settings(&config, changes));
    for class in ["chat", "order"] {
        wait_for(case, || {
            balancer
                .client(&format!("c={class},d=900,g=room"))
                .next_line_is("UP 1")
        });
    }
    balancer.terminate();
    let signal_sent = Instant::now();
    let status = balancer.process.wait().unwrap();
    assert!(
        status.success() && signal_sent.elapsed() < Duration::from_secs(6),
        "{case}: {status}"
    );
}

/// Deployments differ in their settings: one leaves out a setting, sets it to null or writes it in
/// another form than the next. Guards against a balancer that does not start or does not serve
/// because of this.
#[test]
fn missing_settings_and_all_variants_of_a_setting_are_accepted() {
    let without = |path: &'static str| (path.to_string(), vec![(path, Value::Null)]);
    let optional_nested = [
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
    let mut cases: Vec<(String, Vec<(&str, Value)>)> = OPTIONAL_SETTINGS
        .into_iter()
        .chain(optional_nested)
        .map(without)
        .collect();
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
            "an endpoint list that is polled".into(),
            vec![("discovery", json!("ask"))],
        ),
        (
            "zones that the endpoint list doesn't name".into(),
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
            "times whose sums would overflow".into(),
            vec![
                ("contract/warm-up", json!(1e300)),
                ("limits/max-retry-after", json!(u64::MAX)),
                ("limits/dial-timeout", json!(1e40)),
                ("service-types/0/hard-limit", json!(1e200)),
            ],
        ),
        (
            "no settings but service types".into(),
            OPTIONAL_SETTINGS.map(|path| (path, Value::Null)).to_vec(),
        ),
    ]);
    let cases: Vec<_> = cases
        .into_iter()
        .map(|(name, changes)| {
            (
                name.clone(),
                thread::spawn(move || assert_serves_and_ends(&name, &changes)),
            )
        })
        .collect();
    for (name, case) in cases {
        assert!(case.join().is_ok(), "{name}");
    }
}

/// Guards against a setting with an invalid value that is treated as missing.
#[test]
fn an_invalid_setting_is_reported_with_its_key() {
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
fn an_invalid_configuration_is_reported_with_the_key_at_fault() {
    // Returns whether `nettlemux check` succeeds, and what it prints.
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
        let (valid, text) = check(&EXAMPLE.replacen(from, to, 1));
        assert!(
            !valid && text.contains(key) && !text.contains("panicked"),
            "{key}: {text}"
        );
    }
    // Unknown keys are reported but are no error. Guards against a misspelt key that silently
    // removes a limit, and against a fleet that does not start because the platform has added keys
    // that this version does not know.
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
        let (valid, text) = check(&EXAMPLE.replacen(from, to, 1));
        assert!(valid && text.contains(key), "{key}: {text}");
    }
}

/// Guards against a start or a reload that fails because the configuration has keys that this
/// version does not know, such as those of a deployment whose balancers may gossip.
#[test]
fn unknown_configuration_keys_prevent_neither_a_start_nor_a_reload() {
    let unknown_keys = "\"peer_listen\": \"127.0.0.1:7200\", \"more\": {\"a\": [1, null]}, \"limits\": {\"threads\": 4, ";
    let balancer = TestBalancer::with_config(1, |config| {
        config.replacen("\"limits\": {", unknown_keys, 1)
    });
    let (other_agent, server) = (
        DiscoveryAgent::start("127.0.0.1:0").unwrap(),
        ToyServer::start("127.0.0.1:0").unwrap(),
    );
    other_agent.publish("s-other", server.address, "Ready");
    let changed_config = balancer.config_text.replace(
        &balancer.agent.address.to_string(),
        &other_agent.address.to_string(),
    );
    balancer.reload(&changed_config);
    wait_for("the other agent's endpoint list", || {
        balancer.client("c=chat,d=900").next_line_is("UP 1") && !server.first_lines().is_empty()
    });
}

#[test]
fn the_operators_file_is_validated_and_selects_the_json_log() {
    let temporary_file = |kind| {
        std::env::temp_dir().join(format!("nettlemux-operator-{}-{kind}", std::process::id()))
    };
    let (config, operator) = (
        temporary_file("config.json"),
        temporary_file("operator.toml"),
    );
    let address = unused_address().to_string();
    std::fs::write(&config, EXAMPLE.replace("127.0.0.1:7000", &address)).unwrap();
    let command = |subcommand: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_nettlemux"));
        command
            .arg(subcommand)
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
    wait_for("the listener", || TcpStream::connect(&address).is_ok());
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
        .map(|line| serde_json::from_str(line).expect("each log line is a JSON object"))
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
