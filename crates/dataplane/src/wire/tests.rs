//! Lines as servers say them, spoilt ones too.

use super::*;

#[test]
fn a_line_goes_on_unchanged_but_for_the_wait() {
    for (line, onward_line) in [
        (
            "OPEN a d=1 c=chat,d=2000,g=d=7",
            "OPEN a d=1 c=chat,d=150,g=d=7\r\n",
        ),
        ("OPEN a k c=chat,again=1", "OPEN a k c=chat,again=1\r\n"),
        ("OPEN a k d=9", "OPEN a k d=150\r\n"),
    ] {
        assert_eq!(
            String::from_utf8(onward(line.as_bytes(), 150 * MS + 1)).unwrap(),
            onward_line
        );
    }
}

#[test]
fn answers() {
    let none = LoadReport::default();
    let busy = LoadReport {
        connections: Some(7.0),
        utilization: Some(0.61),
    };
    for (line, expected) in [
        ("UP 12ab", Answer::Up),
        // Without a receipt it is no server's word; a figure that is no number is none.
        ("UP", Answer::Ended(AttemptEnd::Error, false, none)),
        ("UP ", Answer::Ended(AttemptEnd::Error, false, none)),
        ("UP 1 2", Answer::Ended(AttemptEnd::Error, false, none)),
        ("UP 1\u{1}", Answer::Ended(AttemptEnd::Error, false, none)),
        (
            "UP 1\u{fffd}",
            Answer::Ended(AttemptEnd::Error, false, none),
        ),
        (
            "BUSY util=nan,inflight=-3",
            Answer::Ended(AttemptEnd::Overloaded, true, none),
        ),
        (
            "BUSY inflight=7,queue=inf,util=0.61",
            Answer::Ended(AttemptEnd::Overloaded, true, busy),
        ),
        (
            "BUSY inflight=7,queue=2,util=0.61",
            Answer::Ended(AttemptEnd::Overloaded, true, busy),
        ),
        ("BYE", Answer::Ended(AttemptEnd::Done, false, none)),
        ("ERR", Answer::Ended(AttemptEnd::Error, false, none)),
        ("MOVE", Answer::Ended(AttemptEnd::Cancelled, false, none)),
        ("SYNTAX", Answer::Ended(AttemptEnd::Error, false, none)),
    ] {
        assert_eq!(
            answer(
                format!("{line}\r\n").as_bytes(),
                &LoadReportFormat::default()
            ),
            expected,
            "{line}"
        );
        let cut = Answer::Ended(AttemptEnd::Error, false, none);
        assert_eq!(
            answer(format!("{line}\n").as_bytes(), &LoadReportFormat::default()),
            cut,
            "{line} without CR"
        );
    }
}

#[test]
fn lines_are_followed_however_they_are_split() {
    let all = b"hello\r\nLOAD 812.5\r\nLOAD 9\r\nx";
    for cut in 0..all.len() {
        let mut passing = Passing::new(LoadReportFormat::default());
        let loads = [passing.pass(&all[..cut]), passing.pass(&all[cut..])];
        assert_eq!(loads[1].or(loads[0]), Some(9.0), "cut at {cut}");
        assert!(!passing.between_lines());
        passing.pass(b"\r\nBYE inflight=7,queue=2,util=0.61\r\n");
        let report = LoadReport {
            connections: Some(7.0),
            utilization: Some(0.61),
        };
        assert_eq!(
            (passing.between_lines(), passing.last),
            (true, Some((AttemptEnd::Done, report)))
        );
    }
    for bad in ["nan", "inf", "-1", "1e999", ""] {
        let line = format!("LOAD {bad}\r\n");
        assert_eq!(
            Passing::new(LoadReportFormat::default()).pass(line.as_bytes()),
            None,
            "{line}"
        );
    }
    assert_eq!(line_end(b"PING\r\nx"), Some((4, 6)));
    assert_eq!(line_end(b"\n"), Some((0, 1)));
    assert_eq!(line_end(b"PING\r"), None);
}

/// A refusal proves that nothing ran, so it has to be one to the letter: what is left of another answer may begin like it.
#[test]
fn a_spoilt_refusal_proves_nothing() {
    for spoilt in [
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
        let answer = answer(
            format!("{spoilt}\r\n").as_bytes(),
            &LoadReportFormat::default(),
        );
        assert!(
            matches!(answer, Answer::Ended(AttemptEnd::Error, false, _)),
            "{spoilt:?}: {answer:?}"
        );
    }
}
