//! Two events that cross, forced on the real program: balancer-ins hold back what is to come late
//! until the other event has happened, and where both have to come at once the program is stopped
//! meanwhile (SIGSTOP). docs/design/crossings.md is the table of which order does harm and what
//! guards against it.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::ServerBehavior;
use common::{Client, LateServer, TestBalancer, wait_for, with_settings};
use serde_json::json;

/// A balancer that knows this server alone, without health checks, and has long connect timeouts
/// and latency objectives.
fn with_only(late: &LateServer, may_cancel: bool) -> TestBalancer {
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
    // Its own entry comes with the other's end.
    wait_for("the new list", || {
        balancer.client("c=chat,d=60").read_line() != "UP 1"
    });
    balancer
}

/// A client that leaves while its connection to a server comes up: nothing is forwarded, whatever
/// the settings allow. Without the look before the line is written, the server gets it a second
/// after the client's leave.
#[test]
fn a_client_that_leaves_while_its_server_is_dialled_is_not_forwarded() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for leave in ["end", "reset", "end after more", "half"] {
                scope.spawn(move || {
                    let late = LateServer::new();
                    let balancer = with_only(&late, may_cancel);
                    wait_for("no pending connect", || !late.has_pending_connect());
                    let mut client = balancer.client("c=chat,d=4500");
                    wait_for("a connection begun", || late.has_pending_connect());
                    let linger = |time| {
                        socket2::SockRef::from(&client.stream)
                            .set_linger(time)
                            .unwrap()
                    };
                    match leave {
                        "half" => client.stream.shutdown(Shutdown::Write).unwrap(),
                        "reset" => linger(Some(Duration::ZERO)),
                        "end after more" => client.send("hello\r\n"),
                        _ => {}
                    }
                    if leave == "half" {
                        assert_eq!(
                            (client.read_line(), client.read_line()),
                            ("ERR".into(), "end".into()),
                            "{may_cancel}"
                        );
                    }
                    drop(client);
                    thread::sleep(Duration::from_millis(300));
                    assert_eq!(
                        late.accept_first_line(),
                        "",
                        "{leave}, {may_cancel}: forwarded for a client that left"
                    );
                });
            }
        }
    });
}

/// A client's end that comes in one with its line causes no event of its own. Without a look of its
/// own it is waited for, and forwarded once a server is ready.
#[test]
fn a_client_whose_end_comes_with_its_line_is_not_waited_for() {
    let balancer = TestBalancer::without_ready_servers();
    let since = Instant::now();
    // Taken in before, so that the line and the end are one event.
    let mut clients: Vec<Client> = (0..5)
        .map(|_| Client::new(balancer.address, b"PING\r\n"))
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
        "{:?}",
        since.elapsed()
    );
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Ready");
    wait_for("the server", || {
        balancer.client("c=chat,d=900").receives("UP 1")
    });
    let seen = balancer.servers[0].first_lines();
    assert!(
        seen.iter().all(|line| !line.starts_with("OPEN e")),
        "{seen:?}"
    );
}

/// A retry that is placed in time, to a server whose connection comes up only once the first
/// server's memory of the flow may be over: it is not sent. Without its limit the second server
/// gets it a second later.
#[test]
fn a_retry_whose_connection_comes_up_too_late_is_not_sent() {
    /// The connection to the second server comes up a second after its first try, so after the
    /// window.
    const WINDOW: Duration = Duration::from_secs(2);
    /// The first attempt is cut off so long after it was made: late enough for a busy machine to
    /// set all up before, and early enough for the second to be dialled in time.
    const CUT_AFTER: Duration = Duration::from_millis(1400);
    let late = LateServer::new();
    let balancer = TestBalancer::with_config(1, |config| {
        let order = json!({"name": "order", "setup-target": 4_000_000, "value": 1.0, "repeat": "guarded", "group": "all",
            "window": WINDOW.as_micros() as u64});
        let order = ("service-types/1", order);
        let dial = ("limits/dial-timeout", json!(5_000_000));
        with_settings(&config, &[order, dial, ("limits/probes", json!(false))])
    });
    balancer.servers[0].set_behavior(ServerBehavior::Silent);
    let mut client = balancer.client("c=order,d=4000");
    wait_for("the first attempt", || {
        balancer.servers[0]
            .first_lines()
            .last()
            .is_some_and(|line| line.contains("c=order"))
    });
    let first = Instant::now();
    // Others are served meanwhile: timeouts would decrease the attempts in flight, and nothing
    // would be retried.
    balancer.servers[0].set_behavior(ServerBehavior::Serving);
    balancer.agent.publish("s-late", late.address, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Terminating");
    wait_for("the new list", || {
        let _asked = balancer.client("c=chat,d=60");
        (0..5).any(|_| {
            thread::sleep(Duration::from_millis(5));
            late.has_pending_connect()
        })
    });
    wait_for("no pending connect", || !late.has_pending_connect());
    let set_up_in = first.elapsed();
    assert!(
        set_up_in < CUT_AFTER,
        "the machine took {set_up_in:?} to set this up"
    );
    thread::sleep(CUT_AFTER - set_up_in);
    // Cut off: it may have run there.
    balancer.servers[0].send_and_close("");
    wait_for("the second attempt", || late.has_pending_connect());
    assert_eq!(late.accept_first_line(), "", "sent again too late");
    // Nor is the client rejected, which would say that trying again is safe: servers have forgotten
    // the first attempt.
    assert_eq!(
        (client.read_line(), client.read_line()),
        ("ERR".into(), "end".into())
    );
}

/// A server whose second answer to a health check comes some milliseconds after the first, and
/// reports an overload.
fn answers_twice() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, asked) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
    );
    let count = asked.clone();
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
    (address, asked)
}

/// A second answer to one health check is not the answer to the next. Without the look before a
/// question, the server that answers twice is taken for overloaded from the second health check on,
/// and no client is served.
#[test]
fn a_second_answer_to_a_health_check_is_not_the_next_ones() {
    let balancer = TestBalancer::new(1);
    let (twice, asked) = answers_twice();
    balancer.agent.publish("s-twice", twice, "Ready");
    balancer
        .agent
        .publish("s-0", balancer.servers[0].address, "Gone");
    wait_for("two health checks", || asked.load(Ordering::SeqCst) >= 2);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(balancer.client("c=chat,d=900").read_line(), "UP 1");
}

/// A server that drains, goes, or returns at another address while an attempt to it comes up gets
/// nothing; the flow goes to the next one.
#[test]
fn a_server_that_goes_while_it_is_dialled_gets_nothing() {
    thread::scope(|scope| {
        for how in ["Terminating", "Gone", "elsewhere"] {
            scope.spawn(move || {
                let late = LateServer::new();
                let balancer = with_only(&late, true);
                wait_for("no pending connect", || !late.has_pending_connect());
                let mut client = balancer.client("c=order,d=4000");
                wait_for("a connection begun", || late.has_pending_connect());
                let server = balancer.servers[0].address;
                match how {
                    "elsewhere" => balancer.agent.publish("s-late", server, "Ready"),
                    how => {
                        balancer.agent.publish("s-0", server, "Ready");
                        balancer.agent.publish("s-late", late.address, how);
                    }
                }
                // Known once others are served there, one after the other.
                let served = || balancer.client("c=chat,d=60").receives("UP 1");
                wait_for("the new list", || (0..4).all(|_| served()));
                assert_eq!(late.accept_first_line(), "", "{how}");
                assert_eq!(client.read_line(), "UP 1", "{how}");
            });
        }
    });
}

/// `UP` that comes with the client's leave: no client is served, and the server's connection is
/// closed.
#[test]
fn up_that_comes_with_the_clients_leave_is_given_back() {
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
        let (open, before) = (balancer.servers[0].closed_connections(), Instant::now());
        balancer.while_stopped(|| {
            drop(client);
            balancer.servers[0].send_to_all("UP 1\r\n");
        });
        wait_for("the end at the server", || {
            balancer.servers[0].closed_connections() > open
        });
        assert!(
            before.elapsed() < Duration::from_millis(1500),
            "{:?}",
            before.elapsed()
        );
    }
}

/// `UP` that has come by the time an attempt's time is up is the answer: the server holds the
/// connection.
#[test]
fn up_that_has_come_as_the_time_is_up_is_passed_on() {
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
