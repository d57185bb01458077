//! Starts and ends of the real program: settings that other deployments leave out or write otherwise, lists longer than
//! any that was met, signals at every moment, an agent and a log that misbehave. What each case guards against stands
//! beside it.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{Agent, Toy};
use common::{Client, EXAMPLE, Stand, changed, own_address, soon};
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
    let mut stand = Stand::with(2, |config| changed(&config, changes));
    for class in ["chat", "order"] {
        soon(what, || {
            stand
                .client(&format!("c={class},d=900,g=room"))
                .says("UP 1")
        });
    }
    stand.terminate();
    let since = Instant::now();
    let status = stand.child.wait().unwrap();
    assert!(
        status.success() && since.elapsed() < Duration::from_secs(6),
        "{what}: {status}"
    );
}

/// Guards against a start that is refused, or a balancer that serves nobody, since a setting that this deployment has is
/// left out, is null or is written otherwise at another.
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
        std::fs::write(&file, changed(EXAMPLE, &[(path, value)])).unwrap();
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

/// A balancer with 256 descriptors and 32 MB among as many balancers as servers, all of which are one.
fn small_among(servers: usize) -> Stand {
    let stand = Stand::with(1, |config| {
        let few = config
            .replace("\"sockets\": 1024", "\"sockets\": 256")
            .replace("\"memory_mb\": 192", "\"memory_mb\": 32");
        changed(&few, &[("replicas-of-me", json!(servers))])
    });
    for n in 1..servers {
        stand
            .agent
            .tell(&format!("s-{n:04}"), stand.toys[0].address, "Ready");
    }
    stand
}

/// Most of sixty clients of as many groups are served, within the limits. Returns them, still open.
fn serves_within_its_limits(stand: &Stand) -> Vec<Client> {
    let mut open: Vec<Client> = Vec::new();
    let served = (0..60).filter(|n| {
        open.push(stand.client(&format!("c=chat,d=2000,g=r{n}")));
        open.last_mut().unwrap().says("UP 1")
    });
    let served = served.count();
    let status = std::fs::read_to_string(format!("/proc/{}/status", stand.child.id())).unwrap();
    let most = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    let kb: usize = most.split_whitespace().nth(1).unwrap().parse().unwrap();
    let sockets = std::fs::read_dir(format!("/proc/{}/fd", stand.child.id()))
        .unwrap()
        .count();
    assert!(
        served >= 50 && kb < 32 << 10 && sockets <= 256,
        "{served} served, {kb} KB, {sockets} descriptors"
    );
    open
}

/// As long a list as is probed whole: each server is asked for its load, and again.
#[test]
fn a_list_of_200_servers_is_probed_whole_within_32_mb_and_256_descriptors() {
    let stand = small_among(200);
    soon("probes", || stand.toys[0].asked() > 300);
    let _open = serves_within_its_limits(&stand);
}

/// Guards against a balancer that a long list makes too large or too slow: 1,024 servers, within the least memory and
/// the fewest descriptors that the platform gives. It keeps to the budget of probes, ten a second and one
/// second saved up, before any client comes, and goes on with servers that hold its connections.
#[test]
fn a_list_of_1024_servers_is_served_within_32_mb_and_256_descriptors() {
    const PROBES_A_SECOND: f64 = 10.0;
    let stand = small_among(1024);
    // What was asked before the whole list was there doesn't count.
    std::thread::sleep(Duration::from_secs(1));
    let (before, since) = (stand.toys[0].asked(), Instant::now());
    std::thread::sleep(Duration::from_secs(3));
    let asked = (stand.toys[0].asked() - before) as f64;
    let most = PROBES_A_SECOND * (since.elapsed().as_secs_f64() + 1.0) + 1.0;
    assert!(asked <= most, "{asked} probes, {most} at most");
    let _open = serves_within_its_limits(&stand);
    let before = stand.toys[0].asked();
    soon("probes of servers that hold ours", || {
        stand.toys[0].asked() > before + 10
    });
}

/// Guards against a process that a signal ends, or that never ends, since it came during the start, twice or with another.
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
    let at = own_address();
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
    soon("handlers", || {
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

/// The balancer is told to read this configuration.
fn reloaded(stand: &Stand, config: &str) {
    std::fs::write(&stand.file, config).unwrap();
    stand.signal("-HUP");
}

/// An agent that answers each call at once with this; how often it was called.
fn agent_that_says(status: &str, body: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, calls) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let counted = calls.clone();
    let answer = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (calls, answer) = (counted.clone(), answer.clone());
            thread::spawn(move || {
                for line in BufReader::new(&stream).lines().map_while(Result::ok) {
                    if line.is_empty() {
                        calls.fetch_add(1, Ordering::Relaxed);
                        let _ = (&stream).write_all(answer.as_bytes());
                    }
                }
            });
        }
    });
    (address, calls)
}

/// Guards against a balancer that an agent's answers end or keep busy: the old list holds, and it is asked again, but not
/// without end.
#[test]
fn an_agent_that_talks_nonsense_or_holds_no_call_stops_nothing() {
    let stand = Stand::new(1);
    let mut now = stand.agent.address.to_string();
    let mut config = stand.config.clone();
    for (what, body) in [
        (
            "nothing new",
            r#"{"generation":7,"reset":false,"instances":[]}"#.to_string(),
        ),
        ("too deep to read", "[".repeat(100_000)),
        (
            "as deep as is read",
            format!(
                r#"{{"generation":8,"reset":false,"instances":[{}{}]}}"#,
                "[".repeat(125),
                "]".repeat(125)
            ),
        ),
        ("no text", "\u{0}\u{1}\u{2}".repeat(1000)),
        (
            "numbers that are none",
            r#"{"generation":-1,"reset":1e999,"instances":{}}"#.to_string(),
        ),
    ] {
        let (address, calls) = agent_that_says("200 OK", body);
        config = config.replace(&now, &address.to_string());
        now = address.to_string();
        reloaded(&stand, &config);
        soon(what, || calls.load(Ordering::Relaxed) > 3);
        let before = calls.load(Ordering::Relaxed);
        thread::sleep(Duration::from_millis(500));
        let made = calls.load(Ordering::Relaxed) - before;
        assert!(
            (3..=30).contains(&made),
            "{what}: {made} calls in half a second"
        );
        assert_eq!(stand.client("c=chat,d=900").line(), "UP 1", "{what}");
    }
}

/// Guards against a hundred balancers that call a service they share again at once, keep its line full and learn nothing for
/// the rest of the day. An agent on the own machine costs nothing and is asked again at once: what it has counts as told.
#[test]
fn a_list_that_is_asked_for_is_called_for_less_and_less_while_calls_fail() {
    let stand = Stand::new(1);
    for (discovery, least, most) in [("push", 30, 80), ("ask", 2, 22)] {
        let (address, calls) = agent_that_says("503 Busy", String::new());
        let config = stand
            .config
            .replace(&stand.agent.address.to_string(), &address.to_string());
        reloaded(
            &stand,
            &changed(&config, &[("discovery", json!(discovery))]),
        );
        soon(discovery, || calls.load(Ordering::Relaxed) > 0);
        let before = calls.load(Ordering::Relaxed);
        thread::sleep(Duration::from_secs(3));
        let made = calls.load(Ordering::Relaxed) - before;
        assert!(
            (least..=most).contains(&made),
            "{discovery}: {made} calls in 3 s"
        );
        assert_eq!(
            stand.client("c=chat,d=900").line(),
            "UP 1",
            "{discovery}: the old list holds"
        );
    }
}

/// Guards against a balancer that stops or spins where nobody reads its log any more.
#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    let agent = Agent::start("127.0.0.1:0").unwrap();
    let at = own_address();
    let file = std::env::temp_dir().join(format!("nettlemux-unheard-{}.json", std::process::id()));
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
    soon("PONG", || TcpStream::connect(at).is_ok());
    for _ in 0..200 {
        assert_eq!(Client::new(at, b"PING\r\n").line(), "PONG");
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

/// Guards against a module that goes by the others' words where the settings allow them and there is no way for any: it has to
/// place as where they are not allowed, and so pass over a server that holds well over its mean of our connections.
#[test]
fn words_that_have_no_way_are_no_words() {
    let stand = Stand::with(6, |config| {
        changed(
            &config,
            &[
                ("limits/may-tell", json!(true)),
                ("replicas-of-me", json!(300)),
            ],
        )
    });
    let mut open: Vec<Client> = Vec::new();
    for _ in 0..12 {
        open.push(stand.client("c=chat,d=900,g=ours"));
        assert_eq!(open.last_mut().unwrap().line(), "UP 1");
    }
    let of_group = |toy: &Arc<Toy>| {
        toy.seen()
            .iter()
            .filter(|line| line.contains("g=ours"))
            .count()
    };
    let held: Vec<usize> = stand.toys.iter().map(of_group).collect();
    assert!(held.iter().all(|count| *count <= 6), "{held:?}");
}
