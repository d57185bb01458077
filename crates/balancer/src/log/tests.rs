//! The limit on lines from one place, and the line that stands for suppressed ones.

use tracing::Metadata;
use tracing::callsite::Identifier;

use super::*;

/// Guards against bad clients who fill the log, and with it the processor.
#[test]
fn a_flood_of_lines_is_cut_and_counted() {
    let mut counts = LineCounts::default();
    let callsite = Identifier(&CALLSITE);
    let out = (0..500)
        .filter(|_| counts.count(callsite.clone(), 7).allowed)
        .count();
    assert_eq!(out as u64, LINES_PER_SECOND_MAX);
    let verdict = |allowed, suppressed| LineVerdict {
        allowed,
        suppressed,
    };
    assert_eq!(
        counts.count(callsite.clone(), 8),
        verdict(true, 500 - LINES_PER_SECOND_MAX)
    );
    assert_eq!(counts.count(callsite, 9), verdict(true, 0));
}

#[test]
fn the_line_for_suppressed_lines_is_an_object_where_all_are() {
    let line = suppressed_line(Format::Json, "a \"b\"", 7, 480);
    let read: serde_json::Value = serde_json::from_str(line.trim_end()).unwrap();
    assert_eq!(
        (&read["left_out"], line.matches('\n').count()),
        (&serde_json::json!(480), 1)
    );
    assert_eq!(
        suppressed_line(Format::Text, "a", 7, 480),
        "a:7: 480 more lines like the next were left out\n"
    );
}

struct TestCallsite;
static CALLSITE: TestCallsite = TestCallsite;
impl tracing::Callsite for TestCallsite {
    fn set_interest(&self, _: tracing::subscriber::Interest) {}
    fn metadata(&self) -> &Metadata<'_> {
        unreachable!("only its address is asked for")
    }
}
