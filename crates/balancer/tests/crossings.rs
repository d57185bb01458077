//! Two events that cross, forced on the real program: stand-ins hold back what is to come late until the other event has
//! happened, and where both have to come at one go the program is stopped meanwhile (SIGSTOP). docs/design/crossings.md is
//! the table of which order does harm and what guards against it.

mod common;

use std::io::ErrorKind::WouldBlock;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::Mood;
use common::{Client, Late, Stand, changed, soon};
use serde_json::json;

/// A balancer that knows this server alone, without probes, and waits long for connections and targets.
fn with_only(late: &Late, may_cancel: bool) -> Stand {
    let stand = Stand::with(1, |config| {
        changed(
            &config,
            &[
                ("limits/may-cancel", json!(may_cancel)),
                ("limits/probes", json!(false)),
                ("limits/dial-timeout", json!(5_000_000)),
                ("service-types/0/setup-target", json!(4_000_000)),
            ],
        )
    });
    stand.agent.tell("s-late", late.address, "Ready");
    stand.agent.tell("s-0", stand.toys[0].address, "Gone");
    // Its own word in the list comes with the other's end.
    soon("the new list", || {
        stand.client("c=chat,d=60").line() != "UP 1"
    });
    stand
}

/// A client that leaves while its connection to a server comes up: nothing is sent on, whatever the settings allow.
/// Without the look before the line is written, the server gets it a second after the client's leave.
#[test]
fn a_client_that_leaves_while_its_server_is_dialled_is_not_sent_on() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for leave in ["end", "reset", "end after more", "half"] {
                scope.spawn(move || {
                    let late = Late::new();
                    let stand = with_only(&late, may_cancel);
                    soon("nobody dialling", || !late.dialled());
                    let mut client = stand.client("c=chat,d=4500");
                    soon("a connection begun", || late.dialled());
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
                            (client.line(), client.line()),
                            ("ERR".into(), "end".into()),
                            "{may_cancel}"
                        );
                    }
                    drop(client);
                    thread::sleep(Duration::from_millis(300));
                    assert_eq!(
                        late.let_in(),
                        "",
                        "{leave}, {may_cancel}: sent on for nobody"
                    );
                });
            }
        }
    });
}

/// A balancer whose one server drains, without probes; clients wait long for another.
fn without_servers() -> Stand {
    let stand = Stand::with(1, |config| {
        changed(
            &config,
            &[
                ("service-types/0/setup-target", json!(4_000_000)),
                ("limits/probes", json!(false)),
            ],
        )
    });
    stand
        .agent
        .tell("s-0", stand.toys[0].address, "Terminating");
    soon("no server", || stand.client("c=chat,d=60").line() != "UP 1");
    stand
}

/// A client's end that comes in one with its line rings no bell of its own. Without a look of its own it is waited for,
/// and sent on once a server is ready.
#[test]
fn a_client_whose_end_comes_with_its_line_is_not_waited_for() {
    let stand = without_servers();
    let since = Instant::now();
    // Taken in before, so that the line and the end are one event.
    let mut clients: Vec<Client> = (0..5).map(|_| Client::new(stand.at, b"PING\r\n")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.line(), "PONG"));
    stand.at_one_go(|| {
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(&format!("OPEN e{i} k c=chat,d=4500\r\n"));
            client.stream.shutdown(Shutdown::Write).unwrap();
        }
    });
    for client in &mut clients {
        assert_eq!((client.line(), client.line()), ("ERR".into(), "end".into()));
    }
    assert!(
        since.elapsed() < Duration::from_millis(1500),
        "{:?}",
        since.elapsed()
    );
    stand.agent.tell("s-0", stand.toys[0].address, "Ready");
    soon("the server", || stand.client("c=chat,d=900").says("UP 1"));
    let seen = stand.toys[0].seen();
    assert!(
        seen.iter().all(|line| !line.starts_with("OPEN e")),
        "{seen:?}"
    );
}

/// A repeat that is placed in time, to a server whose connection comes up only once the first server's memory of the flow
/// may be over: it is not sent. Without its limit the second server gets it a second later.
#[test]
fn a_repeat_whose_connection_comes_up_too_late_is_not_sent() {
    /// The connection to the second server comes up a second after its first try, so after the window.
    const WINDOW: Duration = Duration::from_secs(2);
    /// The first attempt is cut off so long after it was made: late enough for a busy machine to set all up before, and early
    /// enough for the second to be dialled in time.
    const CUT_AFTER: Duration = Duration::from_millis(1400);
    let late = Late::new();
    let stand = Stand::with(1, |config| {
        let order = json!({"name": "order", "setup-target": 4_000_000, "value": 1.0, "repeat": "guarded", "group": "all",
            "window": WINDOW.as_micros() as u64});
        let order = ("service-types/1", order);
        let dial = ("limits/dial-timeout", json!(5_000_000));
        changed(&config, &[order, dial, ("limits/probes", json!(false))])
    });
    stand.toys[0].set(Mood::Silent);
    let mut client = stand.client("c=order,d=4000");
    soon("the first connect", || {
        stand.toys[0]
            .seen()
            .last()
            .is_some_and(|line| line.contains("c=order"))
    });
    let first = Instant::now();
    // Others are served meanwhile: time-outs would be taken for a jam, in which nothing is sent again.
    stand.toys[0].set(Mood::Up);
    stand.agent.tell("s-late", late.address, "Ready");
    stand
        .agent
        .tell("s-0", stand.toys[0].address, "Terminating");
    soon("the new list", || {
        let _asked = stand.client("c=chat,d=60");
        (0..5).any(|_| {
            thread::sleep(Duration::from_millis(5));
            late.dialled()
        })
    });
    soon("nobody dialling", || !late.dialled());
    let set_up_in = first.elapsed();
    assert!(
        set_up_in < CUT_AFTER,
        "the machine took {set_up_in:?} to set this up"
    );
    thread::sleep(CUT_AFTER - set_up_in);
    // Cut off: it may have run there.
    stand.toys[0].say("", true);
    soon("the second attempt", || late.dialled());
    assert_eq!(late.let_in(), "", "sent again too late");
    // Nor is the client told that coming again is safe: servers have forgotten what it asked for.
    assert_eq!((client.line(), client.line()), ("ERR".into(), "end".into()));
}

/// The front goes on sending clients for 0.4 s after SIGTERM. Where all that was to be said is said before, since connect
/// timeouts are short, they must not find a closed port, nor a line that is half there an end without an answer.
#[test]
fn clients_that_come_after_sigterm_are_answered_however_short_timeouts_are() {
    thread::scope(|scope| {
        for (longest, mood) in [
            (100, Mood::Up),
            (100, Mood::Silent),
            (250, Mood::Silent),
            (700, Mood::Up),
        ] {
            scope.spawn(move || {
                let mut stand = Stand::new(1);
                let limit = json!(longest * 1000);
                stand.restarted(&[
                    ("service-types/0/hard-limit", limit.clone()),
                    ("service-types/1/hard-limit", limit),
                ]);
                // Nobody is served yet, so that nothing keeps the balancer from its end.
                stand.toys[0].set(Mood::Err);
                soon("a list", || {
                    stand.client(&format!("c=order,d={longest}")).says("ERR")
                });
                stand.toys[0].set(mood);
                let since = Instant::now();
                stand.terminate();
                let mut half = Client::new(stand.at, b"OPEN half k c=chat,");
                let mut last = Client::new(stand.at, b"OPEN last k c=chat,");
                thread::sleep(Duration::from_millis(390).saturating_sub(since.elapsed()));
                let mut late = stand.client(&format!("c=order,d={}", longest.min(90)));
                half.send(&format!("d={}\r\n", longest.min(90)));
                for client in [&mut late, &mut half] {
                    let answer = client.line();
                    let answered =
                        answer == "UP 1" || answer == "ERR" || answer.starts_with("BUSY");
                    assert!(answered, "{longest} {mood:?}: {answer}");
                    if answer == "UP 1" {
                        assert_eq!(client.line(), "MOVE", "{longest} {mood:?}");
                    }
                }
                // All is said but for one whose line is whole only now, and whose time would run past our end.
                drop((late, half));
                if longest == 250 {
                    thread::sleep(Duration::from_millis(620).saturating_sub(since.elapsed()));
                    last.send("d=250\r\n");
                    let answer = last.line();
                    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
                }
                let status = stand.child.wait().unwrap();
                // SIGKILL comes so long after SIGTERM.
                let kill = Duration::from_millis(longest + 700);
                assert!(
                    status.success() && since.elapsed() < kill,
                    "{status} {:?}",
                    since.elapsed()
                );
            });
        }
    });
}

/// One that was open before the run, and whose server says nothing, has its answer when the balancer ends, as have those
/// that are still owed one at the last moment.
#[test]
fn who_waits_for_a_hung_server_is_answered_before_the_end() {
    let mut stand = Stand::new(1);
    let limit = json!(400_000);
    stand.restarted(&[
        ("service-types/0/hard-limit", limit.clone()),
        ("service-types/1/hard-limit", limit),
    ]);
    soon("a list", || stand.client("c=chat,d=400").says("UP 1"));
    stand.toys[0].set(Mood::Silent);
    let mut clients: Vec<Client> = ["c=chat,at=s-0", "c=chat,at=s-none"]
        .into_iter()
        .map(|values| stand.client(values))
        .collect();
    soon("the connect", || {
        stand.toys[0]
            .seen()
            .last()
            .is_some_and(|line| line.contains("at=s-0"))
    });
    stand.terminate();
    for client in &mut clients {
        assert_eq!((client.line(), client.line()), ("ERR".into(), "end".into()));
    }
    assert!(stand.child.wait().unwrap().success());
}

/// A server whose second answer to a probe comes some milliseconds after the first, and says that it is hot.
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

/// A second answer to one probe is not the answer to the next. Without the look before it is asked, the server that says so
/// is taken for hot from the second probe on, and nobody is served.
#[test]
fn a_second_answer_to_a_probe_is_not_the_next_ones() {
    let stand = Stand::new(1);
    let (twice, asked) = answers_twice();
    stand.agent.tell("s-twice", twice, "Ready");
    stand.agent.tell("s-0", stand.toys[0].address, "Gone");
    soon("two probes", || asked.load(Ordering::SeqCst) >= 2);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(stand.client("c=chat,d=900").line(), "UP 1");
}

/// A server that drains, goes, or returns at another address while an attempt to it comes up gets nothing; the flow goes to
/// the next one.
#[test]
fn a_server_that_goes_while_it_is_dialled_gets_nothing() {
    thread::scope(|scope| {
        for how in ["Terminating", "Gone", "elsewhere"] {
            scope.spawn(move || {
                let late = Late::new();
                let stand = with_only(&late, true);
                soon("nobody dialling", || !late.dialled());
                let mut client = stand.client("c=order,d=4000");
                soon("a connection begun", || late.dialled());
                let toy = stand.toys[0].address;
                match how {
                    "elsewhere" => stand.agent.tell("s-late", toy, "Ready"),
                    how => {
                        stand.agent.tell("s-0", toy, "Ready");
                        stand.agent.tell("s-late", late.address, how);
                    }
                }
                // Known once others are served there, one after the other.
                let served = || stand.client("c=chat,d=60").says("UP 1");
                soon("the new list", || (0..4).all(|_| served()));
                assert_eq!(late.let_in(), "", "{how}");
                assert_eq!(client.line(), "UP 1", "{how}");
            });
        }
    });
}

/// A server that says this to each first line, and whether its caller has ended by then or ends within a second.
fn says(
    text: &'static str,
    end: bool,
    when: impl Fn() + Send + 'static,
) -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (ended, told)) = (listener.local_addr().unwrap(), channel());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            if lines
                .next()
                .is_none_or(|line| line.is_ok_and(|line| !line.starts_with("OPEN")))
            {
                continue;
            }
            when();
            let _ = (&stream).write_all(text.as_bytes());
            if end {
                let _ = stream.shutdown(Shutdown::Write);
            }
            stream
                .set_read_timeout(Some(Duration::from_secs(1)))
                .unwrap();
            let _ = ended.send(
                lines
                    .next()
                    .is_none_or(|line| line.is_err_and(|e| e.kind() != WouldBlock)),
            );
        }
    });
    (address, told)
}

/// A balancer that knows this server alone, without probes.
fn with_one(address: SocketAddr) -> Stand {
    let stand = Stand::with(1, |config| {
        changed(&config, &[("limits/probes", json!(false))])
    });
    // In this order: who is served by the second is so once the first is gone.
    stand.agent.tell("s-0", stand.toys[0].address, "Gone");
    stand.agent.tell("s-1", address, "Ready");
    let seen = || stand.toys[0].seen().len();
    soon("the new list", || {
        let before = seen();
        stand.client("c=chat,d=900").says("UP 1") && seen() == before
    });
    stand
}

/// `UP` in one read with what follows it: all of it is passed on, in order, and the end with it.
#[test]
fn what_comes_in_one_read_with_up_is_passed_on() {
    for (text, end) in [
        ("UP 1\r\nBYE\r\n", true),
        ("UP 1\r\nMOVE\r\n", true),
        (
            "UP 1\r\nLOAD 7\r\nok x\r\nBYE inflight=1,util=0.2\r\n",
            true,
        ),
        ("UP 1\r\n", true),
        ("UP 1\r\nLOAD 7\r\nok x\r\n", false),
    ] {
        let (address, _ended) = says(text, end, || {});
        let stand = with_one(address);
        let mut client = stand.client("c=chat,d=900");
        for line in text.lines() {
            assert_eq!(client.line(), line, "{text:?}");
        }
        if end {
            assert_eq!(client.line(), "end", "{text:?}");
        }
    }
}

/// `UP` that comes with the client's leave: nobody is served, and the server hears of it.
#[test]
fn up_that_comes_with_the_clients_leave_is_given_back() {
    for _ in 0..5 {
        let stand = Stand::with(1, |config| {
            changed(&config, &[("limits/may-cancel", json!(false))])
        });
        stand.toys[0].set(Mood::Silent);
        let client = stand.client("c=chat,d=3000");
        soon("the connect", || {
            stand.toys[0]
                .seen()
                .last()
                .is_some_and(|line| line.contains("d=2"))
        });
        let (open, before) = (stand.toys[0].ended(), Instant::now());
        stand.at_one_go(|| {
            drop(client);
            stand.toys[0].say("UP 1\r\n", false);
        });
        soon("the end at the server", || stand.toys[0].ended() > open);
        assert!(
            before.elapsed() < Duration::from_millis(1500),
            "{:?}",
            before.elapsed()
        );
    }
}

/// `UP` that has come by the time an attempt's time is up is the answer: the server holds the connection.
#[test]
fn up_that_has_come_as_the_time_is_up_is_passed_on() {
    for _ in 0..5 {
        let stand = Stand::new(1);
        stand.toys[0].set(Mood::Silent);
        let mut client = stand.client("c=order,d=900");
        soon("the connect", || {
            stand.toys[0]
                .seen()
                .last()
                .is_some_and(|line| line.contains("c=order"))
        });
        stand.at_one_go(|| {
            stand.toys[0].say("UP 1\r\n", false);
            thread::sleep(Duration::from_millis(950));
        });
        assert_eq!(client.line(), "UP 1");
    }
}

/// An agent that is started again counts from one: what it told before its new number reached ours must come all the same.
#[test]
fn an_agent_that_counts_anew_is_asked_for_its_whole_list() {
    let stand = Stand::new(2);
    for _ in 0..20 {
        stand.agent.tell("s-0", stand.toys[0].address, "Ready");
    }
    soon("both", || {
        let before = stand.toys[1].seen().len();
        stand.client("c=chat,d=900").line();
        stand.toys[1].seen().len() > before
    });
    // It has heard of the newest version, and of none after it. Guards against a new count that ends at the very number
    // that it was last told, which nothing shows.
    let newest = stand.agent.version();
    let asked_newest = || {
        stand
            .agent
            .calls()
            .last()
            .is_some_and(|call| call.from == Some(newest))
    };
    soon("call from the newest version", asked_newest);
    stand.agent.hush(true);
    let heard = stand.agent.calls().len();
    soon("call into the silence", || {
        stand.agent.calls().len() > heard && asked_newest()
    });
    // A drain under a number that is past, told by the new count alone.
    stand
        .agent
        .tell("s-1", stand.toys[1].address, "Terminating");
    stand.agent.count_anew();
    stand.agent.hush(false);
    soon("the drain", || {
        let before = stand.toys[1].seen().len();
        (0..6).all(|_| stand.client("c=chat,d=900").says("UP 1"))
            && stand.toys[1].seen().len() == before
    });
}

/// Clients that are moved while the front still sends us new ones would come straight back.
#[test]
fn nobody_is_moved_while_moved_clients_come_straight_back() {
    let mut stand = Stand::new(1);
    let limit = json!(200_000);
    stand.restarted(&[
        ("service-types/0/hard-limit", limit.clone()),
        ("service-types/1/hard-limit", limit),
    ]);
    soon("a list", || stand.client("c=chat,d=200").says("UP 1"));
    let mut clients: Vec<Client> = (0..6).map(|_| stand.client("c=chat,d=200")).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.line(), "UP 1"));
    let since = Instant::now();
    stand.terminate();
    for client in &mut clients {
        assert_eq!(
            (client.line(), client.line()),
            ("MOVE".into(), "end".into())
        );
        assert!(
            since.elapsed() >= Duration::from_millis(400),
            "{:?}",
            since.elapsed()
        );
    }
    assert!(stand.child.wait().unwrap().success() && since.elapsed() < Duration::from_millis(900));
}

/// Guards against a close over a line that comes in the moment of our `BUSY`: the reset takes the answer with it.
#[test]
fn a_line_that_comes_as_its_client_is_sent_away_does_not_reset_the_answer() {
    let stand = Stand::new(1);
    let mut resting = TcpStream::connect(stand.at).unwrap();
    resting
        .set_read_timeout(Some(Duration::from_secs(4)))
        .unwrap();
    // Its answer has come, and isn't read yet.
    assert!(resting.peek(&mut [0; 8]).unwrap() > 0);
    resting
        .write_all(b"OPEN 9b1f03aa5c7e2d41 7f3a c=chat,d=900\r\n")
        .unwrap();
    // A reset would have come by now, and this would meet it.
    thread::sleep(Duration::from_millis(100));
    resting.write_all(b"hello\r\n").expect("no reset");
    resting.shutdown(Shutdown::Write).expect("no reset");
    let mut answer = String::new();
    BufReader::new(resting)
        .read_to_string(&mut answer)
        .expect("no reset");
    assert_eq!(answer, "BUSY\r\n", "one answer, and nothing after it");
    assert!(
        !stand.toys[0]
            .seen()
            .iter()
            .any(|line| line.contains("9b1f03aa5c7e2d41")),
        "never sent on"
    );
}

/// A server that has stopped in the middle of a line is no reason to cut its client off without a word: what has come of the
/// line is kept until it is whole, so `MOVE` stands between two lines. Both when the balancer ends and when the server falls
/// silent.
#[test]
fn a_client_beside_half_a_line_is_told_to_move() {
    thread::scope(|scope| {
        for why in ["the end", "silence"] {
            scope.spawn(move || {
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let address = listener.local_addr().unwrap();
                // It never ends a connection by itself.
                thread::spawn(move || {
                    let mut open = Vec::new();
                    for mut stream in listener.incoming().flatten() {
                        let _ = stream.write_all(b"UP 1\r\nok one\r\nok tw");
                        open.push(stream);
                    }
                });
                let mut stand = with_one(address);
                let mut client = stand.client("c=chat,d=900");
                assert_eq!(
                    (client.line(), client.line()),
                    ("UP 1".into(), "ok one".into()),
                    "{why}"
                );
                match why {
                    "the end" => stand.terminate(),
                    _ => client.send("hello\r\n"),
                }
                assert_eq!(
                    (client.line(), client.line()),
                    ("MOVE".into(), "end".into()),
                    "{why}"
                );
                drop(client);
                if why == "the end" {
                    assert!(stand.child.wait().unwrap().success());
                }
            });
        }
    });
}

/// A line that comes in pieces is passed on whole once its last piece is there, one that breaks off as far as it came, and one
/// that is longer than lines may be isn't kept back.
#[test]
fn lines_in_pieces_pass_unchanged() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let long = "x".repeat(6000);
    let (said, pieces) = channel::<String>();
    let expected = format!("ok whole\r\n{long}\r\nBY");
    for piece in ["UP 1\r\nok wh", "ole\r\n", &long, "\r\nBY"] {
        said.send(piece.into()).unwrap();
    }
    drop(said);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut line = String::new();
            if BufReader::new(&stream)
                .read_line(&mut line)
                .is_ok_and(|_| line.contains("c=order"))
            {
                for piece in &pieces {
                    (&stream).write_all(piece.as_bytes()).unwrap();
                    thread::sleep(Duration::from_millis(100));
                }
                return;
            }
            let _ = (&stream).write_all(b"UP 1\r\n");
        }
    });
    let stand = with_one(address);
    let mut client = stand.client("c=order,d=900");
    assert_eq!(client.line(), "UP 1");
    let mut rest = String::new();
    client.lines.read_to_string(&mut rest).unwrap();
    assert!(
        rest == expected,
        "{} bytes: {:?}",
        rest.len(),
        &rest[..rest.len().min(40)]
    );
}

/// Whoever says more before it is served is told so, however much it has sent: what is unread must not reset the connection
/// and take the answer along.
#[test]
fn a_client_that_sends_much_before_it_is_served_reads_its_answer() {
    let stand = without_servers();
    for size in [300, 20_000, 60_000] {
        let mut client = stand.client("c=chat,d=3000");
        thread::sleep(Duration::from_millis(150));
        client.send(&"x".repeat(size));
        thread::sleep(Duration::from_millis(100));
        assert_eq!(
            (client.line(), client.line()),
            ("ERR".into(), "end".into()),
            "{size}"
        );
    }
}
