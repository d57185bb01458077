//! The rate limit on lines from one callsite, and the line that reports suppressed lines.

use tracing::Metadata;
use tracing::callsite::Identifier;

use super::*;

/// Guards against misbehaving clients that flood the log and thereby use up the processor.
#[test]
fn lines_above_the_rate_limit_are_suppressed_and_counted() {
    let mut counts = LineCounts::default();
    let callsite = Identifier(&CALLSITE);
    let allowed_lines = (0..500)
        .filter(|_| counts.count(callsite.clone(), 7).allowed)
        .count();
    assert_eq!(allowed_lines as u64, LINES_PER_SECOND_MAX);
    let outcome = |allowed, suppressed| RateLimitOutcome {
        allowed,
        suppressed,
    };
    assert_eq!(
        counts.count(callsite.clone(), 8),
        outcome(true, 500 - LINES_PER_SECOND_MAX)
    );
    assert_eq!(counts.count(callsite, 9), outcome(true, 0));
}

#[test]
fn the_suppressed_line_count_follows_the_log_format() {
    let line = suppressed_line(Format::Json, "a \"b\"", 7, 480);
    let read: serde_json::Value = serde_json::from_str(line.trim_end()).unwrap();
    assert_eq!(
        (&read["left_out"], line.matches('\n').count()),
        (&serde_json::json!(480), 1)
    );
    assert_eq!(
        suppressed_line(Format::Text, "a", 7, 480),
        "a:7: 480 lines suppressed by the rate limit\n"
    );
}

struct TestCallsite;
static CALLSITE: TestCallsite = TestCallsite;
impl tracing::Callsite for TestCallsite {
    fn set_interest(&self, _: tracing::subscriber::Interest) {}
    fn metadata(&self) -> &Metadata<'_> {
        unreachable!("only the callsite's address is used")
    }
}
