//! Discovery that fails and recovers, tested on the real program with a discovery agent on
//! loopback. Measures how long it takes until the balancer asks for updates again and gets an
//! answer.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{AgentBehavior, DiscoveryAgent};
use common::{TestBalancer, wait_for, with_settings};
use serde_json::json;

/// The longest time until the balancer knows a change, from when discovery has the change and is
/// reachable.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);

/// The time after SIGHUP within which the balancer must know what discovery has to tell.
const RELOAD_DEADLINE: Duration = Duration::from_secs(4);

/// How long a call waits in the queue of a discovery service that all balancers share. The service
/// rejects calls after 2 s in the queue, so this is just below that limit.
const QUEUE_WAIT: Duration = Duration::from_millis(1900);

/// How long a failing discovery service holds a call before the call fails.
const FAILING_CALL_DURATION: Duration = Duration::from_secs(1);

/// Makes discovery fail with the behavior `failure` and recover `recovery_delay` after the start of
/// the second failing call. Returns the time from the recovery until a call is answered.
fn time_until_answered(failure: AgentBehavior, recovery_delay: Duration) -> Duration {
    static RUNS: AtomicU64 = AtomicU64::new(1);
    let seed = format!("{:016x}", RUNS.fetch_add(1, Ordering::Relaxed));
    let balancer = TestBalancer::with_config(1, |config| {
        with_settings(
            &config.replace("8c1f30d27a5be964", &seed),
            &[("discovery", json!("ask"))],
        )
    });
    balancer.agent.set_behavior(failure);
    let before = balancer.agent.recorded_calls().len();
    wait_for("second failing call", || {
        balancer.agent.recorded_calls().len() >= before + 2
    });
    let second = balancer.agent.recorded_calls()[before + 1];
    thread::sleep(recovery_delay.saturating_sub(second.received_at.elapsed()));
    let recovered_at = Instant::now();
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    balancer
        .agent
        .set_behavior(AgentBehavior::Serving(QUEUE_WAIT));
    let answered = || {
        balancer.agent.recorded_calls()[before..]
            .iter()
            .find_map(|call| call.answered_at.filter(|at| *at > recovered_at))
    };
    // Waits longer than the limit so that a time above the limit can be reported.
    while answered().is_none() && recovered_at.elapsed() < 3 * CHANGE_DEADLINE {
        thread::sleep(Duration::from_millis(20));
    }
    answered().map_or(recovered_at.elapsed(), |at| at - recovered_at)
}

/// Guards against late updates after an outage. How calls fail during the outage must not matter,
/// and neither must when discovery recovers: during a failing call or in the pause after it.
#[test]
fn update_calls_are_answered_in_time_after_discovery_recovers() {
    let late = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for failure in [
            AgentBehavior::Rejecting(FAILING_CALL_DURATION),
            AgentBehavior::Silent,
            AgentBehavior::Closing(FAILING_CALL_DURATION),
        ] {
            for ms in [200, 1200, 1700, 2300, 3000, 4000] {
                let late = &late;
                scope.spawn(move || {
                    let took = time_until_answered(failure, Duration::from_millis(ms));
                    if took >= CHANGE_DEADLINE {
                        late.lock().unwrap().push(format!(
                            "{failure:?}, recovered after {ms} ms: answered {took:?} later"
                        ));
                    }
                });
            }
        }
    });
    let late = late.into_inner().unwrap();
    assert!(
        late.is_empty(),
        "expected an answer within {CHANGE_DEADLINE:?} of the recovery: {late:#?}"
    );
}

/// What happens to discovery around the last of one or more reloads.
#[derive(Clone, Copy, Debug)]
struct ReloadCase {
    /// How the agent of the last reload handles its first calls.
    first_calls: &'static [AgentBehavior],
    /// How the agent before it handles its calls.
    agent_before: AgentBehavior,
    /// The time between two reloads that move discovery, or `None` for a single reload.
    second_reload_after: Option<Duration>,
    /// Whether the last reload leaves discovery at the agent before it, which answers from then on.
    keeps_agent: bool,
}

impl ReloadCase {
    const fn first_calls(first_calls: &'static [AgentBehavior]) -> Self {
        ReloadCase {
            first_calls,
            agent_before: AgentBehavior::Serving(Duration::ZERO),
            second_reload_after: None,
            keeps_agent: false,
        }
    }
}

/// How long a service that all balancers share leaves a call in its queue before it rejects it.
const REJECTED_AFTER: Duration = Duration::from_secs(2);

/// The wait in the queue of a call that follows a rejected one.
const QUEUED: AgentBehavior = AgentBehavior::Serving(Duration::from_millis(1500));

const RELOAD_CASES: &[ReloadCase] = &[
    ReloadCase::first_calls(&[AgentBehavior::Rejecting(REJECTED_AFTER), QUEUED]),
    ReloadCase::first_calls(&[AgentBehavior::Rejecting(Duration::ZERO), QUEUED]),
    ReloadCase::first_calls(&[AgentBehavior::Silent]),
    ReloadCase::first_calls(&[AgentBehavior::Closing(Duration::from_millis(1000)), QUEUED]),
    // The reload comes while the balancer waits for the end of a backoff.
    ReloadCase {
        agent_before: AgentBehavior::Closing(Duration::from_millis(800)),
        ..ReloadCase::first_calls(&[AgentBehavior::Rejecting(REJECTED_AFTER)])
    },
    ReloadCase {
        agent_before: AgentBehavior::Closing(Duration::from_millis(800)),
        keeps_agent: true,
        ..ReloadCase::first_calls(&[QUEUED])
    },
    ReloadCase {
        agent_before: AgentBehavior::Silent,
        second_reload_after: Some(Duration::from_secs(1)),
        ..ReloadCase::first_calls(&[AgentBehavior::Rejecting(REJECTED_AFTER), QUEUED])
    },
];

/// Returns the time from the last reload until its agent has answered a call.
fn time_until_answered_after_reload(case: &ReloadCase, seed: u64) -> Duration {
    /// Time in which calls to the agent before the reload fail.
    const FAILING_TIME: Duration = Duration::from_millis(3500);
    let balancer = TestBalancer::with_config(1, |config| {
        with_settings(
            &config.replace("8c1f30d27a5be964", &format!("{seed:016x}")),
            &[("discovery", json!("ask"))],
        )
    });
    let config_with_agent = |agent: &DiscoveryAgent| {
        let settings = with_settings(&balancer.config_text, &[("discovery", json!("ask"))]);
        settings.replace(
            &balancer.agent.address.to_string(),
            &agent.address.to_string(),
        )
    };
    let start_agent = || {
        let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
        agent.publish("s-0", balancer.servers[0].address, "Ready");
        agent
    };
    balancer.agent.set_behavior(case.agent_before);
    if !matches!(case.agent_before, AgentBehavior::Serving(_)) {
        thread::sleep(FAILING_TIME);
    }
    if let Some(interval) = case.second_reload_after {
        let agent = start_agent();
        agent.set_behavior(AgentBehavior::Silent);
        balancer.reload(&config_with_agent(&agent));
        thread::sleep(interval);
    }
    let agent = match case.keeps_agent {
        true => balancer.agent.clone(),
        false => start_agent(),
    };
    agent.resume();
    agent.set_next_behaviors(case.first_calls);
    let reloaded_at = Instant::now();
    balancer.reload(&config_with_agent(&agent));
    let answered = || {
        let calls = agent.recorded_calls();
        calls
            .iter()
            .find_map(|call| call.answered_at.filter(|at| *at > reloaded_at))
    };
    // Waits longer than the limit so that a time above the limit can be reported.
    while answered().is_none() && reloaded_at.elapsed() < 3 * RELOAD_DEADLINE {
        thread::sleep(Duration::from_millis(20));
    }
    answered().map_or(reloaded_at.elapsed(), |at| at - reloaded_at)
}

/// Guards against a drain that is learned over 4 s after SIGHUP because one call to a shared
/// discovery service failed, or because a backoff had begun before.
#[test]
fn update_calls_are_answered_within_4_s_of_a_reload_whatever_one_call_met() {
    const SEEDS: u64 = 3;
    let late = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for case in RELOAD_CASES {
            for seed in 1..=SEEDS {
                let late = &late;
                scope.spawn(move || {
                    let took = time_until_answered_after_reload(case, seed);
                    if took >= RELOAD_DEADLINE {
                        late.lock()
                            .unwrap()
                            .push(format!("{case:?}, seed {seed}: answered {took:?} later"));
                    }
                });
            }
        }
    });
    let late = late.into_inner().unwrap();
    assert!(
        late.is_empty(),
        "expected an answer within {RELOAD_DEADLINE:?} of the reload: {late:#?}"
    );
}

/// Guards against a missed drain after the agent restarts. The agent counts versions anew, and its
/// different list reaches the same version that the balancer already has. Only the closed
/// connection tells the balancer about the restart.
#[test]
fn different_list_at_the_known_version_is_noticed_after_an_agent_restart() {
    let balancer = TestBalancer::new(2);
    let newest = balancer.agent.version();
    wait_for("call from the newest version", || {
        balancer
            .agent
            .recorded_calls()
            .last()
            .is_some_and(|call| call.from_version == Some(newest))
    });
    balancer
        .agent
        .set_behavior(AgentBehavior::Closing(Duration::ZERO));
    let before = balancer.agent.recorded_calls().len();
    wait_for("call whose connection is closed", || {
        balancer.agent.recorded_calls().len() > before
    });
    balancer
        .agent
        .publish("s-1", balancer.servers[1].address, "Terminating");
    balancer.agent.restart_versions();
    assert_eq!(
        balancer.agent.version(),
        newest,
        "the restarted agent must have the same version as before"
    );
    balancer
        .agent
        .set_behavior(AgentBehavior::Serving(Duration::ZERO));
    wait_for("drain of server s-1", || {
        let before = balancer.servers[1].first_lines().len();
        (0..6).all(|_| balancer.client("c=chat,d=900").next_line_is("UP 1"))
            && balancer.servers[1].first_lines().len() == before
    });
}

/// Guards against a request for the full list after each of many closed connections. With 12,000
/// servers each full list has 2 MB.
#[test]
fn agent_that_closes_connections_repeatedly_is_asked_for_the_full_list_once() {
    let balancer = TestBalancer::new(1);
    for _ in 0..10 {
        balancer
            .agent
            .set_behavior(AgentBehavior::Closing(Duration::ZERO));
        let before = balancer.agent.recorded_calls().len();
        wait_for("call whose connection is closed", || {
            balancer.agent.recorded_calls().len() > before
        });
        balancer
            .agent
            .set_behavior(AgentBehavior::Serving(Duration::ZERO));
        let before = balancer.agent.recorded_calls().len();
        // The update answers a call that is held, so that the next call is made at once.
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Ready");
        wait_for("answered call", || {
            balancer.agent.recorded_calls()[before..]
                .iter()
                .any(|call| call.answered_at.is_some())
        });
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Ready");
    }
    let full_lists = balancer
        .agent
        .recorded_calls()
        .iter()
        .filter(|call| call.from_version.is_none() && call.answered_at.is_some())
        .count();
    assert_eq!(
        full_lists, 2,
        "expected one full list at the start and one for all closed connections"
    );
}

/// Guards against missed changes after the agent restarts. The agent counts versions from one
/// again, so its changes have versions below the version that the balancer knows.
#[test]
fn agent_that_restarts_its_versions_is_asked_for_the_full_list() {
    let balancer = TestBalancer::new(2);
    for _ in 0..20 {
        balancer
            .agent
            .publish("s-0", balancer.servers[0].address, "Ready");
    }
    wait_for("flow on the second server", || {
        let before = balancer.servers[1].first_lines().len();
        balancer.client("c=chat,d=900").read_line();
        balancer.servers[1].first_lines().len() > before
    });
    // The balancer has the newest version before the agent restarts. Otherwise the new count could
    // end at exactly the version that the balancer last received, and nothing would show the
    // restart.
    let newest = balancer.agent.version();
    let newest_is_asked_for = || {
        balancer
            .agent
            .recorded_calls()
            .last()
            .is_some_and(|call| call.from_version == Some(newest))
    };
    wait_for("call from the newest version", newest_is_asked_for);
    balancer.agent.stop_answering();
    let before = balancer.agent.recorded_calls().len();
    wait_for("call to the silent agent", || {
        balancer.agent.recorded_calls().len() > before && newest_is_asked_for()
    });
    // The drain gets a version below the known one. Only the lower version shows the restart.
    balancer
        .agent
        .publish("s-1", balancer.servers[1].address, "Terminating");
    balancer.agent.restart_versions();
    balancer.agent.resume();
    wait_for("drain of server s-1", || {
        let before = balancer.servers[1].first_lines().len();
        (0..6).all(|_| balancer.client("c=chat,d=900").next_line_is("UP 1"))
            && balancer.servers[1].first_lines().len() == before
    });
}

/// Starts an agent that answers each call at once with this status and body. Returns its address
/// and its number of calls.
fn start_fixed_answer_agent(status: &str, body: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, calls) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let served_calls = calls.clone();
    let answer = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (calls, answer) = (served_calls.clone(), answer.clone());
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

/// Guards against a balancer that ends, or calls the agent in a busy loop, because of the agent's
/// answers: they are invalid or come at once instead of after a hold. The balancer has to keep the
/// old list and to call again at a limited rate.
#[test]
fn invalid_or_immediate_agent_answers_neither_end_nor_busy_the_balancer() {
    let balancer = TestBalancer::new(1);
    let mut configured_address = balancer.agent.address.to_string();
    let mut config = balancer.config_text.clone();
    for (what, body) in [
        (
            "no changes, answered at once",
            r#"{"generation":7,"reset":false,"instances":[]}"#.to_string(),
        ),
        ("nested too deep to parse", "[".repeat(100_000)),
        (
            "nested as deep as the parser allows",
            format!(
                r#"{{"generation":8,"reset":false,"instances":[{}{}]}}"#,
                "[".repeat(125),
                "]".repeat(125)
            ),
        ),
        ("control characters", "\u{0}\u{1}\u{2}".repeat(1000)),
        (
            "invalid numbers",
            r#"{"generation":-1,"reset":1e999,"instances":{}}"#.to_string(),
        ),
    ] {
        let (address, calls) = start_fixed_answer_agent("200 OK", body);
        config = config.replace(&configured_address, &address.to_string());
        configured_address = address.to_string();
        balancer.reload(&config);
        wait_for(what, || calls.load(Ordering::Relaxed) > 3);
        let before = calls.load(Ordering::Relaxed);
        thread::sleep(Duration::from_millis(500));
        let made = calls.load(Ordering::Relaxed) - before;
        assert!(
            (3..=30).contains(&made),
            "{what}: expected 3 to 30 calls in half a second, made {made}"
        );
        assert_eq!(
            balancer.client("c=chat,d=900").read_line(),
            "UP 1",
            "{what}: the old list must stay in use"
        );
    }
}

/// Guards against a hundred balancers that repeat failed calls to a shared discovery service at
/// once: they keep its queue full and receive no update from then on. Calls to a shared service
/// (`ask`) therefore back off. An agent on the same machine (`push`) costs nothing and is called
/// again at once, since its changes must become known in time.
#[test]
fn failed_calls_back_off_to_a_shared_service_but_not_to_a_local_agent() {
    let balancer = TestBalancer::new(1);
    for (discovery, calls_min, calls_max) in [("push", 30, 80), ("ask", 2, 22)] {
        let (address, calls) = start_fixed_answer_agent("503 Busy", String::new());
        let config = balancer
            .config_text
            .replace(&balancer.agent.address.to_string(), &address.to_string());
        balancer.reload(&with_settings(&config, &[("discovery", json!(discovery))]));
        wait_for(discovery, || calls.load(Ordering::Relaxed) > 0);
        let before = calls.load(Ordering::Relaxed);
        thread::sleep(Duration::from_secs(3));
        let made = calls.load(Ordering::Relaxed) - before;
        assert!(
            (calls_min..=calls_max).contains(&made),
            "{discovery}: expected {calls_min} to {calls_max} calls in 3 s, made {made}"
        );
        assert_eq!(
            balancer.client("c=chat,d=900").read_line(),
            "UP 1",
            "{discovery}: the old list must stay in use"
        );
    }
}

/// Guards against a balancer that ignores list changes after discovery was down for more than a
/// minute, and against clients that are rejected during the outage. The outage begins after a time
/// without clients and list changes.
#[test]
fn drain_is_followed_after_a_discovery_outage_of_over_a_minute() {
    /// Time without clients and without list changes before the outage.
    const QUIET_TIME: Duration = Duration::from_secs(10);
    const OUTAGE: Duration = Duration::from_secs(63);
    /// A call that was held when the outage began is over after this time.
    const HELD_CALL_MAX: Duration = Duration::from_millis(1500);
    let outages = [
        ("push", AgentBehavior::Silent),
        ("ask", AgentBehavior::Closing(Duration::from_millis(50))),
    ];
    thread::scope(|scope| {
        for (discovery, outage) in outages {
            scope.spawn(move || {
                let balancer = TestBalancer::with_config(2, |config| {
                    with_settings(&config, &[("discovery", json!(discovery))])
                });
                thread::sleep(QUIET_TIME);
                balancer.agent.set_behavior(outage);
                thread::sleep(HELD_CALL_MAX);
                balancer
                    .agent
                    .publish("s-1", balancer.servers[1].address, "Terminating");
                let recovers_at = Instant::now() + OUTAGE;
                while Instant::now() < recovers_at {
                    let mut client = balancer.client("c=chat,d=900");
                    assert_eq!(
                        client.read_line(),
                        "UP 1",
                        "{discovery}: clients must be served during the outage"
                    );
                    thread::sleep(Duration::from_millis(500));
                }
                let recovered_at = Instant::now();
                balancer.agent.resume();
                wait_for("drain of server s-1", || {
                    let before = balancer.servers[1].first_lines().len();
                    (0..6).all(|_| balancer.client("c=chat,d=900").next_line_is("UP 1"))
                        && balancer.servers[1].first_lines().len() == before
                });
                let took = recovered_at.elapsed();
                assert!(
                    took < CHANGE_DEADLINE,
                    "{discovery}: expected the drain in {CHANGE_DEADLINE:?}, took {took:?}"
                );
            });
        }
    });
}
