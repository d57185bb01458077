//! The script by which CI tolerates known test failures. The tests check that it fails the run in
//! every other case.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/test-verdict");

/// The output of a run with two test programs and three tests, one of which fails.
const ONE_FAILS: &str = "     Running tests/a.rs (target/a)\n\ntest one ... ok\ntest two ... FAILED\n\n\
    test result: FAILED. 1 passed; 1 failed\n   Doc-tests b\n\ntest three - should panic ... ok\n\n\
    test result: ok. 1 passed; 0 failed\n";

/// A temporary file, removed when dropped.
struct TemporaryFile {
    path: PathBuf,
}

impl TemporaryFile {
    fn new(text: &str) -> Self {
        static FILES_CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = FILES_CREATED.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("nettlemux-verdict-{}-{number}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        TemporaryFile { path }
    }

    fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Runs the script with this log, exit code and list of known failures.
fn run_verdict(log: &str, status: i32, known: &str) -> Output {
    let log = TemporaryFile::new(log);
    let known = TemporaryFile::new(known);
    let mut script = Command::new("bash");
    script
        .arg(SCRIPT)
        .arg(log.path())
        .arg(status.to_string())
        .arg(known.path());
    script.output().unwrap()
}

#[test]
fn a_known_failure_is_printed_with_all_its_fields_and_tolerated() {
    let list = "two | cargo test two, seed 7 | 3 of 5 answered | #47\n";
    let verdict = run_verdict(ONE_FAILS, 101, list);
    let printed = String::from_utf8(verdict.stdout).unwrap();
    assert!(verdict.status.success(), "{printed}");
    assert_eq!(
        printed,
        "known failure: two: 3 of 5 answered (cargo test two, seed 7; #47)\n"
    );
}

#[test]
fn a_known_failure_that_did_not_fail_is_reported() {
    let verdict = run_verdict(
        ONE_FAILS,
        101,
        "two | command | seen | #47\nthree | command | seen | #47\n",
    );
    assert!(verdict.status.success());
    let printed = String::from_utf8(verdict.stdout).unwrap();
    assert!(printed.contains("did not fail: three"), "{printed}");
}

/// Guards against a list with several lines that tolerates tests it does not name.
#[test]
fn a_list_of_several_known_failures_tolerates_only_the_tests_it_names() {
    let names = ["five", "six", "seven", "eight"];
    let all_fail: String = names
        .map(|name| format!("test {name} ... FAILED\n"))
        .concat();
    let list = names.map(|name| format!("{name} | command | seen | #1\n"));
    let log = ONE_FAILS.replace("test two ... FAILED\n", &all_fail);
    let verdict = run_verdict(&log, 101, &list.concat());
    let printed = String::from_utf8(verdict.stdout).unwrap();
    assert!(verdict.status.success(), "{printed}");
    assert_eq!(printed.matches("known failure: ").count(), names.len());
    let verdict = run_verdict(&log, 101, &list[1..].concat());
    let printed = String::from_utf8(verdict.stderr).unwrap();
    assert!(
        !verdict.status.success() && printed == "failed: five\n",
        "{printed}"
    );
}

#[test]
fn anything_but_a_listed_failure_fails_the_run() {
    let all_pass = ONE_FAILS.replace("two ... FAILED", "two ... ok");
    assert!(run_verdict(&all_pass, 0, "").status.success());
    let two_tests_of_one_name = ONE_FAILS.replace("test one", "test two");
    let without_result = ONE_FAILS.replace("test result: ok. 1 passed; 0 failed\n", "");
    let cases = [
        (
            "a failure that isn't listed",
            ONE_FAILS,
            101,
            "one | command | seen | #47\n",
            "failed: two",
        ),
        (
            "a name that no test has",
            ONE_FAILS,
            101,
            "two | command | seen | #47\nnobody | command | seen | #47\n",
            "0 tests are named",
        ),
        (
            "a name that two tests have",
            &two_tests_of_one_name,
            101,
            "two | command | seen | #47\n",
            "2 tests are named",
        ),
        (
            "a line without an issue",
            ONE_FAILS,
            101,
            "two | command | seen\n",
            "can't be read",
        ),
        (
            "a line of three fields",
            ONE_FAILS,
            101,
            "two | command | #47\n",
            "can't be read",
        ),
        (
            "a line of five fields",
            ONE_FAILS,
            101,
            "two | command | seen | more | #47\n",
            "can't be read",
        ),
        (
            "a line without a test",
            ONE_FAILS,
            101,
            " | command | seen | #47\n",
            "can't be read",
        ),
        (
            "a line without a command",
            ONE_FAILS,
            101,
            "two |  | seen | #47\n",
            "can't be read",
        ),
        (
            "a line without what was seen",
            ONE_FAILS,
            101,
            "two | command |  | #47\n",
            "can't be read",
        ),
        (
            "a line that names no issue's number",
            ONE_FAILS,
            101,
            "two | command | seen | soon\n",
            "can't be read",
        ),
        (
            "an empty line",
            ONE_FAILS,
            101,
            "two | command | seen | #47\n\n",
            "can't be read",
        ),
        (
            "a test program without a result line",
            &without_result,
            101,
            "two | command | seen | #47\n",
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
    for (case, log, status, known, expected) in cases {
        let verdict = run_verdict(log, status, known);
        let printed = String::from_utf8(verdict.stderr).unwrap();
        assert!(
            !verdict.status.success() && printed.contains(expected),
            "{case}: {printed}"
        );
    }
}
