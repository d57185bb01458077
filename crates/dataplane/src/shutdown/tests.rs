//! Tests of reloads before, between and after two SIGTERMs.

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
