//! Clients that leave before they are served, at each stage from the event to the dial: no attempt, neither a connection
//! nor a line, may begin at a server more than 0.1 s after its client has gone.

mod common;

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::Mood;
use common::{Client, Late, Stand, changed, soon};
use serde_json::json;
use socket2::SockRef;

/// An attempt that begins later than this after its client has gone is a break.
const AFTER_LEAVE: Duration = Duration::from_millis(100);
/// What the test's own threads may be late by on a machine that is busy with the other tests.
const SLACK: Duration = Duration::from_millis(100);
/// What would cause an attempt comes so long after the leave, so that none is in doubt for the test's own clock.
const TRIGGER: Duration = Duration::from_millis(300);
/// A connection that isn't up by then won't be; long enough for a busy machine to see that it has begun.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// So long attempts are waited for.
const WATCHED: Duration = Duration::from_millis(1000);

/// An attempt as a server had it.
#[derive(Clone, Debug)]
struct Attempt {
    at: Instant,
    /// The first line, and when it came; none as long as it hasn't.
    line: Option<(Instant, String)>,
}

/// A server that keeps all attempts and answers each first line with `UP 1`.
struct Recorder {
    address: SocketAddr,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Recorder {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let recorder = Recorder {
            address: listener.local_addr().unwrap(),
            attempts: Arc::default(),
        };
        let attempts = recorder.attempts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let place = attempts.lock().unwrap().len();
                attempts.lock().unwrap().push(Attempt {
                    at: Instant::now(),
                    line: None,
                });
                let attempts = attempts.clone();
                thread::spawn(move || {
                    let mut lines = BufReader::new(&stream).lines().map_while(Result::ok);
                    if let Some(line) = lines.next() {
                        attempts.lock().unwrap()[place].line = Some((Instant::now(), line));
                        let _ = (&stream).write_all(b"UP 1\r\n");
                    }
                    lines.for_each(drop);
                });
            }
        });
        recorder
    }

    /// How late the latest of the test's own lines was on record, by when each was sent.
    fn own_lateness(&self, sent: &[Instant]) -> Duration {
        let attempts = self.attempts.lock().unwrap();
        let own = attempts.iter().filter_map(|attempt| {
            let (at, line) = attempt.line.as_ref()?;
            let number: usize = line.strip_prefix("OWN ")?.parse().ok()?;
            Some(at.saturating_duration_since(sent[number]))
        });
        own.max().expect("some of them have come")
    }

    /// Asserts that there was no attempt but for clients of this name, each of which has sent its line.
    fn had_only(&self, staying: &str, what: &str) {
        for attempt in self.attempts.lock().unwrap().iter() {
            let line = attempt.line.as_ref().map(|(_, line)| line.as_str());
            assert!(
                line.is_some_and(|line| line.starts_with(&format!("OPEN {staying}"))),
                "{what}: {attempt:?}"
            );
        }
    }
}

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

/// A balancer without probes, whose clients wait long, and a recorder that it doesn't know yet.
fn stand(may_cancel: bool) -> (Stand, Recorder) {
    let stand = Stand::with(1, |config| {
        changed(
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
    (stand, Recorder::start())
}

/// From now on nobody is placed.
fn no_server(stand: &Stand) {
    stand
        .agent
        .tell("s-0", stand.toys[0].address, "Terminating");
    soon("no server", || stand.client("c=chat,d=60").line() != "UP 1");
}

fn clients(stand: &Stand, name: &str, count: usize) -> Vec<Client> {
    // An id is new with every connection.
    static IDS: AtomicU64 = AtomicU64::new(0);
    let open = |i| {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        format!("OPEN {name}{id} k{i} c=chat,d=4500,g={name}{i}\r\n")
    };
    (0..count)
        .map(|i| Client::new(stand.at, open(i).as_bytes()))
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
fn still_serves(stand: &Stand, recorder: &Recorder) {
    soon("the recorder", || {
        clients(stand, "staying", 1).remove(0).says("UP 1")
    });
    let seen = recorder.attempts.lock().unwrap();
    assert!(seen.iter().any(|attempt| {
        attempt
            .line
            .as_ref()
            .is_some_and(|(_, line)| line.contains("staying"))
    }));
}

/// Held since no server is ready, and at the queue before the module, until one is.
#[test]
fn held_and_queued_flows_are_not_placed_after_their_clients_leave() {
    thread::scope(|scope| {
        for door in [None, Some("[door]\nby = \"client\"\nheld = 2\n")] {
            scope.spawn(move || {
                let (mut stand, recorder) = stand(true);
                let operator = stand.file.with_extension("toml");
                if let Some(text) = door {
                    std::fs::write(&operator, text).unwrap();
                    stand.restarted_with(&["--operator", operator.to_str().unwrap()]);
                    soon("a list", || stand.client("c=chat,d=1000").says("UP 1"));
                }
                no_server(&stand);
                let held = clients(&stand, "leaving", 20);
                thread::sleep(Duration::from_millis(150));
                let _half = leave_all(waiting(held));
                thread::sleep(TRIGGER);
                stand.agent.tell("s-new", recorder.address, "Ready");
                thread::sleep(WATCHED);
                recorder.had_only("staying", "held");
                still_serves(&stand, &recorder);
                let _ = std::fs::remove_file(operator);
            });
        }
    });
}

/// All at one go: their ends, the server that they were held for, and lines of many open connections, which keep the worker
/// busy. Some of the held flows stay.
#[test]
fn a_busy_worker_places_nobody_who_has_left_meanwhile() {
    thread::scope(|scope| {
        for ready_first in [false, true] {
            scope.spawn(move || {
                let (stand, recorder) = stand(true);
                let mut busy: Vec<Client> = (0..300)
                    .map(|_| stand.client("c=chat,d=900"))
                    .filter_map(|mut c| c.says("UP 1").then_some(c))
                    .collect();
                no_server(&stand);
                let (leaving, staying) = (
                    clients(&stand, "leaving", 10),
                    clients(&stand, "staying", 10),
                );
                thread::sleep(Duration::from_millis(300));
                let (leaving, mut staying) = (waiting(leaving), waiting(staying));
                let ready = || stand.agent.tell("s-new", recorder.address, "Ready");
                let _half = stand.at_one_go(|| {
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
                let answers: Vec<String> = staying.iter_mut().map(Client::line).collect();
                thread::sleep(WATCHED);
                recorder.had_only("staying", "busy");
                assert!(
                    busy.len() >= 50 && answers.iter().any(|answer| answer == "UP 1"),
                    "{} {answers:?}",
                    busy.len()
                );
            });
        }
    });
}

/// Clients leave while the worker passes on the lines of many others, after the module has placed them and before their own
/// coroutines have run. Without the look before the dial their servers are dialled as late as the worker is.
#[test]
fn a_busy_worker_dials_for_nobody_who_has_left_meanwhile() {
    let (stand, recorder) = stand(true);
    let mut busy: Vec<Client> = (0..300)
        .map(|_| stand.client("c=chat,d=900"))
        .filter_map(|mut client| client.says("UP 1").then_some(client))
        .collect();
    no_server(&stand);
    let leaving = clients(&stand, "leaving", 10);
    thread::sleep(Duration::from_millis(300));
    let leaving = waiting(leaving);
    stand.at_one_go(|| {
        stand.agent.tell("s-new", recorder.address, "Ready");
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

/// Its attempt fails after it has left: cut off, turned away, or never up. The next server gets none.
#[test]
fn a_flow_whose_attempt_fails_after_its_client_has_left_gets_no_other() {
    thread::scope(|scope| {
        for may_cancel in [false, true] {
            for stopped in [false, true] {
                for answer in ["BUSY\r\n", "ERR\r\n", ""] {
                    scope.spawn(move || {
                        let (stand, recorder) = stand(may_cancel);
                        stand.toys[0].set(Mood::Silent);
                        let leaving = clients(&stand, "leaving", 8);
                        let out = || {
                            stand.toys[0]
                                .seen()
                                .iter()
                                .any(|line| line.contains("leaving"))
                        };
                        soon("a line at the first server", out);
                        thread::sleep(Duration::from_millis(100));
                        stand.agent.tell("s-new", recorder.address, "Ready");
                        stand
                            .agent
                            .tell("s-0", stand.toys[0].address, "Terminating");
                        thread::sleep(TRIGGER);
                        // Those that were held meanwhile may have come to it.
                        let before = recorder.attempts.lock().unwrap().len();
                        let goes = || {
                            let half = leave_all(leaving);
                            thread::sleep(TRIGGER);
                            stand.toys[0].say(answer, true);
                            half
                        };
                        let _half = if stopped {
                            stand.at_one_go(goes)
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
                        stand.toys[0].set(Mood::Up);
                        still_serves(&stand, &recorder);
                    });
                }
            }
        }
    });
}

/// The connection never comes up in its time, and the client leaves meanwhile; also in one with that time's end.
#[test]
fn a_flow_whose_dial_runs_out_after_its_client_has_left_gets_no_other() {
    thread::scope(|scope| {
        for stopped in [false, true] {
            for how in LEAVES {
                scope.spawn(move || {
                    let late = Late::new();
                    let (stand, recorder) = stand(false);
                    stand.agent.tell("s-late", late.address, "Ready");
                    stand.agent.tell("s-0", stand.toys[0].address, "Gone");
                    soon("the new list", || {
                        stand.client("c=chat,d=60").line() != "UP 1"
                    });
                    soon("nobody dialling", || !late.dialled());
                    let leaving = clients(&stand, "leaving", 1).remove(0);
                    soon("a connection begun", || late.dialled());
                    let goes = || {
                        let half = leave(leaving, how);
                        stand.agent.tell("s-new", recorder.address, "Ready");
                        thread::sleep(DIAL_TIMEOUT + TRIGGER);
                        half
                    };
                    let _half = if stopped {
                        stand.at_one_go(goes)
                    } else {
                        goes()
                    };
                    thread::sleep(WATCHED);
                    recorder.had_only("staying", &format!("{stopped} {how:?}"));
                    assert_eq!(late.let_in(), "", "{stopped} {how:?}: a line");
                });
            }
        }
    });
}

/// Clients leave at any moment while the balancer is kept busy by others that come and go: each attempt that a server has
/// had began before its client's leave was 0.1 s old.
#[test]
fn clients_that_leave_at_any_moment_are_not_sent_on_later() {
    let (stand, recorder) = stand(true);
    stand.agent.tell("s-new", recorder.address, "Ready");
    stand.agent.tell("s-0", stand.toys[0].address, "Gone");
    soon("the recorder", || {
        clients(&stand, "first", 1).remove(0).line();
        !recorder.attempts.lock().unwrap().is_empty()
    });
    let until = Instant::now() + Duration::from_secs(3);
    let (left, own) = (
        Mutex::new(std::collections::BTreeMap::new()),
        Mutex::new(Vec::new()),
    );
    thread::scope(|scope| {
        for number in 0..4 {
            let (stand, left) = (&stand, &left);
            scope.spawn(move || {
                for round in (0..200).take_while(|_| Instant::now() < until) {
                    let name = format!("any{number}x{round}x");
                    let open = clients(stand, &name, 2);
                    thread::sleep(Duration::from_micros(round * 1370 % 20_000));
                    let _half = leave_all(open);
                    left.lock().unwrap().insert(name, Instant::now());
                }
            });
        }
        // The test's own way to the recorder, from before a line to its record: so late it tells of others' lines as well.
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
    assert!(matched > 0, "some were sent on before they left");
}
