//! Tests of reloads before, between and after two SIGTERMs.

use nettlemux_policy::MS;
use nettlemux_settings::Settings;

use super::*;

#[test]
fn a_reload_close_to_sigterm_leaves_the_shorter_of_both_timeouts() {
    enum Step {
        Reload(Time),
        Terminate,
    }
    use Step::{Reload, Terminate};
    let before_settled = RELOAD_SETTLING_TIME - 1;
    // The timeout at the start, the steps with their times, and how long after SIGTERM the last
    // answer is due.
    for (start, steps, due) in [
        (SEC, vec![(9, Terminate)], SEC),
        (9 * SEC, vec![(9, Terminate)], ANSWER_TIMEOUT_MAX),
        (
            SEC,
            vec![(0, Reload(2 * SEC)), (before_settled, Terminate)],
            SEC,
        ),
        (
            SEC,
            vec![(0, Reload(2 * SEC)), (RELOAD_SETTLING_TIME, Terminate)],
            2 * SEC,
        ),
        (
            2 * SEC,
            vec![(0, Reload(SEC)), (before_settled, Terminate)],
            SEC,
        ),
        (
            SEC,
            vec![(0, Terminate), (1, Reload(3 * SEC)), (2, Terminate)],
            SEC,
        ),
        (
            3 * SEC,
            vec![(0, Terminate), (1, Reload(SEC)), (2, Reload(2 * SEC))],
            SEC,
        ),
        (
            SEC,
            vec![
                (0, Reload(2 * SEC)),
                (1, Reload(3 * SEC)),
                (before_settled, Terminate),
            ],
            SEC,
        ),
        // After SIGTERM, the last answer is due at the time of the reload at the earliest.
        (
            3 * SEC,
            vec![(5 * SEC, Terminate), (7 * SEC, Reload(SEC))],
            2 * SEC,
        ),
        (
            3 * SEC,
            vec![
                (5 * SEC, Terminate),
                (6 * SEC, Reload(2 * SEC)),
                (6500 * MS, Reload(SEC)),
                (7 * SEC, Reload(100 * MS)),
            ],
            1500 * MS,
        ),
    ] {
        let mut deadline = AnswerDeadline::new(start);
        let times: Vec<Time> = steps.iter().map(|(at, _)| *at).collect();
        for (at, step) in &steps {
            match step {
                Reload(longest) => deadline.reload(*at, *longest),
                Terminate => deadline.terminate(*at),
            }
        }
        assert_eq!(
            deadline.timeout_at(RELOAD_SETTLING_TIME * 9),
            due,
            "{start} {times:?}"
        );
    }
}

/// Guards against a traffic class that the settings no longer name and that still sets the time of
/// the last answer, so that open connections are cut off at SIGKILL.
#[test]
fn a_removed_class_does_not_count_once_the_new_settings_count_as_applied() {
    let with_timeouts = |classes: &[(&str, u64)]| {
        let entry =
            |(name, ms): &(&str, u64)| serde_json::json!({"name": name, "hard-limit": ms * 1000});
        let classes: Vec<_> = classes.iter().map(entry).collect();
        Settings::from_embedded(&serde_json::json!({"service-types": classes})).unwrap()
    };
    let first = with_timeouts(&[("long", 2800), ("short", 1800)]);
    let second = with_timeouts(&[("other", 1200)])
        .numbered_after(&first)
        .unwrap();
    let third = with_timeouts(&[("long", 900)])
        .numbered_after(&second)
        .unwrap();
    let mut deadline = AnswerDeadline::new(first.flow_timeout_max());
    for (at, settings, timeout) in [(10 * SEC, &second, 1200 * MS), (20 * SEC, &third, 900 * MS)] {
        deadline.reload(at, settings.flow_timeout_max());
        assert_eq!(deadline.timeout_at(at + RELOAD_SETTLING_TIME), timeout);
    }
    deadline.reload(30 * SEC, first.flow_timeout_max());
    deadline.terminate(30 * SEC + RELOAD_SETTLING_TIME);
    assert_eq!(deadline.timeout_at(40 * SEC), 2800 * MS);
}
