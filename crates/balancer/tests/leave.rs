//! Clients that leave before they are served, at each stage from the event to the dial: no attempt,
//! neither a connection nor a line, may begin at a server more than 0.1 s after its client has
//! gone.

mod common;

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::recorder::Recorder;
use common::toy::ServerBehavior;
use common::{Client, LateServer, TestBalancer, wait_for, with_settings};
use serde_json::json;
use socket2::SockRef;

/// An attempt that begins later than this after its client has gone is a break.
const AFTER_LEAVE: Duration = Duration::from_millis(100);

/// What the test's own threads may be late by on a machine that is busy with the other tests.
const SLACK: Duration = Duration::from_millis(100);

/// What would cause an attempt comes so long after the leave, so that none is in doubt for the
/// test's own clock.
const TRIGGER: Duration = Duration::from_millis(300);

/// A connection that isn't up by then won't be; long enough for a busy machine to see that it has
/// begun.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1000);

/// So long attempts are waited for.
const WATCHED: Duration = Duration::from_millis(1000);

/// How a client goes.
#[derive(Clone, Copy, Debug)]
enum Leave {
    End,
    Reset,
    Half,
    EndAfterMore,
}

const LEAVES: [Leave; 4] = [Leave::End, Leave::Reset, Leave::Half, Leave::EndAfterMore];

/// Goes, and keeps the connection where only its sending has ended.
fn leave(mut client: Client, how: Leave) -> Option<Client> {
    match how {
        Leave::End => {}
        Leave::Reset => SockRef::from(&client.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap(),
        Leave::EndAfterMore => client.send("hello\r\n"),
        Leave::Half => {
            client.stream.shutdown(Shutdown::Write).unwrap();
            return Some(client);
        }
    }
    None
}

fn leave_all(clients: Vec<Client>) -> Vec<Client> {
    clients
        .into_iter()
        .zip(LEAVES.into_iter().cycle())
        .filter_map(|(client, how)| leave(client, how))
        .collect()
}

/// A balancer without health checks, whose clients wait long, and a recorder that it doesn't know
/// yet.
fn balancer(may_cancel: bool) -> (TestBalancer, Recorder) {
    let balancer = TestBalancer::with_config(1, |config| {
        with_settings(
            &config,
            &[
                ("limits/may-cancel", json!(may_cancel)),
                ("limits/probes", json!(false)),
                (
                    "limits/dial-timeout",
                    json!(DIAL_TIMEOUT.as_micros() as u64),
                ),
                ("service-types/0/setup-target", json!(4_000_000)),
            ],
        )
    });
    (balancer, Recorder::start())
}

/// From now on nobody is placed.
fn no_server(balancer: &TestBalancer) {
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    wait_for("no server", || {
        balancer.client("c=chat,d=60").read_line() != "UP 1"
    });
}

fn clients(balancer: &TestBalancer, name: &str, count: usize) -> Vec<Client> {
    // An id is new with every connection.
    static IDS: AtomicU64 = AtomicU64::new(0);
    let open = |i| {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        format!("OPEN {name}{id} k{i} c=chat,d=4500,g={name}{i}\r\n")
    };
    (0..count)
        .map(|i| Client::new(balancer.address, open(i).as_bytes()))
        .collect()
}

/// Those that have no answer yet, of which there have to be some.
fn waiting(clients: Vec<Client>) -> Vec<Client> {
    let waits = |client: &Client| {
        client.stream.set_nonblocking(true).unwrap();
        let nothing = client
            .stream
            .peek(&mut [0])
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).unwrap();
        nothing
    };
    let waiting: Vec<Client> = clients.into_iter().filter(waits).collect();
    assert!(waiting.len() >= 4, "{} wait", waiting.len());
    waiting
}

/// The balancer still places whoever stays, and on the recorder.
fn still_serves(balancer: &TestBalancer, recorder: &Recorder) {
    wait_for("the recorder", || {
        clients(balancer, "staying", 1).remove(0).receives("UP 1")
    });
    let seen = recorder.attempts.lock().unwrap();
    assert!(seen.iter().any(|attempt| {
        attempt
            .line
            .as_ref()
            .is_some_and(|(_, line)| line.contains("staying"))
    }));
}

/// They wait since no server is ready, some of them in the queue of admission control, until one
/// is.
#[test]
fn waiting_and_queued_flows_are_not_placed_after_their_clients_leave() {
    thread::scope(|scope| {
        for admission in [None, Some("[admission]\nby = \"client\"\nheld = 2\n")] {
            scope.spawn(move || {
                let (mut balancer, recorder) = balancer(true);
                let operator = balancer.config_file.with_extension("toml");
                if let Some(text) = admission {
                    std::fs::write(&operator, text).unwrap();
                    balancer.restart_with_arguments(&["--operator", operator.to_str().unwrap()]);
                    wait_for("a list", || {
                        balancer.client("c=chat,d=1000").receives("UP 1")
                    });
                }
                no_server(&balancer);
                let leaving = clients(&balancer, "leaving", 20);
                thread::sleep(Duration::from_millis(150));
                let _half = leave_all(waiting(leaving));
                thread::sleep(TRIGGER);
                balancer.agent.publish("s-new", recorder.address, "Ready");
                thread::sleep(WATCHED);
                recorder.assert_only_from("staying", "waiting");
                still_serves(&balancer, &recorder);
                let _ = std::fs::remove_file(operator);
            });
        }
    });
}

/// All at once: their ends, the server that they waited for, and lines of many open connections,
/// which keep the worker busy. Some of the waiting flows stay.
#[test]
fn a_busy_worker_places_nobody_who_has_left_meanwhile() {
    thread::scope(|scope| {
        for ready_first in [false, true] {
            scope.spawn(move || {
                let (balancer, recorder) = balancer(true);
                let mut busy: Vec<Client> = (0..300)
                    .map(|_| balancer.client("c=chat,d=900"))
                    .filter_map(|mut c| c.receives("UP 1").then_some(c))
                    .collect();
                no_server(&balancer);
                let (leaving, staying) = (
                    clients(&balancer, "leaving", 10),
                    clients(&balancer, "staying", 10),
                );
                thread::sleep(Duration::from_millis(300));
                let (leaving, mut staying) = (waiting(leaving), waiting(staying));
                let ready = || balancer.agent.publish("s-new", recorder.address, "Ready");
                let _half = balancer.while_stopped(|| {
                    busy.iter_mut()
                        .for_each(|client| client.send(&"a line of theirs\r\n".repeat(100)));
                    if ready_first {
                        ready();
                        thread::sleep(TRIGGER);
                    }
                    let half = leave_all(leaving);
                    thread::sleep(TRIGGER);
                    if !ready_first {
                        ready();
                    }
                    half
                });
                let answers: Vec<String> = staying.iter_mut().map(Client::read_line).collect();
                thread::sleep(WATCHED);
                recorder.assert_only_from("staying", "busy");
                assert!(
                    busy.len() >= 50 && answers.iter().any(|answer| answer == "UP 1"),
                    "{} {answers:?}",
                    busy.len()
                );
            });
        }
    });
}

/// Clients leave while the worker passes on the lines of many others, after the policy has placed
/// them and before their own coroutines have run. Without the look before the dial their servers
/// are dialled as late as the worker is.
#[test]
fn a_busy_worker_dials_for_nobody_who_has_left_meanwhile() {
    let (balancer, recorder) = balancer(true);
    let mut busy: Vec<Client> = (0..300)
        .map(|_| balancer.client("c=chat,d=900"))
        .filter_map(|mut client| client.receives("UP 1").then_some(client))
        .collect();
    no_server(&balancer);
    let leaving = clients(&balancer, "leaving", 10);
    thread::sleep(Duration::from_millis(300));
    let leaving = waiting(leaving);
    balancer.while_stopped(|| {
        balancer.agent.publish("s-new", recorder.address, "Ready");
        thread::sleep(Duration::from_millis(50));
        busy.iter_mut()
            .for_each(|client| client.send(&"a line of theirs\r\n".repeat(4000)));
    });
    thread::sleep(Duration::from_millis(5));
    let _half = leave_all(leaving);
    let left = Instant::now();
    thread::sleep(WATCHED);
    for attempt in recorder.attempts.lock().unwrap().iter() {
        let late = attempt.at.saturating_duration_since(left);
        assert!(
            late <= AFTER_LEAVE + SLACK,
            "{attempt:?}: {late:?} after their leave"
        );
    }
}

/// Its attempt fails after it has left: connection lost, rejected, or never up. The next server
/// gets none.
#[test]
fn a_flow_whose_attempt_fails_after_its_client_has_left_gets_no_other() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for stopped in [false, true] {
                for answer in ["BUSY\r\n", "ERR\r\n", ""] {
                    scope.spawn(move || {
                        let (balancer, recorder) = balancer(may_cancel);
                        balancer.servers[0].set_behavior(ServerBehavior::Silent);
                        let leaving = clients(&balancer, "leaving", 8);
                        let out = || {
                            balancer.servers[0]
                                .first_lines()
                                .iter()
                                .any(|line| line.contains("leaving"))
                        };
                        wait_for("a line at the first server", out);
                        thread::sleep(Duration::from_millis(100));
                        balancer.agent.publish("s-new", recorder.address, "Ready");
                        balancer
                            .agent
                            .publish("s-0", balancer.servers[0].address, "Terminating");
                        thread::sleep(TRIGGER);
                        // Flows that waited meanwhile may have come to it.
                        let before = recorder.attempts.lock().unwrap().len();
                        let goes = || {
                            let half = leave_all(leaving);
                            thread::sleep(TRIGGER);
                            balancer.servers[0].send_and_close(answer);
                            half
                        };
                        let _half = if stopped {
                            balancer.while_stopped(goes)
                        } else {
                            goes()
                        };
                        thread::sleep(WATCHED);
                        let after = recorder.attempts.lock().unwrap().clone();
                        assert_eq!(
                            after.len(),
                            before,
                            "{may_cancel} {stopped} {answer}: {after:?}"
                        );
                        balancer.servers[0].set_behavior(ServerBehavior::Serving);
                        still_serves(&balancer, &recorder);
                    });
                }
            }
        }
    });
}

/// The connection never comes up in its time, and the client leaves meanwhile; also in one with
/// that time's end.
#[test]
fn a_flow_whose_dial_runs_out_after_its_client_has_left_gets_no_other() {
    thread::scope(|scope| {
        for stopped in [false, true] {
            for how in LEAVES {
                scope.spawn(move || {
                    let late = LateServer::new();
                    let (balancer, recorder) = balancer(false);
                    balancer.agent.publish("s-late", late.address, "Ready");
                    balancer
                        .agent
                        .publish("s-0", balancer.servers[0].address, "Gone");
                    wait_for("the new list", || {
                        balancer.client("c=chat,d=60").read_line() != "UP 1"
                    });
                    wait_for("no pending connect", || !late.has_pending_connect());
                    let leaving = clients(&balancer, "leaving", 1).remove(0);
                    wait_for("a connection begun", || late.has_pending_connect());
                    let goes = || {
                        let half = leave(leaving, how);
                        balancer.agent.publish("s-new", recorder.address, "Ready");
                        thread::sleep(DIAL_TIMEOUT + TRIGGER);
                        half
                    };
                    let _half = if stopped {
                        balancer.while_stopped(goes)
                    } else {
                        goes()
                    };
                    thread::sleep(WATCHED);
                    recorder.assert_only_from("staying", &format!("{stopped} {how:?}"));
                    assert_eq!(late.accept_first_line(), "", "{stopped} {how:?}: a line");
                });
            }
        }
    });
}

/// Clients leave at any moment while the balancer is kept busy by others that come and go: each
/// attempt that a server has had began before its client's leave was 0.1 s old.
#[test]
fn clients_that_leave_at_any_moment_are_not_forwarded_later() {
    let (balancer, recorder) = balancer(true);
    balancer.agent.publish("s-new", recorder.address, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Gone");
    wait_for("the recorder", || {
        clients(&balancer, "first", 1).remove(0).read_line();
        !recorder.attempts.lock().unwrap().is_empty()
    });
    let until = Instant::now() + Duration::from_secs(3);
    let (left, own) = (
        Mutex::new(std::collections::BTreeMap::new()),
        Mutex::new(Vec::new()),
    );
    thread::scope(|scope| {
        for number in 0..4 {
            let (balancer, left) = (&balancer, &left);
            scope.spawn(move || {
                for round in (0..200).take_while(|_| Instant::now() < until) {
                    let name = format!("any{number}x{round}x");
                    let open = clients(balancer, &name, 2);
                    thread::sleep(Duration::from_micros(round * 1370 % 20_000));
                    let _half = leave_all(open);
                    left.lock().unwrap().insert(name, Instant::now());
                }
            });
        }
        // The test's own way to the recorder, from before a line to its record: other lines may be
        // recorded as late.
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
            own.lock()
                .unwrap()
                .extend(open.into_iter().map(|(since, _)| since));
        });
    });
    thread::sleep(WATCHED);
    let (left, own) = (left.into_inner().unwrap(), own.into_inner().unwrap());
    let own_lateness = recorder.own_lateness(&own);
    let mut matched = 0;
    for attempt in recorder.attempts.lock().unwrap().iter() {
        let Some((at, line)) = &attempt.line else {
            continue;
        };
        let gone = left
            .iter()
            .find(|(name, _)| line.contains(&format!("OPEN {name}")));
        let Some((_, gone)) = gone else { continue };
        matched += 1;
        let late = attempt.at.max(*at).saturating_duration_since(*gone);
        // Twice, as the latest of those may not have been met.
        let allowed = AFTER_LEAVE + SLACK + 2 * own_lateness;
        assert!(
            late <= allowed,
            "{line}: {late:?} after its client had gone, {allowed:?} allowed"
        );
    }
    assert!(matched > 0, "some were forwarded before they left");
}
