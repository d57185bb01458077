//! The script that lets CI pass over known failures, shown to fail in each way in which it has to.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/test-verdict");

/// A run of two test programs, of whose three tests one fails.
const ONE_FAILS: &str = "     Running tests/a.rs (target/a)\n\ntest one ... ok\ntest two ... FAILED\n\n\
    test result: FAILED. 1 passed; 1 failed\n   Doc-tests b\n\ntest three - should panic ... ok\n\n\
    test result: ok. 1 passed; 0 failed\n";

/// A file of this text, removed when dropped.
struct Text(PathBuf);

impl Text {
    fn new(text: &str) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("nettlemux-verdict-{}-{number}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Text(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Text {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn judged(log: &str, status: i32, known: &str) -> Output {
    let (log, known) = (Text::new(log), Text::new(known));
    let mut script = Command::new("bash");
    script
        .arg(SCRIPT)
        .arg(log.path())
        .arg(status.to_string())
        .arg(known.path());
    script.output().unwrap()
}

#[test]
fn a_known_failure_is_printed_with_cause_and_issue_and_passed_over() {
    let verdict = judged(ONE_FAILS, 101, "two | the cause | #47\n");
    let printed = String::from_utf8(verdict.stdout).unwrap();
    assert!(verdict.status.success(), "{printed}");
    assert_eq!(printed, "known failure: two: the cause (#47)\n");
}

#[test]
fn a_known_failure_that_did_not_fail_is_told() {
    let verdict = judged(
        ONE_FAILS,
        101,
        "two | the cause | #47\nthree | another | #47\n",
    );
    assert!(verdict.status.success());
    let printed = String::from_utf8(verdict.stdout).unwrap();
    assert!(printed.contains("did not fail: three"), "{printed}");
}

#[test]
fn whatever_is_no_known_failure_fails() {
    let all_pass = ONE_FAILS.replace("two ... FAILED", "two ... ok");
    assert!(judged(&all_pass, 0, "").status.success());
    let twice = ONE_FAILS.replace("test one", "test two");
    let without_result = ONE_FAILS.replace("test result: ok. 1 passed; 0 failed\n", "");
    let four: String = ["one", "two", "three", "four"]
        .map(|name| format!("{name} | c | #1\n"))
        .concat();
    let cases = [
        (
            "a failure that isn't listed",
            ONE_FAILS,
            101,
            "one | the cause | #47\n",
            "failed: two",
        ),
        (
            "a name that no test has",
            ONE_FAILS,
            101,
            "two | c | #47\nnobody | c | #47\n",
            "0 tests are named",
        ),
        (
            "a name that two tests have",
            &twice,
            101,
            "two | c | #47\n",
            "2 tests are named",
        ),
        (
            "a line without an issue",
            ONE_FAILS,
            101,
            "two | the cause\n",
            "can't be read",
        ),
        (
            "a line that names no issue's number",
            ONE_FAILS,
            101,
            "two | the cause | soon\n",
            "can't be read",
        ),
        (
            "an empty line",
            ONE_FAILS,
            101,
            "two | the cause | #47\n\n",
            "can't be read",
        ),
        (
            "more than three",
            ONE_FAILS,
            101,
            &four,
            "4 lines, 3 at the most",
        ),
        (
            "a program without a result",
            &without_result,
            101,
            "two | c | #47\n",
            "1 came to a result",
        ),
        (
            "a build that fails",
            "error: could not compile\n",
            101,
            "",
            "no test program ran",
        ),
        (
            "an exit code without a failed test",
            &all_pass,
            101,
            "",
            "exit code 101",
        ),
    ];
    for (what, log, status, known, why) in cases {
        let verdict = judged(log, status, known);
        let told = String::from_utf8(verdict.stderr).unwrap();
        assert!(
            !verdict.status.success() && told.contains(why),
            "{what}: {told}"
        );
    }
}
