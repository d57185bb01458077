//! Discovery that goes down and returns, on the real program with a stand-in agent on loopback: how long until what it has
//! to tell is asked for and answered.

mod common;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::Service;
use common::{Stand, changed, soon};
use serde_json::json;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// The wait in the queue of a service that all balancers share, a little under the 2 s after which it turns calls away.
const QUEUE: Duration = Duration::from_millis(1900);
/// So long a failing service keeps a call.
const KEPT: Duration = Duration::from_secs(1);

/// Takes discovery down in that way, lets it return `after` the start of the second call that fails, and says how long
/// after the return a call was answered.
fn time_until_answered(down: Service, after: Duration) -> Duration {
    static PLAYS: AtomicU64 = AtomicU64::new(1);
    let seed = format!("{:016x}", PLAYS.fetch_add(1, Ordering::Relaxed));
    let stand = Stand::with(1, |config| {
        changed(
            &config.replace("8c1f30d27a5be964", &seed),
            &[("discovery", json!("ask"))],
        )
    });
    stand.agent.set(down);
    let before = stand.agent.calls().len();
    soon("second call that fails", || {
        stand.agent.calls().len() >= before + 2
    });
    let second = stand.agent.calls()[before + 1];
    thread::sleep(after.saturating_sub(second.at.elapsed()));
    let returned = Instant::now();
    stand
        .agent
        .tell("s-0", stand.toys[0].address, "Terminating");
    stand.agent.set(Service::Up(QUEUE));
    let answered = || {
        stand.agent.calls()[before..]
            .iter()
            .find_map(|call| call.answered.filter(|at| *at > returned))
    };
    // Waited for longer than is allowed, so that the time is told where it is too long.
    while answered().is_none() && returned.elapsed() < 3 * TOLD_AFTER {
        thread::sleep(Duration::from_millis(20));
    }
    answered().map_or(returned.elapsed(), |at| at - returned)
}

/// Whatever failed before, and at whatever moment of a failing call or of the pause after it discovery returns.
#[test]
fn news_is_answered_within_its_time_after_discovery_returns() {
    let late = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for down in [
            Service::TurnsAway(KEPT),
            Service::Silent,
            Service::Cuts(KEPT),
        ] {
            for ms in [200, 1200, 1700, 2300, 3000, 4000] {
                let late = &late;
                scope.spawn(move || {
                    let took = time_until_answered(down, Duration::from_millis(ms));
                    if took >= TOLD_AFTER {
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

/// An agent that was started again and whose new list has come to the very number that we have: nothing shows it but the end
/// of the connection. A drain that is told under such a number is heard all the same.
#[test]
fn an_agent_that_returns_at_our_very_number_with_another_list_is_found_out() {
    let stand = Stand::new(2);
    let newest = stand.agent.version();
    soon("call from the newest version", || {
        stand
            .agent
            .calls()
            .last()
            .is_some_and(|call| call.from == Some(newest))
    });
    stand.agent.set(Service::Cuts(Duration::ZERO));
    let before = stand.agent.calls().len();
    soon("call that is cut", || stand.agent.calls().len() > before);
    stand
        .agent
        .tell("s-1", stand.toys[1].address, "Terminating");
    stand.agent.count_anew();
    assert_eq!(
        stand.agent.version(),
        newest,
        "the number alone shows nothing"
    );
    stand.agent.set(Service::Up(Duration::ZERO));
    soon("the drain", || {
        let before = stand.toys[1].seen().len();
        (0..6).all(|_| stand.client("c=chat,d=900").says("UP 1"))
            && stand.toys[1].seen().len() == before
    });
}

/// Guards against a whole list after each of many resets: 2 MB each where 12,000 servers are listed.
#[test]
fn an_agent_that_cuts_again_and_again_is_asked_for_its_whole_list_once() {
    let stand = Stand::new(1);
    for _ in 0..10 {
        stand.agent.set(Service::Cuts(Duration::ZERO));
        let before = stand.agent.calls().len();
        soon("call that is cut", || stand.agent.calls().len() > before);
        stand.agent.set(Service::Up(Duration::ZERO));
        let before = stand.agent.calls().len();
        // Woken by the news, so that the next call comes at once.
        stand.agent.tell("s-0", stand.toys[0].address, "Ready");
        soon("call that is answered", || {
            stand.agent.calls()[before..]
                .iter()
                .any(|call| call.answered.is_some())
        });
        stand.agent.tell("s-0", stand.toys[0].address, "Ready");
    }
    let whole = stand
        .agent
        .calls()
        .iter()
        .filter(|call| call.from.is_none() && call.answered.is_some())
        .count();
    assert_eq!(whole, 2, "the first list, and one for all the resets");
}
