//! The schedule in virtual time: when the list is known, for each deadline crossed with what happens
//! to calls, and how many calls are made.

mod shared_service;
mod simulation;

use nettlemux_policy::SEC;

use super::super::list_deadline::{CALL_TIME_MAX, CHANGE_DEADLINE, RELOAD_DEADLINE};
use super::*;
use simulation::Fate::{self, Answered, Rejected, Reset, Silent};
use simulation::Simulation;

const SHARED_SERVICE: Discovery = Discovery::SharedService {
    interval_max: 10 * SEC,
};

/// What may happen to one call: answered at once, after 0.8 and 1.8 s, queued, refused, turned away
/// at once and late, never answered, reset half way.
const ONE_CALL: [Fate; 9] = [
    Answered(0),
    Answered(800 * MS),
    Answered(1800 * MS),
    Answered(1500 * MS),
    Reset(0),
    Rejected(0),
    Rejected(2 * SEC),
    Silent,
    Reset(SEC),
];

/// The times that discovery may take for all other calls.
const LATER_CALLS: [Time; 4] = [0, 800 * MS, 1800 * MS, CALL_TIME_MAX];

const DISCOVERIES: [Discovery; 2] = [Discovery::Agent, SHARED_SERVICE];
const SEEDS: u64 = 30;
/// When the trouble begins in most tests.
const TROUBLE_AT: Time = 100 * SEC;

/// Calls `test` for both kinds of discovery, each fate of one call, each time that later calls take
/// and several seeds.
fn for_each_case(test: impl Fn(Discovery, Fate, Time, u64)) {
    for discovery in DISCOVERIES {
        for first in ONE_CALL {
            for later in LATER_CALLS {
                (0..SEEDS).for_each(|seed| test(discovery, first, later, seed));
            }
        }
    }
}

/// Returns whether the list can be known by a deadline: always at an agent, where two calls are made
/// side by side. Calls to a shared service are made one after another, so that the failed one and
/// the next one must fit into the time left with a pause between them.
fn can_be_known(discovery: Discovery, time_left: Time, first: Fate, later: Time) -> bool {
    const PAUSE: Time = 200 * MS;
    let first_takes = match first {
        Answered(_) => return true,
        Rejected(time) | Reset(time) => time,
        Silent => discovery.response_timeout(),
    };
    discovery == Discovery::Agent || first_takes + PAUSE + later <= time_left
}

/// Guards against an agent that is never heard because it needs longer for a call than the balancer
/// waits, and against a list that is learned over 4 s after SIGHUP because one call failed.
#[test]
fn list_is_known_within_4_s_of_a_reload_whatever_one_call_met() {
    for_each_case(|discovery, first, later, seed| {
        for second_reload_after in [0, SEC] {
            let mut simulation = Simulation::watching(discovery, seed, TROUBLE_AT);
            simulation.run_until(TROUBLE_AT);
            simulation.move_agent();
            if second_reload_after > 0 {
                simulation.later_fate = Silent;
                simulation.run_until(TROUBLE_AT + second_reload_after);
                simulation.move_agent();
            }
            simulation.next_fates = vec![first];
            simulation.later_fate = Answered(later);
            let took = simulation.time_until_known(TROUBLE_AT);
            let time_left = RELOAD_DEADLINE - second_reload_after;
            let deadline = match can_be_known(discovery, time_left, first, later) {
                true => RELOAD_DEADLINE,
                false => CHANGE_DEADLINE,
            };
            assert!(
                took < deadline,
                "{discovery:?} {first:?}, then {later}, second reload after \
                 {second_reload_after}, seed {seed}: {took}"
            );
        }
    });
}

/// Guards against a change that is learned over 6 s after a watch has fallen silent because the call
/// after it failed, or because discovery needs long for a call.
#[test]
fn change_is_known_within_6_s_of_a_silence_whatever_the_next_call_met() {
    /// The longest time from the silence to the next call to a shared service.
    const NEXT_CALL_AFTER: Time = 3100 * MS;
    for_each_case(|discovery, first, later, seed| {
        let mut simulation = Simulation::watching(discovery, seed, Time::MAX / 2);
        let calls = simulation.starts.len();
        simulation.later_fate = Silent;
        while simulation.starts.len() == calls {
            simulation.step(Time::MAX / 2);
        }
        let silent_since = simulation.now;
        simulation.change_list_at(silent_since + 1);
        simulation.next_fates = vec![first];
        simulation.later_fate = Answered(later);
        let took = simulation.time_until_known(silent_since);
        let time_left = CHANGE_DEADLINE - NEXT_CALL_AFTER;
        assert!(
            took < CHANGE_DEADLINE || !can_be_known(discovery, time_left, first, later),
            "{discovery:?} {first:?}, then {later}, seed {seed}: {took}"
        );
    });
}

/// Guards against a change that is learned over 6 s after discovery could be reached again, whatever
/// happened to calls before, at whatever moment it recovers, and however long it needs for a call.
#[test]
fn change_is_known_within_6_s_of_the_end_of_an_outage() {
    let outages = [Silent, Rejected(0), Rejected(2 * SEC), Reset(0), Reset(SEC)];
    for discovery in DISCOVERIES {
        for outage in outages {
            for recovers_after in (0..8 * SEC).step_by(310 * MS as usize) {
                for later in LATER_CALLS {
                    let seed = recovers_after;
                    let mut simulation = Simulation::watching(discovery, seed, Time::MAX / 2);
                    simulation.later_fate = outage;
                    simulation.run_until(simulation.now + recovers_after);
                    let recovered_at = simulation.now;
                    simulation.change_list_at(recovered_at);
                    simulation.recover();
                    simulation.later_fate = Answered(later);
                    let took = simulation.time_until_known(recovered_at);
                    assert!(
                        took < CHANGE_DEADLINE,
                        "{discovery:?} {outage:?} until {recovers_after}, then {later}: {took}"
                    );
                }
            }
        }
    }
}

/// Guards against an agent whose silence, refusal or reset is noticed late, since what it has counts
/// as known at once when it answers: from the start of a process and in a watch.
#[test]
fn agent_that_answers_again_is_heard_as_soon_as_a_lost_call_may_be_noticed() {
    let longest = [
        (Answered(0), 0),
        (Reset(0), BACKOFF_MIN),
        (Rejected(0), BACKOFF_MIN),
        (Reset(SEC), OVERDUE_MIN + BACKOFF_MIN),
        (Rejected(2 * SEC), OVERDUE_MIN + BACKOFF_MIN),
        (Silent, OVERDUE_MIN + BACKOFF_MIN),
    ];
    for (first, allowed) in longest {
        let mut simulation = Simulation::new(Discovery::Agent, 1, TROUBLE_AT);
        simulation.next_fates = vec![first];
        let took = simulation.time_until_known(TROUBLE_AT);
        assert!(took <= allowed, "at the start, {first:?}: {took}");

        let mut simulation = Simulation::watching(Discovery::Agent, 1, Time::MAX / 2);
        simulation.next_fates = vec![first];
        simulation.run_until(simulation.now + WATCH_HOLD);
        simulation.change_list_at(simulation.now);
        let changed_at = simulation.now;
        let took = simulation.time_until_known(changed_at);
        assert!(took <= WATCH_HOLD + allowed, "watch, {first:?}: {took}");
    }
    // An agent that was silent for any time is called again as often as one that just fell silent.
    for silent_for in (0..20 * SEC).step_by(70 * MS as usize) {
        let mut simulation = Simulation::watching(Discovery::Agent, 1, Time::MAX / 2);
        simulation.later_fate = Silent;
        simulation.run_until(simulation.now + silent_for);
        let answers_from = simulation.now;
        simulation.change_list_at(answers_from);
        simulation.later_fate = Answered(0);
        let took = simulation.time_until_known(answers_from);
        let allowed = WATCH_HOLD + OVERDUE_MIN + BACKOFF_MIN;
        assert!(took <= allowed, "silent for {silent_for}: {took}");
    }
}

/// Guards against a lost call that is noticed late because calls before it were slow: those to
/// another agent, or to the same one before it fell silent.
#[test]
fn slowness_is_forgotten_with_the_agent_and_after_a_silence() {
    let noticed_after = OVERDUE_MIN + BACKOFF_MIN;
    let slow_agent = || {
        let mut simulation = Simulation::new(Discovery::Agent, 1, 0);
        simulation.later_fate = Answered(CALL_TIME_MAX);
        simulation.run_until(20 * SEC);
        simulation
    };
    let mut simulation = slow_agent();
    simulation.next_fates = vec![Silent];
    simulation.later_fate = Answered(0);
    simulation.move_agent();
    let took = simulation.time_until_known(20 * SEC);
    assert!(took <= noticed_after, "another agent: {took}");

    let mut simulation = slow_agent();
    simulation.later_fate = Silent;
    simulation.run_until(30 * SEC);
    simulation.change_list_at(30 * SEC);
    simulation.later_fate = Answered(0);
    let took = simulation.time_until_known(30 * SEC);
    assert!(took <= noticed_after, "the same agent: {took}");
}

/// Guards against an agent that is taken for silent and called again without end because it needs
/// long for its calls: for each, for the first, or now and then.
#[test]
fn slow_agent_is_heard_and_not_called_more_often_than_its_calls_end() {
    const WATCHED: Time = 60 * SEC;
    for discovery in DISCOVERIES {
        for call_time in (0..=CALL_TIME_MAX).step_by(50 * MS as usize) {
            let mut simulation = Simulation::new(discovery, 1, 0);
            simulation.later_fate = Answered(call_time);
            simulation.run_until(WATCHED);
            let expected = (WATCHED / (WATCH_HOLD + call_time)) as usize;
            let calls = simulation.starts.len();
            assert!(
                calls <= expected + 6,
                "{discovery:?} {call_time}: {calls} calls"
            );
            simulation.change_list_at(simulation.now);
            let took = simulation.time_until_known(WATCHED);
            let longest = WATCH_HOLD + 2 * CALL_TIME_MAX + CALL_INTERVAL_MIN;
            assert!(took <= longest, "{discovery:?} {call_time}: {took}");
        }
        for slow_call in 0..4 {
            let mut simulation = Simulation::new(discovery, 1, 0);
            simulation.next_fates = vec![Answered(0); 100];
            simulation.next_fates[slow_call..]
                .iter_mut()
                .step_by(4)
                .for_each(|fate| *fate = Answered(CALL_TIME_MAX));
            for _ in 0..20 {
                simulation.change_list_at(simulation.now);
                let changed_at = simulation.now;
                let took = simulation.time_until_known(changed_at);
                assert!(took < CHANGE_DEADLINE, "{discovery:?} {slow_call}: {took}");
                simulation.run_until(changed_at + 3 * SEC);
            }
            assert!(simulation.concurrent_calls_max <= CALLS_MAX);
        }
    }
}

/// Guards against a call beside one that is queued at a shared service: each takes a turn of its
/// queue.
#[test]
fn queued_call_to_a_shared_service_is_the_only_one() {
    for first in ONE_CALL {
        for seed in 0..SEEDS {
            let mut simulation = Simulation::new(SHARED_SERVICE, seed, 0);
            simulation.next_fates = vec![first; 4];
            simulation.time_until_known(0);
            assert_eq!(simulation.concurrent_calls_max, 1, "{first:?}");
        }
    }
}

/// Guards against the answer to a call that is no longer waited for.
#[test]
fn answer_to_a_call_to_an_earlier_agent_is_refused() {
    let mut simulation = Simulation::new(Discovery::Agent, 1, 0);
    simulation.later_fate = Silent;
    simulation.run_until(0);
    let earlier = simulation.calls[0].number;
    simulation.move_agent();
    simulation.run_until(0);
    let context = simulation.context();
    let kind = FailureKind::ConnectionLost;
    assert_eq!(simulation.schedule.record_answer(earlier, context), None);
    assert!(!simulation.schedule.record_failure(earlier, kind, context));
    let current = simulation.calls[0].number;
    assert_eq!(simulation.schedule.record_answer(current, context), Some(0));
}
