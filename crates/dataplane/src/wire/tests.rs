//! Servers' lines, including corrupted ones.

use super::*;

#[test]
fn forwarded_line_changes_only_the_wait_value() {
    for (line, forwarded) in [
        (
            "OPEN a d=1 c=chat,d=2000,g=d=7",
            "OPEN a d=1 c=chat,d=150,g=d=7\r\n",
        ),
        ("OPEN a k c=chat,again=1", "OPEN a k c=chat,again=1\r\n"),
        ("OPEN a k d=9", "OPEN a k d=150\r\n"),
    ] {
        assert_eq!(
            String::from_utf8(forwarded_line(line.as_bytes(), 150 * MS + 1)).unwrap(),
            forwarded
        );
    }
}

fn ended(end: AttemptEnd, known_unexecuted: bool, report: LoadReport) -> ServerAnswer {
    ServerAnswer::Ended(AttemptOutcome {
        end,
        known_unexecuted,
        report,
    })
}

#[test]
fn server_answer_maps_to_its_outcome_and_is_an_error_without_crlf() {
    let none = LoadReport::default();
    let busy = LoadReport {
        connections: Some(7.0),
        utilization: Some(0.61),
    };
    for (line, expected) in [
        ("UP 12ab", ServerAnswer::Accepted),
        // An acceptance without a valid receipt is an error. A report value that is not a number is
        // ignored.
        ("UP", ended(AttemptEnd::Error, false, none)),
        ("UP ", ended(AttemptEnd::Error, false, none)),
        ("UP 1 2", ended(AttemptEnd::Error, false, none)),
        ("UP 1\u{1}", ended(AttemptEnd::Error, false, none)),
        ("UP 1\u{fffd}", ended(AttemptEnd::Error, false, none)),
        (
            "BUSY util=nan,inflight=-3",
            ended(AttemptEnd::Overloaded, true, none),
        ),
        (
            "BUSY inflight=7,queue=inf,util=0.61",
            ended(AttemptEnd::Overloaded, true, busy),
        ),
        (
            "BUSY inflight=7,queue=2,util=0.61",
            ended(AttemptEnd::Overloaded, true, busy),
        ),
        ("BYE", ended(AttemptEnd::Done, false, none)),
        ("ERR", ended(AttemptEnd::Error, false, none)),
        ("MOVE", ended(AttemptEnd::Cancelled, false, none)),
        ("SYNTAX", ended(AttemptEnd::Error, false, none)),
    ] {
        assert_eq!(
            ServerAnswer::parse(
                format!("{line}\r\n").as_bytes(),
                &LoadReportFormat::default()
            ),
            expected,
            "{line}"
        );
        let malformed = ended(AttemptEnd::Error, false, none);
        assert_eq!(
            ServerAnswer::parse(format!("{line}\n").as_bytes(), &LoadReportFormat::default()),
            malformed,
            "{line} without CR"
        );
    }
}

#[test]
fn line_scanner_reads_load_and_end_however_the_lines_are_split() {
    let all = b"hello\r\nLOAD 812.5\r\nLOAD 9\r\nx";
    for cut in 0..all.len() {
        let mut scanner = LineScanner::new(LoadReportFormat::default());
        let loads = [scanner.scan(&all[..cut]), scanner.scan(&all[cut..])];
        assert_eq!(loads[1].or(loads[0]), Some(9.0), "cut at {cut}");
        assert!(!scanner.is_between_lines());
        scanner.scan(b"\r\nBYE inflight=7,queue=2,util=0.61\r\n");
        let report = LoadReport {
            connections: Some(7.0),
            utilization: Some(0.61),
        };
        assert_eq!(
            (scanner.is_between_lines(), scanner.announced_end()),
            (
                true,
                Some(ConnectionEnd {
                    end: AttemptEnd::Done,
                    report,
                })
            )
        );
    }
    for bad in ["nan", "inf", "-1", "1e999", ""] {
        let line = format!("LOAD {bad}\r\n");
        assert_eq!(
            LineScanner::new(LoadReportFormat::default()).scan(line.as_bytes()),
            None,
            "{line}"
        );
    }
    assert_eq!(
        first_line(b"PING\r\nx"),
        Some(LineBounds {
            length: 4,
            next_start: 6
        })
    );
    assert_eq!(
        first_line(b"\n"),
        Some(LineBounds {
            length: 0,
            next_start: 1
        })
    );
    assert_eq!(first_line(b"PING\r"), None);
}

/// A rejection proves that the server executed nothing, so it must be well-formed: the remains of
/// another, corrupted answer may begin like a rejection.
#[test]
fn corrupted_rejection_is_not_proof_that_nothing_was_executed() {
    for corrupted in [
        "BUSY BUSY",
        "BUSY 1 2",
        "BUSY\t",
        "BUSYBYE",
        "BUSY ",
        "BUSY x",
        "BUSY =1",
        "BUSY util=",
        "BUSY a=1,,b=2",
    ] {
        let answer = ServerAnswer::parse(
            format!("{corrupted}\r\n").as_bytes(),
            &LoadReportFormat::default(),
        );
        assert!(
            matches!(
                answer,
                ServerAnswer::Ended(AttemptOutcome {
                    end: AttemptEnd::Error,
                    known_unexecuted: false,
                    ..
                })
            ),
            "{corrupted:?}: {answer:?}"
        );
    }
}
