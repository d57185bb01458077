//! Discovery that goes down and returns, on the real program with a balancer-in agent on loopback:
//! how long until its updates are asked for and answered.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::AgentBehavior;
use common::{TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Longest time until a change is known, from when discovery had it and could be reached.
const CHANGE_KNOWN_AFTER_MAX: Duration = Duration::from_secs(6);

/// The wait in the queue of a service that all balancers share, a little under the 2 s after which
/// it rejects calls.
const QUEUE: Duration = Duration::from_millis(1900);

/// How long a failing service keeps a call.
const FAILING_CALL: Duration = Duration::from_secs(1);

/// Takes discovery down in that way, lets it return `after` the start of the second call that
/// fails, and says how long after the return a call was answered.
fn time_until_answered(down: AgentBehavior, after: Duration) -> Duration {
    static PLAYS: AtomicU64 = AtomicU64::new(1);
    let seed = format!("{:016x}", PLAYS.fetch_add(1, Ordering::Relaxed));
    let balancer = TestBalancer::with_config(1, |config| {
        with_settings(
            &config.replace("8c1f30d27a5be964", &seed),
            &[("discovery", json!("ask"))],
        )
    });
    balancer.agent.set_behavior(down);
    let before = balancer.agent.calls().len();
    wait_for("second call that fails", || {
        balancer.agent.calls().len() >= before + 2
    });
    let second = balancer.agent.calls()[before + 1];
    thread::sleep(after.saturating_sub(second.received_at.elapsed()));
    let returned = Instant::now();
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    balancer.agent.set_behavior(AgentBehavior::Answering(QUEUE));
    let answered = || {
        balancer.agent.calls()[before..]
            .iter()
            .find_map(|call| call.answered_at.filter(|at| *at > returned))
    };
    // Waited for longer than is allowed, so that the time is reported where it is too long.
    while answered().is_none() && returned.elapsed() < 3 * CHANGE_KNOWN_AFTER_MAX {
        thread::sleep(Duration::from_millis(20));
    }
    answered().map_or(returned.elapsed(), |at| at - returned)
}

/// Whatever failed before, and at whatever moment of a failing call or of the pause after it
/// discovery returns.
#[test]
fn updates_are_answered_within_their_time_after_discovery_returns() {
    let late = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for down in [
            AgentBehavior::Rejecting(FAILING_CALL),
            AgentBehavior::Silent,
            AgentBehavior::Closing(FAILING_CALL),
        ] {
            for ms in [200, 1200, 1700, 2300, 3000, 4000] {
                let late = &late;
                scope.spawn(move || {
                    let took = time_until_answered(down, Duration::from_millis(ms));
                    if took >= CHANGE_KNOWN_AFTER_MAX {
                        late.lock()
                            .unwrap()
                            .push(format!("{down:?}, returned after {ms} ms: {took:?}"));
                    }
                });
            }
        }
    });
    let late = late.into_inner().unwrap();
    assert!(late.is_empty(), "{late:#?}");
}

/// An agent that was started again and whose new list has come to the very version that the
/// balancer has: nothing shows it but the end of the connection. A drain that is published under
/// such a version is received all the same.
#[test]
fn an_agent_that_returns_at_the_known_version_with_another_list_is_found_out() {
    let balancer = TestBalancer::new(2);
    let newest = balancer.agent.version();
    wait_for("call from the newest version", || {
        balancer
            .agent
            .calls()
            .last()
            .is_some_and(|call| call.from_version == Some(newest))
    });
    balancer
        .agent
        .set_behavior(AgentBehavior::Closing(Duration::ZERO));
    let before = balancer.agent.calls().len();
    wait_for("call that is cut", || balancer.agent.calls().len() > before);
    balancer
        .agent
        .publish("s-1", balancer.servers[1].address, "Terminating");
    balancer.agent.restart_versions();
    assert_eq!(
        balancer.agent.version(),
        newest,
        "the number alone shows nothing"
    );
    balancer
        .agent
        .set_behavior(AgentBehavior::Answering(Duration::ZERO));
    wait_for("the drain", || {
        let before = balancer.servers[1].first_lines().len();
        (0..6).all(|_| balancer.client("c=chat,d=900").receives("UP 1"))
            && balancer.servers[1].first_lines().len() == before
    });
}

/// Guards against a whole list after each of many resets: 2 MB each where 12,000 servers are
/// listed.
#[test]
fn an_agent_that_cuts_again_and_again_is_asked_for_its_whole_list_once() {
    let balancer = TestBalancer::new(1);
    for _ in 0..10 {
        balancer
            .agent
            .set_behavior(AgentBehavior::Closing(Duration::ZERO));
        let before = balancer.agent.calls().len();
        wait_for("call that is cut", || balancer.agent.calls().len() > before);
        balancer
            .agent
            .set_behavior(AgentBehavior::Answering(Duration::ZERO));
        let before = balancer.agent.calls().len();
        // Woken by the update, so that the next call comes at once.
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Ready");
        wait_for("call that is answered", || {
            balancer.agent.calls()[before..]
                .iter()
                .any(|call| call.answered_at.is_some())
        });
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Ready");
    }
    let whole = balancer
        .agent
        .calls()
        .iter()
        .filter(|call| call.from_version.is_none() && call.answered_at.is_some())
        .count();
    assert_eq!(whole, 2, "the first list, and one for all the resets");
}

/// An agent that is started again counts versions from one: what it published before they reached
/// the known version must come all the same.
#[test]
fn an_agent_that_restarts_its_versions_is_asked_for_its_whole_list() {
    let balancer = TestBalancer::new(2);
    for _ in 0..20 {
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Ready");
    }
    wait_for("both", || {
        let before = balancer.servers[1].first_lines().len();
        balancer.client("c=chat,d=900").read_line();
        balancer.servers[1].first_lines().len() > before
    });
    // It has heard of the newest version, and of none after it. Guards against a new count that
    // ends at the very number that it last received, which nothing shows.
    let newest = balancer.agent.version();
    let asked_newest = || {
        balancer
            .agent
            .calls()
            .last()
            .is_some_and(|call| call.from_version == Some(newest))
    };
    wait_for("call from the newest version", asked_newest);
    balancer.agent.silence();
    let heard = balancer.agent.calls().len();
    wait_for("call into the silence", || {
        balancer.agent.calls().len() > heard && asked_newest()
    });
    // A drain under a version that is past, shown by the new count alone.
    balancer
        .agent
        .publish("s-1", balancer.servers[1].address, "Terminating");
    balancer.agent.restart_versions();
    balancer.agent.resume();
    wait_for("the drain", || {
        let before = balancer.servers[1].first_lines().len();
        (0..6).all(|_| balancer.client("c=chat,d=900").receives("UP 1"))
            && balancer.servers[1].first_lines().len() == before
    });
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

/// Guards against a balancer that an agent's answers end or keep busy: the old list holds, and it
/// is asked again, but not without end.
#[test]
fn an_agent_that_talks_nonsense_or_holds_no_call_stops_nothing() {
    let balancer = TestBalancer::new(1);
    let mut now = balancer.agent.address.to_string();
    let mut config = balancer.config.clone();
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
        balancer.reload(&config);
        wait_for(what, || calls.load(Ordering::Relaxed) > 3);
        let before = calls.load(Ordering::Relaxed);
        thread::sleep(Duration::from_millis(500));
        let made = calls.load(Ordering::Relaxed) - before;
        assert!(
            (3..=30).contains(&made),
            "{what}: {made} calls in half a second"
        );
        assert_eq!(
            balancer.client("c=chat,d=900").read_line(),
            "UP 1",
            "{what}"
        );
    }
}

/// Guards against a hundred balancers that call a service they share again at once, keep its queue
/// full and learn nothing from then on. An agent on the same machine costs nothing and is asked
/// again at once: a change that it has must become known in time.
#[test]
fn a_list_that_is_asked_for_is_called_for_less_and_less_while_calls_fail() {
    let balancer = TestBalancer::new(1);
    for (discovery, least, most) in [("push", 30, 80), ("ask", 2, 22)] {
        let (address, calls) = agent_that_says("503 Busy", String::new());
        let config = balancer
            .config
            .replace(&balancer.agent.address.to_string(), &address.to_string());
        balancer.reload(&with_settings(&config, &[("discovery", json!(discovery))]));
        wait_for(discovery, || calls.load(Ordering::Relaxed) > 0);
        let before = calls.load(Ordering::Relaxed);
        thread::sleep(Duration::from_secs(3));
        let made = calls.load(Ordering::Relaxed) - before;
        assert!(
            (least..=most).contains(&made),
            "{discovery}: {made} calls in 3 s"
        );
        assert_eq!(
            balancer.client("c=chat,d=900").read_line(),
            "UP 1",
            "{discovery}: the old list holds"
        );
    }
}

/// Guards against a list that is no longer followed after discovery was away for more than a
/// minute, and against clients that are turned away meanwhile, where it goes after a quiet time.
#[test]
fn a_drain_is_kept_after_discovery_was_away_for_over_a_minute() {
    /// Without clients, and without changes of the list.
    const QUIET: Duration = Duration::from_secs(10);
    const OUTAGE: Duration = Duration::from_secs(63);
    /// By then a call that was held as discovery went away is over.
    const HELD_CALL: Duration = Duration::from_millis(1500);
    let ways = [
        ("push", AgentBehavior::Silent),
        ("ask", AgentBehavior::Closing(Duration::from_millis(50))),
    ];
    thread::scope(|scope| {
        for (discovery, away) in ways {
            scope.spawn(move || {
                let balancer = TestBalancer::with_config(2, |config| {
                    with_settings(&config, &[("discovery", json!(discovery))])
                });
                thread::sleep(QUIET);
                balancer.agent.set_behavior(away);
                thread::sleep(HELD_CALL);
                balancer
                    .agent
                    .publish("s-1", balancer.servers[1].address, "Terminating");
                let returns_at = Instant::now() + OUTAGE;
                while Instant::now() < returns_at {
                    let mut client = balancer.client("c=chat,d=900");
                    assert_eq!(client.read_line(), "UP 1", "{discovery}: while it is away");
                    thread::sleep(Duration::from_millis(500));
                }
                let returned = Instant::now();
                balancer.agent.resume();
                wait_for("the drain", || {
                    let before = balancer.servers[1].first_lines().len();
                    (0..6).all(|_| balancer.client("c=chat,d=900").receives("UP 1"))
                        && balancer.servers[1].first_lines().len() == before
                });
                let took = returned.elapsed();
                assert!(took < CHANGE_KNOWN_AFTER_MAX, "{discovery}: {took:?}");
            });
        }
    });
}
