//! Discovery agents that need long for their calls, tested on the real program with agents on
//! loopback. Measures how long it takes until the balancer knows the list.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::toy::{AgentBehavior, DiscoveryAgent};
use common::{TestBalancer, with_settings};
use serde_json::json;

/// The time after SIGHUP within which the balancer must know what discovery has to tell.
const RELOAD_DEADLINE: Duration = Duration::from_secs(4);
/// The longest time until the balancer knows a change, from when discovery has the change and is
/// reachable.
const CHANGE_DEADLINE: Duration = Duration::from_secs(6);
/// When a server begins to drain, after SIGHUP.
const DRAIN_AFTER_RELOAD: Duration = Duration::from_millis(200);

/// A move of discovery to an agent that needs some time for each call.
#[derive(Clone, Copy, Debug)]
struct Move {
    /// How the settings say that the list is got: `push` or `ask`.
    discovery: &'static str,
    /// What happens to the new agent's first call, if it isn't like the others.
    first_call: Option<AgentBehavior>,
    call_time: Duration,
    /// The time between two SIGHUPs, the first of which moves discovery to a silent agent.
    second_reload_after: Option<Duration>,
}

/// Returns when the agent is first asked for changes since its newest version, which shows that the
/// balancer knows that version.
fn known_at(agent: &DiscoveryAgent) -> Option<Instant> {
    let newest = Some(agent.version());
    let calls = agent.recorded_calls();
    let call = calls.iter().find(|call| call.from_version == newest)?;
    Some(call.received_at)
}

/// Returns the time from `start` until the balancer knows the agent's list, or a longer time than
/// all deadlines.
fn time_until_known(agent: &DiscoveryAgent, start: Instant) -> Duration {
    while start.elapsed() < 3 * CHANGE_DEADLINE {
        if let Some(at) = known_at(agent) {
            return at - start;
        }
        thread::sleep(Duration::from_millis(10));
    }
    start.elapsed()
}

fn start_agent(balancer: &TestBalancer) -> Arc<DiscoveryAgent> {
    let agent = DiscoveryAgent::start("127.0.0.1:0").unwrap();
    agent.publish("s-0", balancer.servers[0].address, "Ready");
    agent.publish("s-1", balancer.servers[1].address, "Ready");
    agent
}

/// Moves discovery, lets a server drain, and later another one. Returns the times until the first
/// drain is known, from the first SIGHUP, and until the second one is, from when it began.
fn play(case: Move) -> (Duration, Duration) {
    let balancer = TestBalancer::with_config(2, |config| {
        with_settings(&config, &[("discovery", json!(case.discovery))])
    });
    let config = with_settings(
        &balancer.config_text,
        &[("discovery", json!(case.discovery))],
    );
    let address = balancer.agent.address.to_string();
    let move_to = |agent: &DiscoveryAgent| {
        balancer.reload(&config.replace(&address, &agent.address.to_string()));
    };
    let reloaded_at = Instant::now();
    if let Some(interval) = case.second_reload_after {
        let silent = start_agent(&balancer);
        silent.stop_answering();
        move_to(&silent);
        thread::sleep(interval);
    }
    let agent = start_agent(&balancer);
    agent.set_behavior(AgentBehavior::Serving(case.call_time));
    agent.set_next_behaviors(case.first_call.as_slice());
    move_to(&agent);
    thread::sleep(DRAIN_AFTER_RELOAD);
    agent.publish("s-0", balancer.servers[0].address, "Terminating");
    let after_reload = time_until_known(&agent, reloaded_at);
    let changed_at = Instant::now();
    agent.publish("s-1", balancer.servers[1].address, "Terminating");
    (after_reload, time_until_known(&agent, changed_at))
}

/// Guards against a drain that is never learned because the agent needs longer for each call than
/// the balancer waits for it.
#[test]
fn drain_is_known_in_time_from_an_agent_that_needs_up_to_2_s_for_a_call() {
    let call_times = [500, 800, 1200, 1600, 2000].map(Duration::from_millis);
    let slow = call_times.into_iter().flat_map(|call_time| {
        ["push", "ask"].map(|discovery| Move {
            discovery,
            first_call: None,
            call_time,
            second_reload_after: None,
        })
    });
    let after_a_failed_call = [
        AgentBehavior::Silent,
        AgentBehavior::Closing(Duration::from_millis(300)),
        AgentBehavior::Rejecting(Duration::from_secs(2)),
    ]
    .map(|first_call| Move {
        discovery: "push",
        first_call: Some(first_call),
        call_time: Duration::from_millis(1600),
        second_reload_after: None,
    });
    let after_two_reloads = ["push", "ask"].map(|discovery| Move {
        discovery,
        first_call: None,
        call_time: Duration::from_millis(1600),
        second_reload_after: Some(Duration::from_secs(1)),
    });
    let late = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for case in slow.chain(after_a_failed_call).chain(after_two_reloads) {
            let late = &late;
            scope.spawn(move || {
                let (after_reload, after_change) = play(case);
                if after_reload >= RELOAD_DEADLINE || after_change >= CHANGE_DEADLINE {
                    late.lock().unwrap().push(format!(
                        "{case:?}: known {after_reload:?} after SIGHUP, the next change {after_change:?} later"
                    ));
                }
            });
        }
    });
    let late = late.into_inner().unwrap();
    assert!(late.is_empty(), "learned too late: {late:#?}");
}
