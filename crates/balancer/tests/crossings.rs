//! Races between two events, forced on the real program. Test servers delay one event until the
//! other has happened. Where both events have to arrive at once, the program is stopped (SIGSTOP)
//! while they happen. docs/design/crossings.md lists which order of events does harm and what
//! guards against it.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, DelayedAcceptServer, TestBalancer, wait_for, with_settings};
use serde_json::json;

/// Starts a balancer whose only listed server is this one. It makes no health checks and has long
/// connect timeouts and latency objectives.
fn balancer_with_only_server(late: &DelayedAcceptServer, may_cancel: bool) -> TestBalancer {
    let balancer = TestBalancer::with_config(1, |config| {
        with_settings(
            &config,
            &[
                ("limits/may-cancel", json!(may_cancel)),
                ("limits/probes", json!(false)),
                ("limits/dial-timeout", json!(5_000_000)),
                ("service-types/0/setup-target", json!(4_000_000)),
            ],
        )
    });
    balancer.agent.publish("s-late", late.address, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Gone");
    balancer.wait_for_current_list();
    balancer
}

/// A client disconnects while the connection to its server is pending. Its first line must not be
/// forwarded, whether or not the settings allow the balancer to cancel attempts (`may-cancel`). If
/// the balancer didn't check the client before it writes the line, the server would get the line
/// one second after the client disconnected.
#[test]
fn first_line_is_not_forwarded_if_its_client_disconnects_during_connect() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for disconnect in ["close", "reset", "close after data", "half-close"] {
                scope.spawn(move || {
                    let late = DelayedAcceptServer::new();
                    let balancer = balancer_with_only_server(&late, may_cancel);
                    wait_for("end of the pending connects", || {
                        !late.has_pending_connect()
                    });
                    let mut client = balancer.client("c=chat,d=4500");
                    wait_for("a pending connect", || late.has_pending_connect());
                    let set_linger = |time| {
                        socket2::SockRef::from(&client.stream)
                            .set_linger(time)
                            .unwrap()
                    };
                    match disconnect {
                        "half-close" => client.stream.shutdown(Shutdown::Write).unwrap(),
                        "reset" => set_linger(Some(Duration::ZERO)),
                        "close after data" => client.send("hello\r\n"),
                        _ => {}
                    }
                    if disconnect == "half-close" {
                        assert_eq!(
                            (client.read_line(), client.read_line()),
                            ("ERR".into(), "end".into()),
                            "may-cancel={may_cancel}: expected ERR, then the end of the stream"
                        );
                    }
                    drop(client);
                    thread::sleep(Duration::from_millis(300));
                    assert_eq!(
                        late.accept_first_line(),
                        "",
                        "{disconnect}, may-cancel={may_cancel}: expected no first line"
                    );
                });
            }
        }
    });
}

/// The end of a client's stream that arrives together with its first line causes no separate
/// readiness event. If the balancer didn't check for it, the flow would stay in the queue and would
/// be forwarded once a server is ready.
#[test]
fn client_that_ends_its_stream_with_its_first_line_gets_err_at_once_and_is_not_forwarded() {
    let balancer = TestBalancer::with_draining_server_only();
    let since = Instant::now();
    // Accepted before, so that the line and the end of the stream are one event.
    let mut clients: Vec<Client> = (0..5)
        .map(|_| Client::connect_and_send(balancer.address, b"PING\r\n"))
        .collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.read_line(), "PONG"));
    balancer.while_stopped(|| {
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(&format!("OPEN e{i} k c=chat,d=4500\r\n"));
            client.stream.shutdown(Shutdown::Write).unwrap();
        }
    });
    for client in &mut clients {
        assert_eq!(
            (client.read_line(), client.read_line()),
            ("ERR".into(), "end".into())
        );
    }
    assert!(
        since.elapsed() < Duration::from_millis(1500),
        "expected all answers within 1.5 s, took {:?}",
        since.elapsed()
    );
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Ready");
    wait_for("the ready server", || {
        balancer.client("c=chat,d=900").next_line_is("UP 1")
    });
    let seen = balancer.servers[0].first_lines();
    assert!(
        seen.iter().all(|line| !line.starts_with("OPEN e")),
        "expected no line of the clients that ended their streams: {seen:?}"
    );
}

/// A retry is placed within the deduplication window, but its connection is established only after
/// the window, when the first server may have forgotten the flow. The retry must not be sent. If
/// the window didn't limit the time to connect, the second server would get the line one second
/// later.
#[test]
fn retry_is_not_sent_if_its_connection_is_established_after_the_deduplication_window() {
    /// The connection to the second server is established one second after the first try to
    /// connect, which is after this window.
    const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(2);
    /// Time from the first attempt until its connection is closed. Long enough for a busy machine
    /// to finish the setup before, and short enough for the second attempt to start connecting
    /// within the window.
    const CLOSE_FIRST_ATTEMPT_AFTER: Duration = Duration::from_millis(1400);
    let late = DelayedAcceptServer::new();
    let balancer = TestBalancer::with_config(1, |config| {
        let order = json!({"name": "order", "setup-target": 4_000_000, "value": 1.0, "repeat": "guarded", "group": "all",
            "window": DEDUPLICATION_WINDOW.as_micros() as u64});
        let order = ("service-types/1", order);
        let connect_timeout = ("limits/dial-timeout", json!(5_000_000));
        with_settings(
            &config,
            &[order, connect_timeout, ("limits/probes", json!(false))],
        )
    });
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut client = balancer.client("c=order,d=4000");
    wait_for("the first attempt", || {
        balancer.servers[0]
            .first_lines()
            .last()
            .is_some_and(|line| line.contains("c=order"))
    });
    let first_attempt_at = Instant::now();
    // Other clients are served meanwhile: their timeouts would decrease the limit of attempts in
    // flight, and nothing would be retried.
    balancer.servers[0].set_behavior(ServerBehavior::Serving);
    balancer.agent.publish("s-late", late.address, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    wait_for("the new endpoint list", || {
        let _client = balancer.client("c=chat,d=60");
        (0..5).any(|_| {
            thread::sleep(Duration::from_millis(5));
            late.has_pending_connect()
        })
    });
    wait_for("end of the pending connects", || {
        !late.has_pending_connect()
    });
    let setup_time = first_attempt_at.elapsed();
    assert!(
        setup_time < CLOSE_FIRST_ATTEMPT_AFTER,
        "expected the setup within {CLOSE_FIRST_ATTEMPT_AFTER:?}, took {setup_time:?}"
    );
    thread::sleep(CLOSE_FIRST_ATTEMPT_AFTER - setup_time);
    // Closed without an answer: the server may have executed the request.
    balancer.servers[0].send_and_close("");
    wait_for("the second attempt", || late.has_pending_connect());
    assert_eq!(
        late.accept_first_line(),
        "",
        "expected no retry after the deduplication window"
    );
    // `BUSY` would tell the client that it can retry safely. It can't, since servers have forgotten
    // the first attempt by now.
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ERR".into(), "end".into())
    );
}

/// Starts a server that answers each health check twice. The second answer comes 20 ms after the
/// first and reports an overload. Returns its address and the number of health checks answered.
fn start_server_that_answers_checks_twice() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, checks_answered) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let count = checks_answered.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let count = count.clone();
            thread::spawn(move || {
                let mut out = stream.try_clone().unwrap();
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    if line == "STATS" {
                        let _ = out.write_all(b"PONG x0=0.01\r\n");
                        thread::sleep(Duration::from_millis(20));
                        let _ = out.write_all(b"PONG x0=9\r\n");
                        count.fetch_add(1, Ordering::SeqCst);
                    } else if line.starts_with("OPEN") {
                        let _ = out.write_all(b"UP 1\r\n");
                    }
                }
            });
        }
    });
    (address, checks_answered)
}

/// A second answer to one health check must not count as the answer to the next one. If the
/// balancer didn't check for unread answers before it sends a health check, a server that answers
/// twice would count as overloaded from the second health check on, and no client would be served.
#[test]
fn second_answer_to_a_health_check_does_not_count_as_answer_to_the_next_check() {
    let balancer = TestBalancer::new(1);
    let (address, checks_answered) = start_server_that_answers_checks_twice();
    balancer.agent.publish("s-twice", address, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Gone");
    wait_for("two health checks", || {
        checks_answered.load(Ordering::SeqCst) >= 2
    });
    thread::sleep(Duration::from_millis(50));
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
}

/// A server drains, is removed from the endpoint list or moves to another address while an attempt
/// to it is connecting. It must not get the first line; the flow is placed on the next server.
#[test]
fn server_that_drains_or_is_removed_during_connect_gets_no_first_line() {
    thread::scope(|scope| {
        for change in ["Terminating", "Gone", "new address"] {
            scope.spawn(move || {
                let late = DelayedAcceptServer::new();
                let balancer = balancer_with_only_server(&late, true);
                wait_for("end of the pending connects", || {
                    !late.has_pending_connect()
                });
                let mut client = balancer.client("c=order,d=4000");
                wait_for("a pending connect", || late.has_pending_connect());
                let server = balancer.servers[0].address;
                match change {
                    "new address" => balancer.agent.publish("s-late", server, "Ready"),
                    state => {
                        balancer.agent.publish("s-0", server, "Ready");
                        balancer.agent.publish("s-late", late.address, state);
                    }
                }
                // The balancer knows the new list once several clients in a row are served there.
                let served = || balancer.client("c=chat,d=60").next_line_is("UP 1");
                wait_for("the new endpoint list", || (0..4).all(|_| served()));
                assert_eq!(
                    late.accept_first_line(),
                    "",
                    "{change}: expected no first line"
                );
                assert_eq!(
                    client.read_line(),
                    "UP 1",
                    "{change}: expected service by the next server"
                );
            });
        }
    });
}

/// `UP` arrives at the same time as the client's disconnect. There is no client to serve any more,
/// so the balancer must close the connection to the server.
#[test]
fn server_connection_is_closed_if_up_arrives_as_the_client_disconnects() {
    for _ in 0..5 {
        let balancer = TestBalancer::with_config(1, |config| {
            with_settings(&config, &[("limits/may-cancel", json!(false))])
        });
        balancer.servers[0].set_behavior(ServerBehavior::Silent);
        let client = balancer.client("c=chat,d=3000");
        wait_for("the attempt", || {
            balancer.servers[0]
                .first_lines()
                .last()
                .is_some_and(|line| line.contains("d=2"))
        });
        let (closed_before, since) = (
            balancer.servers[0].closed_connection_count(),
            Instant::now(),
        );
        balancer.while_stopped(|| {
            drop(client);
            balancer.servers[0].send_to_all("UP 1\r\n");
        });
        wait_for("close of the server's connection", || {
            balancer.servers[0].closed_connection_count() > closed_before
        });
        assert!(
            since.elapsed() < Duration::from_millis(1500),
            "expected the close within 1.5 s, took {:?}",
            since.elapsed()
        );
    }
}

/// `UP` has arrived by the time the balancer handles the timeout of the attempt. `UP` must count as
/// the answer, since the server already holds the connection open.
#[test]
fn up_received_before_the_attempt_timeout_is_handled_is_forwarded() {
    for _ in 0..5 {
        let balancer = TestBalancer::new(1);
        balancer.servers[0].set_behavior(ServerBehavior::Silent);
        let mut client = balancer.client("c=order,d=900");
        wait_for("the attempt", || {
            balancer.servers[0]
                .first_lines()
                .last()
                .is_some_and(|line| line.contains("c=order"))
        });
        balancer.while_stopped(|| {
            balancer.servers[0].send_to_all("UP 1\r\n");
            thread::sleep(Duration::from_millis(950));
        });
        assert_eq!(client.read_line(), "UP 1");
    }
}
