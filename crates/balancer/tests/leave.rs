//! Clients that disconnect before they are served, at each stage from the readiness event to the
//! connect. No attempt may begin at a server, neither with a connection nor with a line, more than
//! 0.1 s after its client has disconnected.

mod common;

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::recorder::RecordingServer;
use common::toy::ServerBehavior;
use common::{Client, DelayedAcceptServer, TestBalancer, wait_for, with_settings};
use serde_json::json;
use socket2::SockRef;

/// Longest time after a client's disconnect at which an attempt for it may begin.
const ATTEMPT_AFTER_DISCONNECT_MAX: Duration = Duration::from_millis(100);

/// Time by which the test's own threads may be delayed on a machine that is busy with other tests.
const SCHEDULING_TOLERANCE: Duration = Duration::from_millis(100);

/// Time from the disconnect until the event that could cause an attempt, long enough that the
/// test's own clock tells for certain which came first.
const TRIGGER_DELAY: Duration = Duration::from_millis(300);

/// Time after which the balancer gives up a pending connect, long enough for a busy machine to see
/// that the connect has begun.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long the tests watch for attempts.
const OBSERVATION_TIME: Duration = Duration::from_millis(1000);

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Close,
    Reset,
    HalfClose,
    CloseAfterData,
}

const DISCONNECTS: [Disconnect; 4] = [
    Disconnect::Close,
    Disconnect::Reset,
    Disconnect::HalfClose,
    Disconnect::CloseAfterData,
];

/// Disconnects a client. Returns it if it is only half-closed, so that its connection stays open.
fn disconnect(mut client: Client, how: Disconnect) -> Option<Client> {
    match how {
        Disconnect::Close => {}
        Disconnect::Reset => SockRef::from(&client.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap(),
        Disconnect::CloseAfterData => client.send("hello\r\n"),
        Disconnect::HalfClose => {
            client.stream.shutdown(Shutdown::Write).unwrap();
            return Some(client);
        }
    }
    None
}

/// Disconnects the clients in each of the four ways in turn. Returns those that are half-closed.
fn disconnect_all(clients: Vec<Client>) -> Vec<Client> {
    clients
        .into_iter()
        .zip(DISCONNECTS.into_iter().cycle())
        .filter_map(|(client, how)| disconnect(client, how))
        .collect()
}

/// Starts a balancer without health checks whose clients have a long latency objective, and a
/// recorder that is not in its endpoint list yet.
fn start_balancer_and_recorder(may_cancel: bool) -> (TestBalancer, RecordingServer) {
    let balancer = TestBalancer::with_config(1, |config| {
        with_settings(
            &config,
            &[
                ("limits/may-cancel", json!(may_cancel)),
                ("limits/probes", json!(false)),
                (
                    "limits/dial-timeout",
                    json!(CONNECT_TIMEOUT.as_micros() as u64),
                ),
                ("service-types/0/setup-target", json!(4_000_000)),
            ],
        )
    });
    (balancer, RecordingServer::start())
}

/// Drains the only server and waits until the balancer knows it.
fn drain_only_server(balancer: &TestBalancer) {
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    balancer.wait_for_current_list();
}

/// Connects this many clients whose ids begin with this name.
fn connect_clients(balancer: &TestBalancer, name: &str, count: usize) -> Vec<Client> {
    // An id is new with every connection.
    static IDS: AtomicU64 = AtomicU64::new(0);
    let open = |i| {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        format!("OPEN {name}{id} k{i} c=chat,d=4500,g={name}{i}\r\n")
    };
    (0..count)
        .map(|i| Client::connect_and_send(balancer.address, open(i).as_bytes()))
        .collect()
}

/// Returns the clients that have no answer yet, which must be at least four.
fn unanswered(clients: Vec<Client>) -> Vec<Client> {
    let has_no_answer = |client: &Client| {
        client.stream.set_nonblocking(true).unwrap();
        let no_data = client
            .stream
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).unwrap();
        no_data
    };
    let unanswered: Vec<Client> = clients.into_iter().filter(has_no_answer).collect();
    assert!(
        unanswered.len() >= 4,
        "expected at least 4 clients without an answer, found {}",
        unanswered.len()
    );
    unanswered
}

/// Asserts that the balancer still serves a client that stays, and places it on the recorder.
fn assert_staying_client_is_served(balancer: &TestBalancer, recorder: &RecordingServer) {
    wait_for("a client served by the recorder", || {
        connect_clients(balancer, "staying", 1)
            .remove(0)
            .next_line_is("UP 1")
    });
    let seen = recorder.attempts.lock().unwrap();
    assert!(seen.iter().any(|attempt| {
        attempt
            .first_line
            .as_ref()
            .is_some_and(|(_, line)| line.contains("staying"))
    }));
}

/// Clients disconnect while they wait for a ready server, in the policy queue or in the queue of
/// admission control. Their flows must not be placed once a server is ready.
#[test]
fn queued_flows_are_not_placed_after_their_clients_disconnect() {
    thread::scope(|scope| {
        for admission in [None, Some("[admission]\nby = \"client\"\nheld = 2\n")] {
            scope.spawn(move || {
                let (mut balancer, recorder) = start_balancer_and_recorder(true);
                let operator_file = balancer.config_file.with_extension("toml");
                if let Some(text) = admission {
                    std::fs::write(&operator_file, text).unwrap();
                    balancer
                        .restart_with_arguments(&["--operator", operator_file.to_str().unwrap()]);
                    wait_for("an endpoint list", || {
                        balancer.client("c=chat,d=1000").next_line_is("UP 1")
                    });
                }
                drain_only_server(&balancer);
                let leaving = connect_clients(&balancer, "leaving", 20);
                thread::sleep(Duration::from_millis(150));
                let _half = disconnect_all(unanswered(leaving));
                thread::sleep(TRIGGER_DELAY);
                balancer.agent.publish("s-new", recorder.address, "Ready");
                thread::sleep(OBSERVATION_TIME);
                recorder.assert_attempts_only_from("staying", "waiting");
                assert_staying_client_is_served(&balancer, &recorder);
                let _ = std::fs::remove_file(operator_file);
            });
        }
    });
}

/// The disconnects of waiting clients, the server that they waited for and the lines of many open
/// connections, which keep the worker busy, are all processed at once. Flows whose clients have
/// disconnected must not be placed; some of the clients that stay must be served.
#[test]
fn busy_worker_places_no_flow_whose_client_has_disconnected_meanwhile() {
    thread::scope(|scope| {
        for ready_first in [false, true] {
            scope.spawn(move || {
                let (balancer, recorder) = start_balancer_and_recorder(true);
                let mut busy: Vec<Client> = (0..300)
                    .map(|_| balancer.client("c=chat,d=900"))
                    .filter_map(|mut client| client.next_line_is("UP 1").then_some(client))
                    .collect();
                drain_only_server(&balancer);
                let (leaving, staying) = (
                    connect_clients(&balancer, "leaving", 10),
                    connect_clients(&balancer, "staying", 10),
                );
                thread::sleep(Duration::from_millis(300));
                let (leaving, mut staying) = (unanswered(leaving), unanswered(staying));
                let publish_server = || balancer.agent.publish("s-new", recorder.address, "Ready");
                let _half = balancer.while_stopped(|| {
                    busy.iter_mut()
                        .for_each(|client| client.send(&"a line of theirs\r\n".repeat(100)));
                    if ready_first {
                        publish_server();
                        thread::sleep(TRIGGER_DELAY);
                    }
                    let half = disconnect_all(leaving);
                    thread::sleep(TRIGGER_DELAY);
                    if !ready_first {
                        publish_server();
                    }
                    half
                });
                let answers: Vec<String> = staying.iter_mut().map(Client::read_line).collect();
                thread::sleep(OBSERVATION_TIME);
                recorder.assert_attempts_only_from("staying", "busy");
                assert!(
                    busy.len() >= 50 && answers.iter().any(|answer| answer == "UP 1"),
                    "expected at least 50 open connections and UP 1 for a staying client, \
                     found {} and {answers:?}",
                    busy.len()
                );
            });
        }
    });
}

/// Clients disconnect while the worker forwards the lines of many others, after the policy has
/// placed their flows and before the coroutines of these flows have run. If the balancer didn't
/// check the client before it connects, it would connect as late as the worker is delayed.
#[test]
fn busy_worker_does_not_connect_for_clients_that_have_disconnected_meanwhile() {
    let (balancer, recorder) = start_balancer_and_recorder(true);
    let mut busy: Vec<Client> = (0..300)
        .map(|_| balancer.client("c=chat,d=900"))
        .filter_map(|mut client| client.next_line_is("UP 1").then_some(client))
        .collect();
    drain_only_server(&balancer);
    let leaving = connect_clients(&balancer, "leaving", 10);
    thread::sleep(Duration::from_millis(300));
    let leaving = unanswered(leaving);
    balancer.while_stopped(|| {
        balancer.agent.publish("s-new", recorder.address, "Ready");
        thread::sleep(Duration::from_millis(50));
        busy.iter_mut()
            .for_each(|client| client.send(&"a line of theirs\r\n".repeat(4000)));
    });
    thread::sleep(Duration::from_millis(5));
    let _half = disconnect_all(leaving);
    let disconnected_at = Instant::now();
    thread::sleep(OBSERVATION_TIME);
    for attempt in recorder.attempts.lock().unwrap().iter() {
        let delay = attempt
            .accepted_at
            .saturating_duration_since(disconnected_at);
        assert!(
            delay <= ATTEMPT_AFTER_DISCONNECT_MAX + SCHEDULING_TOLERANCE,
            "expected no attempt this long after the disconnects: {attempt:?}, {delay:?} after"
        );
    }
}

/// An attempt ends without success after its client has disconnected: the server rejects it, fails
/// it or closes the connection without an answer. The next server must get no attempt.
#[test]
fn flow_is_not_retried_if_its_attempt_fails_after_its_client_has_disconnected() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for stopped in [false, true] {
                for answer in ["BUSY\r\n", "ERR\r\n", ""] {
                    scope.spawn(move || {
                        let (balancer, recorder) = start_balancer_and_recorder(may_cancel);
                        balancer.servers[0].set_behavior(ServerBehavior::Silent);
                        let leaving = connect_clients(&balancer, "leaving", 8);
                        let first_server_has_line = || {
                            balancer.servers[0]
                                .first_lines()
                                .iter()
                                .any(|line| line.contains("leaving"))
                        };
                        wait_for("a line at the first server", first_server_has_line);
                        thread::sleep(Duration::from_millis(100));
                        balancer.agent.publish("s-new", recorder.address, "Ready");
                        balancer
                            .agent
                            .publish("s-0", balancer.servers[0].address, "Terminating");
                        thread::sleep(TRIGGER_DELAY);
                        // Flows that waited meanwhile may have been placed on the recorder.
                        let before = recorder.attempts.lock().unwrap().len();
                        let disconnect_and_fail = || {
                            let half = disconnect_all(leaving);
                            thread::sleep(TRIGGER_DELAY);
                            balancer.servers[0].send_and_close(answer);
                            half
                        };
                        let _half = if stopped {
                            balancer.while_stopped(disconnect_and_fail)
                        } else {
                            disconnect_and_fail()
                        };
                        thread::sleep(OBSERVATION_TIME);
                        let after = recorder.attempts.lock().unwrap().clone();
                        assert_eq!(
                            after.len(),
                            before,
                            "may-cancel={may_cancel} stopped={stopped} {answer:?}: \
                             expected no further attempt, found {after:?}"
                        );
                        balancer.servers[0].set_behavior(ServerBehavior::Serving);
                        assert_staying_client_is_served(&balancer, &recorder);
                    });
                }
            }
        }
    });
}

/// A connect times out, and the client disconnects while it is pending. With the program stopped
/// meanwhile, the disconnect and the timeout are processed at once. No further attempt may follow.
#[test]
fn flow_is_not_retried_if_its_connect_times_out_after_its_client_has_disconnected() {
    thread::scope(|scope| {
        for stopped in [false, true] {
            for how in DISCONNECTS {
                scope.spawn(move || {
                    let late = DelayedAcceptServer::new();
                    let (balancer, recorder) = start_balancer_and_recorder(false);
                    balancer.agent.publish("s-late", late.address, "Ready");
                    balancer
                        .agent
                        .publish("s-0", balancer.servers[0].address, "Gone");
                    balancer.wait_for_current_list();
                    let leaving = connect_clients(&balancer, "leaving", 1).remove(0);
                    wait_for("a pending connect", || late.has_pending_connect());
                    let disconnect_and_time_out = || {
                        let half = disconnect(leaving, how);
                        balancer.agent.publish("s-new", recorder.address, "Ready");
                        thread::sleep(CONNECT_TIMEOUT + TRIGGER_DELAY);
                        half
                    };
                    let _half = if stopped {
                        balancer.while_stopped(disconnect_and_time_out)
                    } else {
                        disconnect_and_time_out()
                    };
                    thread::sleep(OBSERVATION_TIME);
                    recorder.assert_attempts_only_from(
                        "staying",
                        &format!("stopped={stopped} {how:?}"),
                    );
                    assert_eq!(
                        late.accept_first_line(),
                        "",
                        "stopped={stopped} {how:?}: expected no first line"
                    );
                });
            }
        }
    });
}

/// Clients disconnect at any moment while others that connect and disconnect keep the balancer
/// busy. Each attempt that the server has seen must have begun at most 0.1 s after its client
/// disconnected.
#[test]
fn no_attempt_begins_later_than_100_ms_after_a_client_disconnects_at_any_moment() {
    let (balancer, recorder) = start_balancer_and_recorder(true);
    balancer.agent.publish("s-new", recorder.address, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Gone");
    wait_for("an attempt at the recorder", || {
        connect_clients(&balancer, "first", 1).remove(0).read_line();
        !recorder.attempts.lock().unwrap().is_empty()
    });
    let until = Instant::now() + Duration::from_secs(3);
    let (disconnect_times, own_sent) = (
        Mutex::new(std::collections::BTreeMap::new()),
        Mutex::new(Vec::new()),
    );
    thread::scope(|scope| {
        for number in 0..4 {
            let (balancer, disconnect_times) = (&balancer, &disconnect_times);
            scope.spawn(move || {
                for round in (0..200).take_while(|_| Instant::now() < until) {
                    let name = format!("any{number}x{round}x");
                    let open = connect_clients(balancer, &name, 2);
                    thread::sleep(Duration::from_micros(round * 1370 % 20_000));
                    let _half = disconnect_all(open);
                    disconnect_times
                        .lock()
                        .unwrap()
                        .insert(name, Instant::now());
                }
            });
        }
        // The test sends lines of its own to the recorder. The time from before a line is sent
        // until it is recorded shows how late other lines may be recorded.
        scope.spawn(|| {
            let mut open = Vec::new();
            while Instant::now() < until {
                let mut stream = TcpStream::connect(recorder.address).unwrap();
                let since = Instant::now();
                stream
                    .write_all(format!("OWN {}\r\n", open.len()).as_bytes())
                    .unwrap();
                open.push((since, stream));
                thread::sleep(Duration::from_millis(5));
            }
            own_sent
                .lock()
                .unwrap()
                .extend(open.into_iter().map(|(since, _)| since));
        });
    });
    thread::sleep(OBSERVATION_TIME);
    let (disconnect_times, own_sent) = (
        disconnect_times.into_inner().unwrap(),
        own_sent.into_inner().unwrap(),
    );
    let recording_delay = recorder.longest_recording_delay(&own_sent);
    let mut matched = 0;
    for attempt in recorder.attempts.lock().unwrap().iter() {
        let Some((at, line)) = &attempt.first_line else {
            continue;
        };
        let disconnected = disconnect_times
            .iter()
            .find(|(name, _)| line.contains(&format!("OPEN {name}")));
        let Some((_, disconnected_at)) = disconnected else {
            continue;
        };
        matched += 1;
        let delay = attempt
            .accepted_at
            .max(*at)
            .saturating_duration_since(*disconnected_at);
        // Twice the delay, since the test's own lines may have missed the longest one.
        let allowed = ATTEMPT_AFTER_DISCONNECT_MAX + SCHEDULING_TOLERANCE + 2 * recording_delay;
        assert!(
            delay <= allowed,
            "{line}: expected at most {allowed:?} after its client disconnected, was {delay:?}"
        );
    }
    assert!(
        matched > 0,
        "expected some clients to be forwarded before they disconnected"
    );
}
